package proxy

// This file handles requests with an idempotency key: it asks the key book what to do with each, keeps those that
// wait, and has the ledger record a key's start before its dispatch may leave. It must never dispatch a key's
// attempt before that, end one because a client has left, or give two clients of one attempt different results.

import (
	"crypto/sha256"
	"errors"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"ivybank/balance"
	"ivybank/keys/idempotency"
	"ivybank/keys/ledger"
	"ivybank/proxy/http1"
)

const (
	lockApart    = 100 * time.Millisecond // between attempts to open a ledger that another process has locked
	witnessWait  = 15e8                   // peers may report the newest key within this time of a start; until then keys are refused
	witnessApart = 5e7                    // between checks whether they have
	lockRetry    = 2e8                    // Retry-After sent until then
	tidyApart    = 5e9                    // between checks whether most of the ledger is obsolete
	leastLedger  = 1 << 20                // a ledger with fewer bytes is not compacted
	outcomeField = "Idempotency-Outcome"
	replayField  = "Idempotency-Replayed"
)

// IdempotencyConfig is the operator's configuration of idempotency keys.
type IdempotencyConfig struct {
	Header string // the request header that holds the key
	File   string // the ledger; empty: keys are kept in memory only
	Terms  idempotency.Config
}

// keyState is the event loop's state of idempotency keys; nil if they are off.
type keys struct {
	IdempotencyConfig
	book    *idempotency.Store
	ledger  *ledger.Ledger     // nil: in memory only, or not opened yet
	ready   bool               // the ledger is open, or none is needed
	waiters map[uint64]*waiter // removed when they are answered or leave
	last    uint64
	newest  int64 // recorded start of the newest key; 0 if there is none
	lost    bool  // keys newer than the newest in the ledger have been lost
}

// waiter is a client's request that waits for a key's result.
type waiter struct {
	number uint64
	key    idempotency.Key
	client *client
	close  bool
	due    *timer // fires when the client's own timeout is over
}

// openKeys opens the ledger. If another process of an upgrade holds it, opening is retried; until then keys are
// refused.
func (p *Proxy) openKeys() error {
	if p.start.Idempotency == nil {
		return nil
	}
	k := &keys{IdempotencyConfig: *p.start.Idempotency, waiters: map[uint64]*waiter{}}
	k.book = idempotency.New(k.Terms)
	p.keys = k
	if k.File == "" {
		k.ready = true
		return nil
	}
	err := p.takeLedger()
	if !errors.Is(err, ledger.ErrLocked) {
		return err
	}
	logrus.Infof("idempotency keys are refused until the ledger is unlocked: %v", err)
	go func() {
		for {
			time.Sleep(lockApart)
			told := make(chan error)
			p.post(p.now(), nil, func(int64) { told <- p.takeLedger() })
			switch err := <-told; {
			case err == nil:
				return
			case !errors.Is(err, ledger.ErrLocked):
				logrus.Errorf("idempotency keys are refused: %v", err)
				return
			}
		}
	}()
	return nil
}

// openLedger opens the ledger and loads its records.
func (p *Proxy) takeLedger() error {
	k, now := p.keys, p.now()
	if p.comeback != nil { // a lost folder is created anew: peers report how new the lost keys were
		if err := os.MkdirAll(filepath.Dir(k.File), 0o700); err != nil {
			return err
		}
	}
	book := idempotency.New(k.Terms)
	l, rep, err := ledger.Open(k.File, func(r ledger.Record) {
		k.newest = max(k.newest, r.Entry.At)
		if r.Kind == ledger.Free {
			book.Remove(r.Entry.Key)
			return
		}
		book.Restore(r.Entry, now)
	})
	if err != nil {
		return err
	}
	if rep.DamagedAt >= 0 {
		book.RefuseUnknown()
		logrus.Errorf("%s: the record at byte %d cannot be read: unknown keys are refused until the file is removed", k.File, rep.DamagedAt)
	}
	k.book, k.ledger, k.ready = book, l, true
	logrus.Infof("idempotency keys: loaded %d keys from %d records, truncated %d bytes at the end", book.Len(), rep.Records, rep.TornBytes)
	p.after(now, tidyApart, p.tidyLedger)
	p.lostKeys(now)
	if f := p.start.Fleet; f != nil && f.Terms.Learn != nil {
		k.ready = false // peers may know of newer keys than the ledger holds
		p.witness(now, now+witnessWait)
	}
	return nil
}

// checkLostKeys refuses unknown keys if the snapshot or peers know of newer ones than the ledger holds: it was
// lost, or replaced by an older copy.
func (p *Proxy) lostKeys(now int64) {
	k, newest := p.keys, int64(0)
	if p.comeback != nil {
		newest = p.comeback.newest
	}
	if p.peers != nil {
		heard, _ := p.peers.fleet.Witnessed()
		newest = max(newest, heard)
	}
	if newest/1e6 > k.newest/1e6 && !k.lost { // in milliseconds, as peers report it
		k.lost = true
		k.book.RefuseUnknownWhileRetained(now)
		logrus.Errorf("%s: a known key is %d ms newer than the newest in the file: unknown keys are refused for the retention time", k.File, (newest-k.newest)/1e6)
	}
}

