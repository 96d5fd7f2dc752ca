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
	ledgerRetryInterval = 100 * time.Millisecond // between attempts to open a ledger that another process has locked
	// Peers may report the newest key within this time of a start; until then keys are refused.
	maxWitnessWaitNs   = 15e8
	witnessPollNs      = 5e7     // between checks whether they have
	ledgerRetryAfterNs = 2e8     // Retry-After sent until then
	compactIntervalNs  = 5e9     // between checks whether most of the ledger is obsolete
	minCompactBytes    = 1 << 20 // a ledger with fewer bytes is not compacted
	outcomeHeader      = "Idempotency-Outcome"
	replayedHeader     = "Idempotency-Replayed"
)

// IdempotencyConfig is the operator's configuration of idempotency keys.
type IdempotencyConfig struct {
	Header string // the request header that holds the key
	File   string // the ledger; empty: keys are kept in memory only
	Terms  idempotency.Config
}

// keyState is the event loop's state of idempotency keys; nil if they are off.
type keyState struct {
	IdempotencyConfig
	book       *idempotency.Store
	ledger     *ledger.Ledger     // nil: in memory only, or not opened yet
	ready      bool               // the ledger is open, or none is needed
	waiters    map[uint64]*waiter // removed when they are answered or leave
	lastWaiter uint64
	newestKey  int64 // recorded start of the newest key; 0 if there is none
	keysLost   bool  // keys newer than the newest in the ledger have been lost
}

// waiter is a client's request that waits for a key's result.
type waiter struct {
	number  uint64
	key     idempotency.Key
	client  *client
	close   bool
	timeout *timer // fires when the client's own timeout is over
}

