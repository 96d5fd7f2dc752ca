package quota

import (
	"reflect"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"ivybank/internal/strictcbor"
)

// limiterHolding returns a limiter whose tenant holds amount of one quota until a time.
func limiterHolding(q Quota, amount, until int64, reqs int) (*Limiter, *Holder) {
	h := NewHolder(q, testConfig(), 0, 1, 1, NewClocks(0, 3, second, second))
	h.requests[1] = request{1, 0}
	h.HandleGrant(Grant{Quota: q.ID, Incarnation: 1, Term: 1, Window: firstWindow, Num: 1, Total: Pair{amount, 0},
		Remaining: until, ReserveFrom: q.ReserveFrom, Spread: q.Spread, OpensIn: until}, 0)
	b := NewLimiter(10*second, reqs)
	b.Add("t", h.Slot())
	return b, h
}

func TestChargeIsSettledOnce(t *testing.T) {
	q := minuteQuota(100)
	q.Unit = Cost
	b, h := limiterHolding(q, 20, second, 64)
	x, v := b.Admit(1, Req{Tenant: "t", Cost: 8, Key: 7})
	again, w := b.Admit(2, Req{Tenant: "t", Cost: 8, Key: 7})
	if v.Denied || w.Denied || h.left()[0] != 12 {
		t.Fatal("a retry was charged; left", h.left())
	}
	b.Done(&x, false, Req{})
	if h.left()[0] != 12 {
		t.Fatal("refunded while a retry may run")
	}
	b.Done(&again, true, Req{Cost: 5})
	if h.left()[0] != 15 {
		t.Fatal("not settled to the amount used; left", h.left())
	}
	b.Done(&again, false, Req{})
	b.Done(&x, false, Req{})
	if h.left()[0] != 15 {
		t.Fatal("a ticket was settled twice; left", h.left())
	}
	if y, _ := b.Admit(3, Req{Tenant: "t", Cost: 8, Key: 7}); h.left()[0] != 15 {
		t.Fatal("a retry of a req that ran was charged")
	} else {
		b.Done(&y, false, Req{})
	}
	if h.left()[0] != 15 {
		t.Fatal("a retry that never ran refunded the charge of the first dispatch")
	}
	if _, v := b.Admit(20*second, Req{Tenant: "t", Cost: 8, Key: 7}); !v.Denied || v.RetryAfter < 0 {
		t.Fatal("admitted after the lease had expired", v)
	}
}

func TestDeniedIsToldWhenItOpens(t *testing.T) {
	b, _ := limiterHolding(minuteQuota(100), 1, 40*second, 64)
	b.Admit(1, Req{Tenant: "t"})
	waits := map[int64]bool{}
	for range 20 {
		_, v := b.Admit(10*second, Req{Tenant: "t"})
		if !v.Denied || v.RetryAfter < 30*second || v.RetryAfter > 31*second {
			t.Fatal(v)
		}
		waits[v.RetryAfter] = true
	}
	if len(waits) < 15 {
		t.Error("denied clients are told to retry at the same time; distinct waits:", len(waits))
	}
}

// With two quotas on a tenant, a req denied by the second is not charged to the first.
func TestAllQuotasOrNone(t *testing.T) {
	b, h := limiterHolding(minuteQuota(100), 5, 40*second, 64)
	_, other := limiterHolding(minuteQuota(100), 2, 40*second, 64)
	b.Add("t", other.Slot())
	for range 4 {
		b.Admit(1, Req{Tenant: "t"})
	}
	if h.left()[0] != 3 || other.left()[0] != 0 {
		t.Error(h.left(), other.left())
	}
	if _, v := b.Admit(1, Req{Tenant: "u"}); v.Denied {
		t.Error("a tenant without a quota was denied")
	}
	for range maxQuotasPerTenant - 2 {
		b.Add("t", other.Slot())
	}
	if b.Add("t", other.Slot()) {
		t.Error("accepted a fifth quota")
	}
}