// awaitKeyWitness waits until a peer has reported the newest key, or until the given time: without a report the
// ledger counts as complete.
func (p *Proxy) witness(now, until int64) {
	heard := false
	if p.peers != nil {
		_, heard = p.peers.fleet.Witnessed()
	}
	if p.lostKeys(now); heard || now >= until {
		p.keys.ready = true
		p.newestKey(p.keys.newest)
		return
	}
	p.after(now, witnessApart, func(now int64) { p.witness(now, until) })
}

// recordNewestKey records the start of a key, also for peers to know.
func (p *Proxy) newestKey(at int64) {
	p.keys.newest = max(p.keys.newest, at)
	if p.peers != nil {
		p.peers.fleet.Keyed(at)
	}
}

// compactLedger has the ledger rewritten once most of it is obsolete.
func (p *Proxy) tidyLedger(now int64) {
	k := p.keys
	if size := k.ledger.Size(); size > leastLedger && size > 2*k.book.EstimatedBytes() {
		entries := k.book.Entries(now)
		all := make([]ledger.Record, 0, len(entries))
		for _, e := range entries {
			kind := ledger.End
			if e.State == idempotency.Open {
				kind = ledger.Begin
			}
			all = append(all, ledger.Record{Kind: kind, Entry: *e})
		}
		k.ledger.Rewrite(all, func(err error) {
			if err != nil {
				logrus.Warnf("the ledger could not be compacted: %v", err)
			}
		})
	}
	p.after(now, tidyApart, p.tidyLedger)
}

// handleKeyed handles a request with a key; it returns false if the request has none that applies.
func (p *Proxy) keyed(c *client, call sentAhead) (bool, error) {
	k := p.keys
	if k == nil || !k.book.Covers(call.RuleSet) {
		return false, nil
	}
	i := slices.IndexFunc(call.Fields, func(f http1.Field) bool { return strings.EqualFold(f.Name, k.Header) })
	if i < 0 || call.Fields[i].Value == "" {
		return false, nil
	}
	if err := p.sound(call.Call); err != nil {
		return true, err
	}
	p.count.Keyed++
	refuse := func(status int, outcome string, retry int64) {
		p.answer(c, http1.Answer{Status: status, RetryAfter: retry, Fields: []http1.Field{{Name: outcomeField, Value: outcome}}}, call.Close)
	}
	if call.flow != nil || len(call.Body) > http1.MostWhole {
		refuse(http.StatusRequestEntityTooLarge, "not taken; too large to be compared", 0)
		return true, nil
	}
	if !k.ready || k.ledger != nil && k.ledger.Failed() {
		p.count.KeysRefused++
		refuse(http.StatusServiceUnavailable, "not taken; the store cannot be written", lockRetry)
		return true, nil
	}
	now := p.now()
	key := idempotency.Key{Tenant: call.Tenant, RuleSet: call.RuleSet, Name: call.Fields[i].Value}
	k.last++
	v := k.book.Admit(key, fingerprint(call.Call), k.last, now)
	switch v.Action {
	case idempotency.Proceed:
		if p.ids[call.ID] {
			k.book.Finish(key, idempotency.Denied, idempotency.Response{}, now)
			return true, errOpenID
		}
		p.ids[call.ID] = true
		p.wait(c, call, key, now)
		if k.ledger == nil {
			p.attempt(key, call, now)
			break
		}
		k.ledger.Append(ledger.Record{Kind: ledger.Begin, Entry: *v.Entry}, func(err error) {
			p.post(p.now(), nil, func(int64) {
				if err != nil {
					logrus.Warnf("the start of a key could not be recorded: %v", err)
					p.count.KeysRefused++
					delete(p.ids, call.ID)
					p.settle(key, idempotency.Denied, http1.Answer{Status: http.StatusServiceUnavailable, RetryAfter: k.Terms.RetryAfter})
					return
				}
				p.newestKey(now)
				p.attempt(key, call, p.now())
			})
		})
	case idempotency.Join:
		p.count.Repeats++
		p.wait(c, call, key, now)
	case idempotency.Settled:
		p.count.Repeats++
		p.answer(c, told(v.Entry), call.Close)
	case idempotency.Conflict:
		p.count.KeyConflicts++
		refuse(http.StatusUnprocessableEntity, "not taken; the key stands for another call", 0)
	case idempotency.Full:
		p.count.KeysRefused++
		refuse(http.StatusServiceUnavailable, "not taken; no room for a further key", k.Terms.RetryAfter)
	case idempotency.PossiblyLost:
		p.count.KeysRefused++
		refuse(http.StatusServiceUnavailable, "not taken; keys of before were lost, and this may be one of them", k.Terms.RetryAfter)
	case idempotency.KeyTooLong:
		p.count.KeyConflicts++
		refuse(http.StatusBadRequest, "not taken; the key is too long", 0)
	}
	return true, nil
}

