// Package idempotency decides what becomes of a req with an idempotency key: whether it is the first of its key and goes on, joins
// the one that is open, or gets what became of it. It owns the keys and their states. It must never do I/O, look at a
// clock, or let a key that may have run go again.
package idempotency

import (
	"container/heap"
	"slices"
)

// perKey is about what a key holds beside its answer.
const perKey = 300

// Key names one attempt of a client's, whatever it is sent with.
type Key struct{ Tenant, RuleSet, Name string }

// Print is what a call asks: the hash of its method, target and body.
type Print [16]byte

// State is where a key stands.
type State int

// The states. A key that is free is forgotten at once.
const (
	Open State = iota
	Done
	Unsure
)

func (s State) String() string { return [...]string{"open", "done", "unsure"}[s] }

// Answer is what became of a key that is done, as it goes to its client.
type Answer struct {
	Status int
	Fields [][2]string
	Body   []byte
	Kept   bool // false: it was too large, and only that it was done is known
}

// Outcome is how an attempt ended.
type Outcome int

// The outcomes of the decision module, as a key sees them.
const (
	Served  Outcome = iota
	Denied          // provably never ran
	Aborted         // may have run
)

// Terms are what operators set.
type Terms struct {
	Most    int              // keys held
	Bytes   int64            // of kept answers
	Largest int              // bytes of an answer that is kept whole
	Waiters int              // on one key
	Longest int              // bytes of a key's name
	Retain  map[string]int64 // by rule set: for how long after its end a key is kept; others have no keys
	RetryIn int64            // advised where the store is full
}

// Entry is what is known of a key.
type Entry struct {
	Key    Key
	Print  Print
	State  State
	At     int64 // of its beginning, then of its end
	Answer Answer
	wait   []uint64 // in order of arrival; emptied by the end, or as they leave
	due    int      // place among those that end; -1: open
}

// Kind is what a req with a key is to do.
type Kind int

// The kinds of verdict.
const (
	Go       Kind = iota // it is the first: its beginning is recorded, then it goes on
	Join                 // it waits for the one that is open
	Told                 // the entry says what became of the first
	Conflict             // the key stands for something else
	Full                 // there is no room: try again later
	TooLong              // the key's name is
	Lost                 // keys of before were lost, and it may be one of them
)

// Verdict is what a req is to do.
type Verdict struct {
	Kind  Kind
	Entry *Entry
}

// Book holds the keys.
type Book struct {
	t       Terms
	entries map[Key]*Entry // emptied as keys are free or past their time; Most at the most
	due     dues           // those that have ended, the first to be forgotten first
	answers int64          // bytes of kept answers
	sealed  bool           // a key that is not known may have run all the same
	lost    int64          // since when that holds for as long as keys are kept; 0: it does not
}

// New makes a book without keys.
func New(t Terms) *Book { return &Book{t: t, entries: map[Key]*Entry{}} }

// Covers says whether a rule set has keys.
func (b *Book) Covers(ruleSet string) bool {
	_, ok := b.t.Retain[ruleSet]
	return ok
}

// Seal refuses all keys that are not known: one of them may be among what was lost.
func (b *Book) Seal() { b.sealed = true }

// Lose refuses keys that are not known for as long as one that has just begun is kept: newer ones than all that are known have been lost.
func (b *Book) Lose(now int64) { b.lost = max(1, now) }

// Len is how many keys are held.
func (b *Book) Len() int { return len(b.entries) }

// Arrive says what a req with a key is to do. Waiter is its own number, for when it joins.
func (b *Book) Arrive(k Key, p Print, waiter uint64, now int64) Verdict {
	b.forget(now)
	e := b.entries[k]
	switch {
	case len(k.Name) > b.t.Longest:
		return Verdict{Kind: TooLong}
	case e != nil && e.Print != p:
		return Verdict{Conflict, e}
	case e != nil && e.State != Open:
		return Verdict{Told, e}
	case e != nil && len(e.wait) >= b.t.Waiters:
		return Verdict{Kind: Full}
	case e != nil:
		e.wait = append(e.wait, waiter)
		return Verdict{Join, e}
	case b.lost > 0 && now < b.lost+b.t.Retain[k.RuleSet]:
		return Verdict{Kind: Lost}
	case b.sealed || len(b.entries) >= b.t.Most:
		return Verdict{Kind: Full}
	}
	e = &Entry{Key: k, Print: p, At: now, wait: []uint64{waiter}, due: -1}
	b.entries[k] = e
	return Verdict{Go, e}
}