// openKeys opens the ledger. If another process of an upgrade holds it, opening is retried; until then keys are
// refused.
func (p *Proxy) openKeys() error {
	if p.config.Idempotency == nil {
		return nil
	}
	k := &keyState{IdempotencyConfig: *p.config.Idempotency, waiters: map[uint64]*waiter{}}
	k.book = idempotency.New(k.Terms)
	p.keys = k
	if k.File == "" {
		k.ready = true
		return nil
	}
	err := p.openLedger()
	if !errors.Is(err, ledger.ErrLocked) {
		return err
	}
	logrus.Infof("idempotency keys are refused until the ledger is unlocked: %v", err)
	go func() {
		for {
			time.Sleep(ledgerRetryInterval)
			result := make(chan error)
			p.post(p.now(), nil, func(int64) { result <- p.openLedger() })
			switch err := <-result; {
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
func (p *Proxy) openLedger() error {
	k, now := p.keys, p.now()
	if p.recovery != nil { // a lost folder is created anew: peers report how new the lost keys were
		if err := os.MkdirAll(filepath.Dir(k.File), 0o700); err != nil {
			return err
		}
	}
	book := idempotency.New(k.Terms)
	l, report, err := ledger.Open(k.File, func(r ledger.Record) {
		k.newestKey = max(k.newestKey, r.Entry.At)
		if r.Kind == ledger.Free {
			book.Remove(r.Entry.Key)
			return
		}
		book.Restore(r.Entry, now)
	})
	if err != nil {
		return err
	}
	if report.DamagedAt >= 0 {
		book.RefuseUnknown()
		logrus.Errorf("%s: the record at byte %d cannot be read: unknown keys are refused until the file is removed",
			k.File, report.DamagedAt)
	}
	k.book, k.ledger, k.ready = book, l, true
	logrus.Infof("idempotency keys: loaded %d keys from %d records, truncated %d bytes at the end", book.Len(),
		report.Records, report.TornBytes)
	p.after(now, compactIntervalNs, p.compactLedger)
	p.checkLostKeys(now)
	if cfg := p.config.Fleet; cfg != nil && cfg.Terms.Learn != nil {
		k.ready = false // peers may know of newer keys than the ledger holds
		p.awaitKeyWitness(now, now+maxWitnessWaitNs)
	}
	return nil
}

// checkLostKeys refuses unknown keys if the snapshot or peers know of newer ones than the ledger holds: it was
// lost, or replaced by an older copy.
func (p *Proxy) checkLostKeys(now int64) {
	k, newest := p.keys, int64(0)
	if p.recovery != nil {
		newest = p.recovery.newestKey
	}
	if p.peers != nil {
		reported, _ := p.peers.fleet.ReportedKey()
		newest = max(newest, reported)
	}
	if newest/1e6 > k.newestKey/1e6 && !k.keysLost { // in milliseconds, as peers report it
		k.keysLost = true
		k.book.RefuseUnknownWhileRetained(now)
		logrus.Errorf("%s: a known key is %d ms newer than any in the file: unknown keys are refused for the retention time",
			k.File, (newest-k.newestKey)/1e6)
	}
}

// awaitKeyWitness waits until a peer has reported the newest key, or until the given time: without a report the
// ledger counts as complete.
func (p *Proxy) awaitKeyWitness(now, until int64) {
	reported := false
	if p.peers != nil {
		_, reported = p.peers.fleet.ReportedKey()
	}
	if p.checkLostKeys(now); reported || now >= until {
		p.keys.ready = true
		p.recordNewestKey(p.keys.newestKey)
		return
	}
	p.after(now, witnessPollNs, func(now int64) { p.awaitKeyWitness(now, until) })
}

// recordNewestKey records the start of a key, also for peers to know.
func (p *Proxy) recordNewestKey(at int64) {
	p.keys.newestKey = max(p.keys.newestKey, at)
	if p.peers != nil {
		p.peers.fleet.RecordKey(at)
	}
}

// compactLedger has the ledger rewritten once most of it is obsolete.
func (p *Proxy) compactLedger(now int64) {
	k := p.keys
	if size := k.ledger.Size(); size > minCompactBytes && size > 2*k.book.EstimatedBytes() {
		entries := k.book.Entries(now)
		records := make([]ledger.Record, 0, len(entries))
		for _, e := range entries {
			kind := ledger.End
			if e.State == idempotency.Open {
				kind = ledger.Begin
			}
			records = append(records, ledger.Record{Kind: kind, Entry: *e})
		}
		k.ledger.Rewrite(records, func(err error) {
			if err != nil {
				logrus.Warnf("the ledger could not be compacted: %v", err)
			}
		})
	}
	p.after(now, compactIntervalNs, p.compactLedger)
}

// handleKeyed handles a request with a key; it returns false if the request has none that applies.
func (p *Proxy) handleKeyed(c *client, queued queuedRequest) (bool, error) {
	k := p.keys
	if k == nil || !k.book.Covers(queued.RuleSet) {
		return false, nil
	}
	i := slices.IndexFunc(queued.Fields, func(f http1.Field) bool { return strings.EqualFold(f.Name, k.Header) })
	if i < 0 || queued.Fields[i].Value == "" {
		return false, nil
	}
	if err := p.validate(queued.Request); err != nil {
		return true, err
	}
	p.count.Keyed++
	refuse := func(status int, outcome string, retryAfter int64) {
		p.respond(c, http1.Response{Status: status, RetryAfter: retryAfter,
			Fields: []http1.Field{{Name: outcomeHeader, Value: outcome}}}, queued.Close)
	}
	if queued.body != nil || len(queued.Body) > http1.MaxWholeBytes {
		refuse(http.StatusRequestEntityTooLarge, "not taken; too large to be compared", 0)
		return true, nil
	}
	if !k.ready || k.ledger != nil && k.ledger.Failed() {
		p.count.KeysRefused++
		refuse(http.StatusServiceUnavailable, "not taken; the store cannot be written", ledgerRetryAfterNs)
		return true, nil
	}
	now := p.now()
	key := idempotency.Key{Tenant: queued.Tenant, RuleSet: queued.RuleSet, Name: queued.Fields[i].Value}
	k.lastWaiter++
	verdict := k.book.Admit(key, fingerprint(queued.Request), k.lastWaiter, now)
	switch verdict.Action {
	case idempotency.Proceed:
		if p.ids[queued.ID] {
			k.book.Finish(key, idempotency.Denied, idempotency.Response{}, now)
			return true, errDuplicateID
		}
		p.ids[queued.ID] = true
		p.addWaiter(c, queued, key, now)
		if k.ledger == nil {
			p.startAttempt(key, queued, now)
			break
		}
		k.ledger.Append(ledger.Record{Kind: ledger.Begin, Entry: *verdict.Entry}, func(err error) {
			p.post(p.now(), nil, func(int64) {
				if err != nil {
					logrus.Warnf("the start of a key could not be recorded: %v", err)
					p.count.KeysRefused++
					delete(p.ids, queued.ID)
					p.finishKey(key, idempotency.Denied,
						http1.Response{Status: http.StatusServiceUnavailable, RetryAfter: k.Terms.RetryAfter})
					return
				}
				p.recordNewestKey(now)
				p.startAttempt(key, queued, p.now())
			})
		})
	case idempotency.Join:
		p.count.Repeats++
		p.addWaiter(c, queued, key, now)
	case idempotency.Settled:
		p.count.Repeats++
		p.respond(c, replayResponse(verdict.Entry), queued.Close)
	case idempotency.Conflict:
		p.count.KeyConflicts++
		refuse(http.StatusUnprocessableEntity, "not taken; the key stands for another call", 0)
	case idempotency.Full:
		p.count.KeysRefused++
		refuse(http.StatusServiceUnavailable, "not taken; no room for a further key", k.Terms.RetryAfter)
	case idempotency.PossiblyLost:
		p.count.KeysRefused++
		refuse(http.StatusServiceUnavailable, "not taken; keys of before were lost, and this may be one of them",
			k.Terms.RetryAfter)
	case idempotency.KeyTooLong:
		p.count.KeyConflicts++
		refuse(http.StatusBadRequest, "not taken; the key is too long", 0)
	}
	return true, nil
}

// fingerprint returns a hash of what a request asks.
func fingerprint(msg http1.Request) (print idempotency.Fingerprint) {
	h := sha256.New()
	h.Write([]byte(msg.Method + "\x00" + msg.Target + "\x00"))
	h.Write(msg.Body)
	copy(print[:], h.Sum(nil))
	return print
}

// addWaiter keeps a client until its key's attempt has ended, or its own timeout is over.
func (p *Proxy) addWaiter(c *client, queued queuedRequest, key idempotency.Key, now int64) {
	w := &waiter{number: p.keys.lastWaiter, key: key, client: c, close: queued.Close}
	p.keys.waiters[w.number] = w
	c.waiter = w
	w.timeout = p.after(now, max(1, queued.at+queued.Timeout-2*returnMarginNs-now), func(int64) {
		p.removeWaiter(w)
		p.respond(c, http1.Response{Status: http.StatusConflict, RetryAfter: p.keys.Terms.RetryAfter,
			Fields: []http1.Field{{Name: outcomeHeader, Value: "open"}}}, w.close)
		p.serveNext(c)
	})
}

// removeWaiter removes a waiter; the attempt goes on.
func (p *Proxy) removeWaiter(w *waiter) {
	p.stop(w.timeout)
	w.client.waiter = nil
	delete(p.keys.waiters, w.number)
	p.keys.book.RemoveWaiter(w.key, w.number)
}

// startAttempt hands a key's first request to the balancer. It belongs to the key, not to its client.
func (p *Proxy) startAttempt(key idempotency.Key, queued queuedRequest, now int64) {
	budget := queued.Timeout - returnMarginNs - (now - queued.at)
	if budget <= 0 {
		delete(p.ids, queued.ID)
		p.finishKey(key, idempotency.Denied, http1.Response{Status: http.StatusServiceUnavailable,
			RetryAfter: p.keys.Terms.RetryAfter})
		return
	}
	p.addRequest(&request{msg: queued.Request, key: &key, receivedAt: queued.at}, budget, now)
}

// finishKey ends a key's attempt and answers all that wait for it.
func (p *Proxy) finishKey(key idempotency.Key, outcome idempotency.Outcome, resp http1.Response) {
	k := p.keys
	stored := idempotency.Response{Status: resp.Status, Body: resp.Body, Stored: resp.Piece == http1.Whole}
	for _, f := range resp.Fields {
		stored.Fields = append(stored.Fields, [2]string{f.Name, f.Value})
	}
	entry, waiters := k.book.Finish(key, outcome, stored, p.now())
	if entry == nil {
		return
	}
	if k.ledger != nil {
		kind := ledger.End
		if entry.State == idempotency.Open {
			kind = ledger.Free
		}
		k.ledger.Append(ledger.Record{Kind: kind, Entry: *entry}, nil)
	}
	switch {
	case outcome == idempotency.Aborted:
		resp.Fields = append(slices.Clone(resp.Fields), http1.Field{Name: outcomeHeader, Value: entry.State.String()})
	case outcome == idempotency.Served && resp.Piece != http1.Whole:
		resp = replayResponse(entry)
	}
	for _, n := range waiters {
		w := k.waiters[n]
		p.stop(w.timeout)
		delete(k.waiters, n)
		w.client.waiter = nil
		p.respond(w.client, resp, w.close)
		p.serveNext(w.client)
	}
}

// replayResponse returns the response to a repeat of a key that has ended.
func replayResponse(entry *idempotency.Entry) http1.Response {
	if entry.State != idempotency.Done || !entry.Response.Stored {
		state := entry.State.String()
		if entry.State == idempotency.Done {
			state += "; its answer was too large to keep"
		}
		return http1.Response{Status: http.StatusConflict, Fields: []http1.Field{{Name: outcomeHeader, Value: state}}}
	}
	resp := http1.Response{Status: entry.Response.Status, Body: entry.Response.Body}
	for _, f := range entry.Response.Fields {
		resp.Fields = append(resp.Fields, http1.Field{Name: f[0], Value: f[1]})
	}
	resp.Fields = append(resp.Fields, http1.Field{Name: replayedHeader, Value: "true"})
	return resp
}

// keyOutcome maps a final response to a key's outcome.
func keyOutcome(resp http1.Response) idempotency.Outcome {
	switch resp.Status {
	case http.StatusOK:
		return idempotency.Served
	case http.StatusServiceUnavailable:
		return idempotency.Denied
	}
	return idempotency.Aborted
}

// adoptWaiter gives a streamed response to the client that has waited for longest; the others are answered once it
// has ended.
func (p *Proxy) adoptWaiter(r *request) {
	var oldest *waiter
	for _, w := range p.keys.waiters {
		if w.key == *r.key && (oldest == nil || w.number < oldest.number) {
			oldest = w
		}
	}
	if oldest != nil {
		p.removeWaiter(oldest)
		r.client, oldest.client.request = oldest.client, r
		r.msg.Close = oldest.close
	}
}

// finishStreamedKey ends a key whose response was relayed in pieces.
func (p *Proxy) finishStreamedKey(r *request, outcome balance.Outcome) {
	if outcome == balance.Served {
		p.finishKey(*r.key, idempotency.Served, http1.Response{Status: http.StatusOK, Piece: http1.First})
		return
	}
	p.finishKey(*r.key, idempotency.Aborted, http1.Response{Status: http.StatusBadGateway})
}
