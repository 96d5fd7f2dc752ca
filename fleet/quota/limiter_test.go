package quota

import (
	"reflect"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"ivybank/internal/strictcbor"
)

// held gives a book whose tenant holds so much of one quota until a time.
func heldBook(q Quota, amount, until int64, reqs int) (*Book, *Holder) {
	h := NewHolder(q, terms(), 0, 1, 1, NewClocks(0, 3, second, second))
	h.asks[1] = ask{1, 0}
	h.Grant(Grant{Quota: q.ID, Life: 1, Term: 1, Window: firstWindow, Num: 1, Total: Pair{amount, 0},
		Rest: until, From: q.From, Spread: q.Spread, Opens: until}, 0)
	b := NewBook(10*second, reqs)
	b.Add("t", h.Slot())
	return b, h
}

func TestChargeIsSettledOnce(t *testing.T) {
	q := minutely(100)
	q.Unit = Cost
	b, h := heldBook(q, 20, second, 64)
	x, v := b.Admit(1, Req{Tenant: "t", Cost: 8, Key: 7})
	again, w := b.Admit(2, Req{Tenant: "t", Cost: 8, Key: 7})
	if v.Denied || w.Denied || h.left()[0] != 12 {
		t.Fatal("a retry was charged", h.left())
	}
	b.Done(&x, false, Req{})
	if h.left()[0] != 12 {
		t.Fatal("gave back while a retry may run")
	}
	b.Done(&again, true, Req{Cost: 5})
	if h.left()[0] != 15 {
		t.Fatal("settled with", h.left())
	}
	b.Done(&again, false, Req{})
	b.Done(&x, false, Req{})
	if h.left()[0] != 15 {
		t.Fatal("a ticket counted twice", h.left())
	}
	if y, _ := b.Admit(3, Req{Tenant: "t", Cost: 8, Key: 7}); h.left()[0] != 15 {
		t.Fatal("a retry of what ran was charged")
	} else {
		b.Done(&y, false, Req{})
	}
	if h.left()[0] != 15 {
		t.Fatal("a retry that never ran gave back what the first had taken")
	}
	if _, v := b.Admit(20*second, Req{Tenant: "t", Cost: 8, Key: 7}); !v.Denied || v.Wait < 0 {
		t.Fatal("let in when its time was over", v)
	}
}

func TestDeniedIsToldWhenItOpens(t *testing.T) {
	b, _ := heldBook(minutely(100), 1, 40*second, 64)
	b.Admit(1, Req{Tenant: "t"})
	waits := map[int64]bool{}
	for range 20 {
		_, v := b.Admit(10*second, Req{Tenant: "t"})
		if !v.Denied || v.Wait < 30*second || v.Wait > 31*second {
			t.Fatal(v)
		}
		waits[v.Wait] = true
	}
	if len(waits) < 15 {
		t.Error("all are sent back at one time", len(waits))
	}
}

// Two quotas on a tenant: who is denied by the second has not been charged by the first.
func TestAllQuotasOrNone(t *testing.T) {
	b, h := heldBook(minutely(100), 5, 40*second, 64)
	_, other := heldBook(minutely(100), 2, 40*second, 64)
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
	for range most - 2 {
		b.Add("t", other.Slot())
	}
	if b.Add("t", other.Slot()) {
		t.Error("took a fifth quota")
	}
}

// The table of retries stays as it is however many come; what is open is never put out of it.
func TestRetriesAreBounded(t *testing.T) {
	b, h := heldBook(minutely(100), 1000, 40*second, 16)
	x, _ := b.Admit(1, Req{Tenant: "t", Key: 1})
	for k := range uint64(500) {
		y, _ := b.Admit(2, Req{Tenant: "t", Key: k + 2})
		b.Done(&y, true, Req{})
	}
	if n := len(b.sets) * ways; n != 16 {
		t.Error("entries", n)
	}
	left := h.left()[0]
	if again, _ := b.Admit(3, Req{Tenant: "t", Key: 1}); h.left()[0] != left || again.entry == nil {
		t.Error("an open req was forgotten")
	}
	b.Done(&x, false, Req{})
	if h.left()[0] != left {
		t.Error("gave back while a retry is open")
	}
}