// Left takes a waiter off its key. The attempt lives on.
func (b *Book) Left(k Key, waiter uint64) {
	if e := b.entries[k]; e != nil {
		e.wait = slices.DeleteFunc(e.wait, func(x uint64) bool { return x == waiter })
	}
}

// Ended takes the outcome of a key's attempt and gives those that wait for it, in order of arrival. The entry says what to
// record; it is free where its state is still Open.
func (b *Book) Ended(k Key, o Outcome, a Answer, now int64) (e *Entry, waiters []uint64) {
	e = b.entries[k]
	if e == nil || e.State != Open {
		return nil, nil
	}
	waiters, e.wait = e.wait, nil
	if o == Denied {
		delete(b.entries, k)
		return e, waiters
	}
	e.State, e.At = Unsure, now
	if o == Served {
		e.State, e.Answer = Done, a
		if e.Answer.Kept = a.Kept && len(a.Body) <= b.t.Largest && b.answers+int64(len(a.Body)) <= b.t.Bytes; !e.Answer.Kept {
			e.Answer = Answer{Status: a.Status}
		}
		b.answers += int64(len(e.Answer.Body))
	}
	heap.Push(&b.due, due{e.At + b.t.Retain[k.RuleSet], e})
	return e, waiters
}

// Restore takes an entry from a record. One that was open when its process ended may have run.
func (b *Book) Restore(e Entry, now int64) {
	if !b.Covers(e.Key.RuleSet) {
		return // operators have taken the rule set's keys away
	}
	if old := b.entries[e.Key]; old != nil {
		b.drop(old)
	}
	if e.At = min(e.At, now); e.State == Open { // what lies ahead is from before the clock was set back
		e.State = Unsure
	}
	e.wait, e.due = nil, -1
	b.entries[e.Key] = &e
	b.answers += int64(len(e.Answer.Body))
	heap.Push(&b.due, due{e.At + b.t.Retain[e.Key.RuleSet], &e})
}

// Free takes a key off: it provably never ran.
func (b *Book) Free(k Key) {
	if e := b.entries[k]; e != nil {
		b.drop(e)
	}
}

func (b *Book) drop(e *Entry) {
	delete(b.entries, e.Key)
	b.answers -= int64(len(e.Answer.Body))
	if e.due >= 0 {
		heap.Remove(&b.due, e.due)
	}
}

// forget lets go of what is past its time.
func (b *Book) forget(now int64) {
	for len(b.due) > 0 && b.due[0].at <= now {
		b.drop(b.due[0].e)
	}
}

// Live is about what all keys hold, without looking at each.
func (b *Book) Live() int64 { return int64(len(b.entries))*perKey + b.answers }

// Entries are all keys, in no order, for a record written anew.
func (b *Book) Entries(now int64) []*Entry {
	b.forget(now)
	all := make([]*Entry, 0, len(b.entries))
	for _, e := range b.entries {
		all = append(all, e)
	}
	return all
}

type due struct {
	at int64
	e  *Entry
}

type dues []due

func (d dues) Len() int           { return len(d) }
func (d dues) Less(i, j int) bool { return d[i].at < d[j].at }
func (d dues) Swap(i, j int) {
	d[i], d[j] = d[j], d[i]
	d[i].e.due, d[j].e.due = i, j
}
func (d *dues) Push(x any) {
	x.(due).e.due = len(*d)
	*d = append(*d, x.(due))
}
func (d *dues) Pop() any {
	old := *d
	x := old[len(old)-1]
	old[len(old)-1] = due{}
	*d = old[:len(old)-1]
	x.e.due = -1
	return x
}
