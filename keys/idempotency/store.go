// Package idempotency decides what happens to a request with an idempotency key: whether it is the first with its key
// and is dispatched, waits for the one in progress, or gets the recorded outcome. The package holds the keys and their
// states. It must not do I/O or read a clock, nor let a key that may have been executed be dispatched again.
package idempotency

import (
	"container/heap"
	"slices"
)

// bytesPerKey is the approximate size of a key's entry without its response.
const bytesPerKey = 300

// Key identifies one operation of a client, however often it is sent.
type Key struct{ Tenant, RuleSet, Name string }

// Fingerprint is a hash of a request's method, target and body.
type Fingerprint [16]byte

// State is the state of a key.
type State int

// The states. A key whose request was provably not executed is removed at once and has no state.
const (
	Open   State = iota // its request is in progress
	Done                // its request was executed and answered
	Unsure              // its request may have been executed
)

func (s State) String() string { return [...]string{"open", "done", "unsure"}[s] }

// Response is the response to a key's request as the client gets it.
type Response struct {
	Status int
	Fields [][2]string
	Body   []byte
	Stored bool // false: it was too large, and only the outcome is known
}

// Outcome is how a key's request ended.
type Outcome int

// The outcomes, as the balancer tells them apart.
const (
	Served  Outcome = iota
	Denied          // provably not executed
	Aborted         // may have been executed
)

// Config is the operator's configuration. Durations are in nanoseconds.
type Config struct {
	MaxKeys          int
	MaxResponseBytes int64            // of all stored responses together
	MaxResponseSize  int              // bytes; of a larger response only the outcome is stored
	MaxWaiters       int              // per key
	MaxKeyLength     int              // bytes
	Retain           map[string]int64 // by rule set: how long keys are kept after the end; other rule sets have no keys
	RetryAfter       int64            // advised if the store is full
}

// Entry is what is known of a key.
type Entry struct {
	Key         Key
	Fingerprint Fingerprint
	State       State
	At          int64 // time of the request's start if it is open, else of its end
	Response    Response
	waiters     []uint64 // in order of arrival; cleared when the request ends
	heapIndex   int      // index in Store.expiries; -1 while the request is open
}

// Action is what to do with a request that has a key.
type Action int

// The actions.
const (
	Proceed      Action = iota // it is the first with its key: record its start, then dispatch it
	Join                       // wait for the request in progress
	Settled                    // answer with the outcome in the entry
	Conflict                   // reject it: the key belongs to a different request
	Full                       // reject it: there is no room, retry later
	KeyTooLong                 // reject it
	PossiblyLost               // reject it: keys have been lost, and this may be one of them
)

// Decision is the action for a request, with the key's entry for Proceed, Join, Settled and Conflict.
type Decision struct {
	Action Action
	Entry  *Entry
}

// Store holds the keys.
type Store struct {
	config        Config
	entries       map[Key]*Entry // at most MaxKeys; removed when a request was not executed or its key expires
	expiries      expiryHeap     // of keys whose request has ended, the first to expire first
	responseBytes int64          // of all stored responses
	refuseUnknown bool           // unknown keys may have been executed
	lostAt        int64          // from this time on unknown keys are refused for as long as keys are kept; 0: they are not
}

// New returns a store without keys.
func New(c Config) *Store { return &Store{config: c, entries: map[Key]*Entry{}} }

// Covers reports whether requests of a rule set may have keys.
func (s *Store) Covers(ruleSet string) bool {
	_, ok := s.config.Retain[ruleSet]
	return ok
}

// RefuseUnknown makes the store refuse all unknown keys: any of them may be among those that were lost.
func (s *Store) RefuseUnknown() { s.refuseUnknown = true }

// RefuseUnknownWhileRetained makes the store refuse unknown keys for as long as a key that starts now is kept. It is
// called when keys newer than all known ones have been lost.
func (s *Store) RefuseUnknownWhileRetained(now int64) { s.lostAt = max(1, now) }

// Len returns the number of keys.
func (s *Store) Len() int { return len(s.entries) }

// Admit decides what to do with a request that has a key. Waiter identifies the request among those that wait.
func (s *Store) Admit(k Key, p Fingerprint, waiter uint64, now int64) Decision {
	s.expire(now)
	e := s.entries[k]
	switch {
	case len(k.Name) > s.config.MaxKeyLength:
		return Decision{Action: KeyTooLong}
	case e != nil && e.Fingerprint != p:
		return Decision{Conflict, e}
	case e != nil && e.State != Open:
		return Decision{Settled, e}
	case e != nil && len(e.waiters) >= s.config.MaxWaiters:
		return Decision{Action: Full}
	case e != nil:
		e.waiters = append(e.waiters, waiter)
		return Decision{Join, e}
	case s.lostAt > 0 && now < s.lostAt+s.config.Retain[k.RuleSet]:
		return Decision{Action: PossiblyLost}
	case s.refuseUnknown || len(s.entries) >= s.config.MaxKeys:
		return Decision{Action: Full}
	}
	e = &Entry{Key: k, Fingerprint: p, At: now, waiters: []uint64{waiter}, heapIndex: -1}
	s.entries[k] = e
	return Decision{Proceed, e}
}