// What is written down is read back as it was.
func TestStateIsAValue(t *testing.T) {
	w := newWorld(minutely(30), terms(), 3, 1)
	w.own(0)
	for range 60 {
		w.step(0)
		w.ask(1, 1, Req{}, second, 0)
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

// Of one that dies with all it may hold, a slice is stranded at the most, and of an owner what it had written
// ahead.
func TestStrandedIsBounded(t *testing.T) {
	q := minutely(600)
	q.Slice, q.Ahead = 10, 10
	tt := terms()
	tt.Old = 0
	w := newWorld(q, tt, 3, 1)
	w.began -= 40 * second // the window ends in 50 s
	w.own(0)
	for w.now < 2*second {
		w.step(0)
		w.ask(2, 3, Req{}, 0, 0)
	}
	w.kill(2)
	had := w.procs[2].holder.left()[0]
	for w.now < 3*second {
		w.step(0)
		w.ask(1, 3, Req{}, 0, 0)
	}
	w.kill(0)
	w.back(0, 0) // it votes on, and holds nothing
	w.own(1)
	for w.now < 45*second {
		w.step(0)
		w.ask(1, 4, Req{}, 0, 0)
	}
	start, _ := q.Calendar.At(w.began)
	stranded := q.Amount - w.effects[start]
	bound := 2*q.Slice + q.Ahead
	t.Logf("stranded %d, bound %d, the dead had %d", stranded, bound, had)
	if stranded > bound || w.procs[1].denied == 0 {
		t.Error("stranded", stranded, "denied", w.procs[1].denied)
	}
}

// In calm, with 1.2 times the demand, what ran by a window's end.
func TestCalmUsesAll(t *testing.T) {
	q := minutely(3000)
	q.Slice, q.Ahead = 30, 30
	w := newWorld(q, terms(), 12, 1)
	w.began -= 50 * second
	w.tick = 10 * ms
	w.own(0)
	for w.now < 60*second {
		w.step(0)
		for i := range w.procs { // 5 a second each: 3600 in the minute
			if (w.now/w.tick)%20 == int64(i) {
				w.ask(i, 1, Req{}, 0, 0)
			}
		}
	}
	start, _ := q.Calendar.At(w.began)
	t.Logf("%d of %d ran", w.effects[start], q.Amount)
	if w.effects[start] < 2985 || w.effects[start] > 3000 {
		t.Error("ran", w.effects[start])
	}
}

func BenchmarkAdmit(b *testing.B) {
	book, h := heldBook(minutely(100), 1<<50, 1<<60, 4096)
	_, other := heldBook(minutely(100), 1<<50, 1<<60, 64)
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
		h.cell.left[0].Store(0)
		b.ReportAllocs()
		for range b.N {
			if _, v := book.Admit(1, Req{Tenant: "t"}); !v.Denied {
				b.Fatal("let in")
			}
		}
	})
}

// A member's part in a second of steady demand: its reports and the answers.
func BenchmarkHolderSecond(b *testing.B) {
	_, h := heldBook(minutely(100), 1<<40, 1<<60, 64)
	h.Owner(0)
	now, n := int64(0), 0
	for range b.N {
		for end := now + second; now < end; now += 100 * ms {
			h.cell.asked[0].Add(5)
			for _, l := range h.Tick(now) {
				r := l.Body.(Report)
				h.Grant(Grant{Quota: 1, Life: 1, Term: 1, Window: firstWindow, Num: r.Num, Total: h.total,
					Rest: 1 << 60}, now)
				n++
			}
		}
	}
	b.ReportMetric(float64(n)/float64(b.N), "reports/s")
}

func BenchmarkOwnerReport2000(b *testing.B) {
	t := terms()
	t.Places = 2000
	q := minutely(1 << 40)
	q.Slice = 1 << 20
	o, _ := NewOwner(0, 1, q, t, []int{0}, NewClocks(0, 2000, second, second), 1)
	v := Voter{}
	answer := func(out []Letter) {
		for len(out) > 0 {
			l := out[0]
			out = out[1:]
			switch m := l.Body.(type) {
			case Promise:
				for _, x := range v.Promise(m, 0, 1) {
					out = append(out, o.Promised(x.Body.(Promised), 1, firstWindow)...)
				}
			case Save:
				for _, x := range v.Save(m, 0, t, 1, firstWindow) {
					out = append(out, o.Saved(x.Body.(Saved), 1, firstWindow)...)
				}
			}
		}
	}
	answer(o.ask(1))
	b.ReportAllocs()
	for i := range b.N {
		r := Report{Quota: 1, Place: i % 2000, Life: 1, Window: firstWindow, Num: uint32(1 + i/2000), Want: Pair{5}}
		answer(o.Report(r, 1, firstWindow+second))
	}
}

// Reqs of several books count down beside the holder's task, and nothing is lost or made.
func TestReqsBesideTheTask(t *testing.T) {
	_, h := heldBook(minutely(100), 1000, 1<<60, 16)
	h.Owner(0)
	var wg sync.WaitGroup
	var kept atomic.Int64
	for range 4 {
		b := NewBook(second, 16)
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
			h.Grant(Grant{Quota: 1, Life: 1, Term: 1, Window: firstWindow, Num: l.Body.(Report).Num,
				Total: Pair{total, 0}, Rest: 1 << 60}, i*second)
		}
	}
	wg.Wait()
	if sum := kept.Load() + h.left()[0] + h.returned[0]; sum != h.total[0] {
		t.Errorf("%d spent, %d left, %d given back, of %d", kept.Load(), h.left()[0], h.returned[0], h.total[0])
	}
}