// fingerprint returns a hash of what a request asks.
func fingerprint(c http1.Call) (print idempotency.Fingerprint) {
	h := sha256.New()
	h.Write([]byte(c.Method + "\x00" + c.Target + "\x00"))
	h.Write(c.Body)
	copy(print[:], h.Sum(nil))
	return print
}

// addWaiter keeps a client until its key's attempt has ended, or its own timeout is over.
func (p *Proxy) wait(c *client, call sentAhead, key idempotency.Key, now int64) {
	w := &waiter{number: p.keys.last, key: key, client: c, close: call.Close}
	p.keys.waiters[w.number] = w
	c.waits = w
	w.due = p.after(now, max(1, call.at+call.Timeout-2*wayMargin-now), func(int64) {
		p.leave(w)
		p.answer(c, http1.Answer{Status: http.StatusConflict, RetryAfter: p.keys.Terms.RetryAfter,
			Fields: []http1.Field{{Name: outcomeField, Value: "open"}}}, w.close)
		p.turn(c)
	})
}

// removeWaiter removes a waiter; the attempt goes on.
func (p *Proxy) leave(w *waiter) {
	p.stop(w.due)
	w.client.waits = nil
	delete(p.keys.waiters, w.number)
	p.keys.book.RemoveWaiter(w.key, w.number)
}

// startAttempt hands a key's first request to the balancer. It belongs to the key, not to its client.
func (p *Proxy) attempt(key idempotency.Key, call sentAhead, now int64) {
	left := call.Timeout - wayMargin - (now - call.at)
	if left <= 0 {
		delete(p.ids, call.ID)
		p.settle(key, idempotency.Denied, http1.Answer{Status: http.StatusServiceUnavailable, RetryAfter: p.keys.Terms.RetryAfter})
		return
	}
	p.enter(&req{call: call.Call, key: &key, taken: call.at}, left, now)
}

// finishKey ends a key's attempt and answers all that wait for it.
func (p *Proxy) settle(key idempotency.Key, o idempotency.Outcome, a http1.Answer) {
	k := p.keys
	kept := idempotency.Response{Status: a.Status, Body: a.Body, Stored: a.Piece == http1.Whole}
	for _, f := range a.Fields {
		kept.Fields = append(kept.Fields, [2]string{f.Name, f.Value})
	}
	e, waiters := k.book.Finish(key, o, kept, p.now())
	if e == nil {
		return
	}
	if k.ledger != nil {
		kind := ledger.End
		if e.State == idempotency.Open {
			kind = ledger.Free
		}
		k.ledger.Append(ledger.Record{Kind: kind, Entry: *e}, nil)
	}
	switch {
	case o == idempotency.Aborted:
		a.Fields = append(slices.Clone(a.Fields), http1.Field{Name: outcomeField, Value: e.State.String()})
	case o == idempotency.Served && a.Piece != http1.Whole:
		a = told(e)
	}
	for _, n := range waiters {
		w := k.waiters[n]
		p.stop(w.due)
		delete(k.waiters, n)
		w.client.waits = nil
		p.answer(w.client, a, w.close)
		p.turn(w.client)
	}
}

// replayResponse returns the response to a repeat of a key that has ended.
func told(e *idempotency.Entry) http1.Answer {
	if e.State != idempotency.Done || !e.Response.Stored {
		what := e.State.String()
		if e.State == idempotency.Done {
			what += "; its answer was too large to keep"
		}
		return http1.Answer{Status: http.StatusConflict, Fields: []http1.Field{{Name: outcomeField, Value: what}}}
	}
	a := http1.Answer{Status: e.Response.Status, Body: e.Response.Body}
	for _, f := range e.Response.Fields {
		a.Fields = append(a.Fields, http1.Field{Name: f[0], Value: f[1]})
	}
	a.Fields = append(a.Fields, http1.Field{Name: replayField, Value: "true"})
	return a
}

// keyOutcome maps a final response to a key's outcome.
func outcomeOf(a http1.Answer) idempotency.Outcome {
	switch a.Status {
	case http.StatusOK:
		return idempotency.Served
	case http.StatusServiceUnavailable:
		return idempotency.Denied
	}
	return idempotency.Aborted
}

// adoptWaiter gives a streamed response to the client that has waited for longest; the others are answered once it
// has ended.
func (p *Proxy) lendClient(r *req) {
	var first *waiter
	for _, w := range p.keys.waiters {
		if w.key == *r.key && (first == nil || w.number < first.number) {
			first = w
		}
	}
	if first != nil {
		p.leave(first)
		r.client, first.client.req = first.client, r
		r.call.Close = first.close
	}
}

// finishStreamedKey ends a key whose response was relayed in pieces.
func (p *Proxy) passedKey(r *req, o balance.Outcome) {
	if o == balance.Served {
		p.settle(*r.key, idempotency.Served, http1.Answer{Status: http.StatusOK, Piece: http1.First})
		return
	}
	p.settle(*r.key, idempotency.Aborted, http1.Answer{Status: http.StatusBadGateway})
}