// RemoveWaiter removes a waiter from a key whose client has left. The key's request goes on.
func (s *Store) RemoveWaiter(k Key, waiter uint64) {
	if e := s.entries[k]; e != nil {
		e.waiters = slices.DeleteFunc(e.waiters, func(x uint64) bool { return x == waiter })
	}
}

// Finish records the outcome of a key's request. It returns the entry to be recorded and those that wait for it, in
// order of arrival. If the entry's state is still Open, the request was not executed and its key has been removed.
func (s *Store) Finish(k Key, o Outcome, r Response, now int64) (e *Entry, waiters []uint64) {
	e = s.entries[k]
	if e == nil || e.State != Open {
		return nil, nil
	}
	waiters, e.waiters = e.waiters, nil
	if o == Denied {
		delete(s.entries, k)
		return e, waiters
	}
	e.State, e.At = Unsure, now
	if o == Served {
		e.State, e.Response = Done, r
		if e.Response.Stored = r.Stored && len(r.Body) <= s.config.MaxResponseSize &&
			s.responseBytes+int64(len(r.Body)) <= s.config.MaxResponseBytes; !e.Response.Stored {
			e.Response = Response{Status: r.Status}
		}
		s.responseBytes += int64(len(e.Response.Body))
	}
	heap.Push(&s.expiries, expiry{e.At + s.config.Retain[k.RuleSet], e})
	return e, waiters
}

// Restore adds an entry from the ledger. A request that was open when its process ended may have been executed.
func (s *Store) Restore(e Entry, now int64) {
	if !s.Covers(e.Key.RuleSet) {
		return // operators have removed the rule set's keys from the configuration
	}
	if old := s.entries[e.Key]; old != nil {
		s.remove(old)
	}
	if e.At = min(e.At, now); e.State == Open { // a time in the future was recorded before the clock was set back
		e.State = Unsure
	}
	e.waiters, e.heapIndex = nil, -1
	s.entries[e.Key] = &e
	s.responseBytes += int64(len(e.Response.Body))
	heap.Push(&s.expiries, expiry{e.At + s.config.Retain[e.Key.RuleSet], &e})
}

// Remove removes a key whose request was provably not executed.
func (s *Store) Remove(k Key) {
	if e := s.entries[k]; e != nil {
		s.remove(e)
	}
}

func (s *Store) remove(e *Entry) {
	delete(s.entries, e.Key)
	s.responseBytes -= int64(len(e.Response.Body))
	if e.heapIndex >= 0 {
		heap.Remove(&s.expiries, e.heapIndex)
	}
}

// expire removes the keys that are no longer retained.
func (s *Store) expire(now int64) {
	for len(s.expiries) > 0 && s.expiries[0].at <= now {
		s.remove(s.expiries[0].e)
	}
}

// EstimatedBytes returns the approximate size of all keys in constant time.
func (s *Store) EstimatedBytes() int64 { return int64(len(s.entries))*bytesPerKey + s.responseBytes }

// Entries returns the entries of all keys in no particular order, to rewrite the ledger.
func (s *Store) Entries(now int64) []*Entry {
	s.expire(now)
	all := make([]*Entry, 0, len(s.entries))
	for _, e := range s.entries {
		all = append(all, e)
	}
	return all
}

type expiry struct {
	at int64
	e  *Entry
}

type expiryHeap []expiry

func (d expiryHeap) Len() int           { return len(d) }
func (d expiryHeap) Less(i, j int) bool { return d[i].at < d[j].at }
func (d expiryHeap) Swap(i, j int) {
	d[i], d[j] = d[j], d[i]
	d[i].e.heapIndex, d[j].e.heapIndex = i, j
}
func (d *expiryHeap) Push(x any) {
	x.(expiry).e.heapIndex = len(*d)
	*d = append(*d, x.(expiry))
}
func (d *expiryHeap) Pop() any {
	old := *d
	x := old[len(old)-1]
	old[len(old)-1] = expiry{}
	*d = old[:len(old)-1]
	x.e.heapIndex = -1
	return x
}
