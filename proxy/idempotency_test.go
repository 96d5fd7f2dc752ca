package proxy

import (
	"fmt"
	"path/filepath"
	"testing"
	"time"

	"ivybank/keys/idempotency"
	"ivybank/keys/ledger"
)

// A ledger most of which is obsolete is rewritten with the live records only; one that is mostly live is left as it
// is.
func TestCompactLedger(t *testing.T) {
	p := newBareProxy(t)
	file := filepath.Join(t.TempDir(), "keys.ledger")
	p.config.Idempotency = &IdempotencyConfig{Header: "K", File: file,
		Terms: idempotency.Config{MaxKeys: 1 << 20, MaxResponseBytes: 1 << 30, MaxResponseSize: 1 << 16,
			MaxWaiters: 1, MaxKeyLength: 99,
			Retain: map[string]int64{"once": int64(time.Hour)}}}
	if err := p.openKeys(); err != nil {
		t.Fatal(err)
	}
	k := p.keys
	for i := range 3000 {
		key := idempotency.Key{RuleSet: "once", Name: fmt.Sprint(i)}
		v := k.book.Admit(key, idempotency.Fingerprint{}, 1, p.now())
		k.ledger.Append(ledger.Record{Kind: ledger.Begin, Entry: *v.Entry}, nil)
		o, a := idempotency.Denied, idempotency.Response{}
		if i%100 == 0 {
			o, a = idempotency.Served, idempotency.Response{Status: 200, Stored: true, Body: []byte("x")}
		}
		e, _ := k.book.Finish(key, o, a, p.now())
		kind := ledger.Free
		if o == idempotency.Served {
			kind = ledger.End
		}
		e.Response.Fields = [][2]string{{"X", string(make([]byte, 400))}} // make the obsolete records large, too
		k.ledger.Append(ledger.Record{Kind: kind, Entry: *e}, nil)
	}
	settled := func() {
		t.Helper()
		done := make(chan error)
		k.ledger.Append(ledger.Record{Kind: ledger.Free,
			Entry: idempotency.Entry{Key: idempotency.Key{RuleSet: "once", Name: "0"}}}, func(err error) { done <- err })
		if err := <-done; err != nil {
			t.Fatal(err)
		}
	}
	settled()
	before := k.ledger.Size()
	if before < minCompactBytes {
		t.Fatalf("got %d bytes, too few for this test", before)
	}
	p.compactLedger(p.now())
	settled()
	after := k.ledger.Size()
	if after > before/10 {
		t.Errorf("got %d bytes of %d with 30 of 3000 keys live", after, before)
	}
	p.compactLedger(p.now())
	settled()
	if again := k.ledger.Size(); again < after {
		t.Errorf("got %d bytes of %d: a ledger of live records was rewritten", again, after)
	}
	k.ledger.Close()
	n := 0
	l, _, err := ledger.Open(file, func(r ledger.Record) {
		if r.Kind == ledger.End {
			n++
		}
	})
	if err != nil || n != 30 {
		t.Errorf("got %d keys, %v, want the 30 that are live", n, err)
	}
	l.Close()
}