// The table of retries has a fixed size, and an open req is never evicted.
func TestRetriesAreBounded(t *testing.T) {
	b, h := limiterHolding(minuteQuota(100), 1000, 40*second, 16)
	x, _ := b.Admit(1, Req{Tenant: "t", Key: 1})
	for k := range uint64(500) {
		y, _ := b.Admit(2, Req{Tenant: "t", Key: k + 2})
		b.Done(&y, true, Req{})
	}
	if n := len(b.sets) * entriesPerSet; n != 16 {
		t.Error("entries", n)
	}
	left := h.left()[0]
	if again, _ := b.Admit(3, Req{Tenant: "t", Key: 1}); h.left()[0] != left || again.entry == nil {
		t.Error("an open req was evicted")
	}
	b.Done(&x, false, Req{})
	if h.left()[0] != left {
		t.Error("refunded while a retry is open")
	}
}

// A voter's state is the same after encoding and decoding.
func TestStateIsAValue(t *testing.T) {
	w := newWorld(minuteQuota(30), testConfig(), 3, 1)
	w.own(0)
	for range 60 {
		w.step(0)
		w.sendReqs(1, 1, Req{}, second, 0)
	}
	enc, dec := strictcbor.Modes(cbor.DecOptions{})
	b, err := enc.Marshal(w.procs[1].voter)
	if err != nil {
		t.Fatal(err)
	}
	var got Voter
	if err := dec.Unmarshal(b, &got); err != nil {
		t.Fatal(err)
	}
	want := w.procs[1].voter
	want.State.Quota.Calendar.Zone = nil
	if !reflect.DeepEqual(got, want) {
		t.Errorf("%+v\n%+v", got, want)
	}
	t.Logf("%d bytes with %d window", len(b), len(got.State.Windows))
}

// A crashed process loses at most MaxUnspent tokens, and a crashed owner at most those it had saved ahead.
func TestStrandedIsBounded(t *testing.T) {
	q := minuteQuota(600)
	q.MaxUnspent, q.WriteAhead = 10, 10
	tt := testConfig()
	tt.MaxRolledBack = 0
	w := newWorld(q, tt, 3, 1)
	w.startUnix -= 40 * second // the window ends in 50 s
	w.own(0)
	for w.now < 2*second {
		w.step(0)
		w.sendReqs(2, 3, Req{}, 0, 0)
	}
	w.kill(2)
	had := w.procs[2].holder.left()[0]
	for w.now < 3*second {
		w.step(0)
		w.sendReqs(1, 3, Req{}, 0, 0)
	}
	w.kill(0)
	w.back(0, 0) // it goes on voting, and holds no tokens
	w.own(1)
	for w.now < 45*second {
		w.step(0)
		w.sendReqs(1, 4, Req{}, 0, 0)
	}
	start, _ := q.Calendar.At(w.startUnix)
	stranded := q.Amount - w.ran[start]
	bound := 2*q.MaxUnspent + q.WriteAhead
	t.Logf("lost %d, bound %d, the crashed process had %d", stranded, bound, had)
	if stranded > bound || w.procs[1].denied == 0 {
		t.Error("lost", stranded, "denied", w.procs[1].denied)
	}
}

// Without faults, and with a demand of 1.2 times the quota, at least 99.5 % of the quota is used by the end of a
// window.
func TestCalmUsesAll(t *testing.T) {
	q := minuteQuota(3000)
	q.MaxUnspent, q.WriteAhead = 30, 30
	w := newWorld(q, testConfig(), 12, 1)
	w.startUnix -= 50 * second
	w.tick = 10 * ms
	w.own(0)
	for w.now < 60*second {
		w.step(0)
		for i := range w.procs { // 5 a second each: 3600 in the minute
			if (w.now/w.tick)%20 == int64(i) {
				w.sendReqs(i, 1, Req{}, 0, 0)
			}
		}
	}
	start, _ := q.Calendar.At(w.startUnix)
	t.Logf("%d of %d ran", w.ran[start], q.Amount)
	if w.ran[start] < 2985 || w.ran[start] > 3000 {
		t.Error("ran", w.ran[start])
	}
}

func BenchmarkAdmit(b *testing.B) {
	book, h := limiterHolding(minuteQuota(100), 1<<50, 1<<60, 4096)
	_, other := limiterHolding(minuteQuota(100), 1<<50, 1<<60, 64)
	book.Add("t", other.Slot())
	b.Run("two quotas", func(b *testing.B) {
		b.ReportAllocs()
		for range b.N {
			t, v := book.Admit(1, Req{Tenant: "t"})
			if v.Denied {
				b.Fatal("denied")
			}
			book.Done(&t, true, Req{})
		}
	})
	b.Run("keyed", func(b *testing.B) {
		b.ReportAllocs()
		for i := range b.N {
			t, _ := book.Admit(int64(i), Req{Tenant: "t", Key: uint64(i/2)*0x9e3779b97f4a7c15 + 1})
			book.Done(&t, true, Req{})
		}
	})
	b.Run("denied", func(b *testing.B) {
		h.tokens.left[0].Store(0)
		b.ReportAllocs()
		for range b.N {
			if _, v := book.Admit(1, Req{Tenant: "t"}); !v.Denied {
				b.Fatal("admitted")
			}
		}
	})
}

// BenchmarkHolderSecond measures a holder in one second of steady demand: its reports and the answers.
func BenchmarkHolderSecond(b *testing.B) {
	_, h := limiterHolding(minuteQuota(100), 1<<40, 1<<60, 64)
	h.SetOwner(0)
	now, n := int64(0), 0
	for range b.N {
		for end := now + second; now < end; now += 100 * ms {
			h.tokens.demanded[0].Add(5)
			for _, l := range h.Tick(now) {
				r := l.Body.(Report)
				h.HandleGrant(Grant{Quota: 1, Incarnation: 1, Term: 1, Window: firstWindow, Num: r.Num, Total: h.total,
					Remaining: 1 << 60}, now)
				n++
			}
		}
	}
	b.ReportMetric(float64(n)/float64(b.N), "reports/s")
}

func BenchmarkOwnerReport2000(b *testing.B) {
	t := testConfig()
	t.Members = 2000
	q := minuteQuota(1 << 40)
	q.MaxUnspent = 1 << 20
	o, _ := NewOwner(0, 1, q, t, []int{0}, NewClocks(0, 2000, second, second), 1)
	v := Voter{}
	answer := func(out []Message) {
		for len(out) > 0 {
			l := out[0]
			out = out[1:]
			switch m := l.Body.(type) {
			case PromiseRequest:
				for _, x := range v.HandlePromise(m, 0, 1) {
					out = append(out, o.HandlePromiseReply(x.Body.(PromiseReply), 1, firstWindow)...)
				}
			case SaveRequest:
				for _, x := range v.HandleSave(m, 0, t, 1, firstWindow) {
					out = append(out, o.HandleSaveReply(x.Body.(SaveReply), 1, firstWindow)...)
				}
			}
		}
	}
	answer(o.requestPromises(1))
	b.ReportAllocs()
	for i := range b.N {
		r := Report{Quota: 1, Member: i % 2000, Incarnation: 1, Window: firstWindow, Num: uint32(1 + i/2000), Want: Pair{5}}
		answer(o.HandleReport(r, 1, firstWindow+second))
	}
}

// Reqs of several limiters and the holder take tokens concurrently; no token is lost or created.
func TestReqsBesideTheTask(t *testing.T) {
	_, h := limiterHolding(minuteQuota(100), 1000, 1<<60, 16)
	h.SetOwner(0)
	var wg sync.WaitGroup
	var kept atomic.Int64
	for range 4 {
		b := NewLimiter(second, 16)
		b.Add("t", h.Slot())
		wg.Go(func() {
			for i := range 5000 {
				x, v := b.Admit(1, Req{Tenant: "t"})
				if v.Denied {
					continue
				}
				if i%3 > 0 {
					kept.Add(1)
				}
				b.Done(&x, i%3 > 0, Req{})
			}
		})
	}
	total := int64(1000)
	for i := range int64(200) {
		total += 20
		h.giveBack(Pair{7, 0})
		for _, l := range h.Tick(i * second) {
			h.HandleGrant(Grant{Quota: 1, Incarnation: 1, Term: 1, Window: firstWindow, Num: l.Body.(Report).Num,
				Total: Pair{total, 0}, Remaining: 1 << 60}, i*second)
		}
	}
	wg.Wait()
	if sum := kept.Load() + h.left()[0] + h.returned[0]; sum != h.total[0] {
		t.Errorf("%d spent, %d left, %d given back, of %d", kept.Load(), h.left()[0], h.returned[0], h.total[0])
	}
}
