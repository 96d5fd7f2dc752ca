package idempotency

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"strings"
	"testing"
)

const sec = int64(1e9)

var terms = Terms{Most: 40, Bytes: 1000, Largest: 100, Waiters: 3, Longest: 10, Retain: map[string]int64{"a": 10 * sec, "b": 20 * sec}}

func TestVerdicts(t *testing.T) {
	k := Key{"t", "a", "k"}
	for name, c := range map[string]struct {
		before func(b *Book)
		key    Key
		print  Print
		at     int64
		want   Kind
		state  State
	}{
		"first":                {func(*Book) {}, k, Print{1}, 0, Go, Open},
		"joins":                {func(b *Book) { b.Arrive(k, Print{1}, 1, 0) }, k, Print{1}, 1, Join, Open},
		"something else":       {func(b *Book) { b.Arrive(k, Print{1}, 1, 0) }, k, Print{2}, 1, Conflict, Open},
		"another tenant's":     {func(b *Book) { b.Arrive(k, Print{1}, 1, 0) }, Key{"u", "a", "k"}, Print{2}, 1, Go, Open},
		"another rule set's":   {func(b *Book) { b.Arrive(k, Print{1}, 1, 0) }, Key{"t", "b", "k"}, Print{2}, 1, Go, Open},
		"done":                 {func(b *Book) { b.Arrive(k, Print{1}, 1, 0); b.Ended(k, Served, Answer{Status: 200, Kept: true}, 1) }, k, Print{1}, 2, Told, Done},
		"unsure":               {func(b *Book) { b.Arrive(k, Print{1}, 1, 0); b.Ended(k, Aborted, Answer{}, 1) }, k, Print{1}, 2, Told, Unsure},
		"done, something else": {func(b *Book) { b.Arrive(k, Print{1}, 1, 0); b.Ended(k, Served, Answer{}, 1) }, k, Print{2}, 2, Conflict, Done},
		"free":                 {func(b *Book) { b.Arrive(k, Print{1}, 1, 0); b.Ended(k, Denied, Answer{}, 1) }, k, Print{2}, 2, Go, Open},
		"past its time":        {func(b *Book) { b.Arrive(k, Print{1}, 1, 0); b.Ended(k, Aborted, Answer{}, 1) }, k, Print{2}, 1 + 10*sec, Go, Open},
		"just within its time": {func(b *Book) { b.Arrive(k, Print{1}, 1, 0); b.Ended(k, Aborted, Answer{}, 1) }, k, Print{1}, 10 * sec, Told, Unsure},
		"open for ever":        {func(b *Book) { b.Arrive(k, Print{1}, 1, 0) }, k, Print{1}, 1000 * sec, Join, Open},
		"too many wait": {func(b *Book) {
			for i := range 3 {
				b.Arrive(k, Print{1}, uint64(i), 0)
			}
		}, k, Print{1}, 1, Full, Open},
		"room once one has left": {func(b *Book) {
			for i := range 3 {
				b.Arrive(k, Print{1}, uint64(i), 0)
			}
			b.Left(k, 1)
		}, k, Print{1}, 1, Join, Open},
		"too long":       {func(*Book) {}, Key{"t", "a", strings.Repeat("k", 11)}, Print{1}, 0, TooLong, Open},
		"lost":           {func(b *Book) { b.Lose(5) }, k, Print{1}, 0, Lost, Open},
		"sealed":         {func(b *Book) { b.Seal() }, k, Print{1}, 0, Full, Open},
		"sealed, known":  {func(b *Book) { b.Restore(Entry{Key: k, Print: Print{1}}, 0); b.Seal() }, k, Print{1}, 0, Told, Unsure},
		"from after now": {func(b *Book) { b.Restore(Entry{Key: k, Print: Print{1}, State: Done, At: 500 * sec}, 0) }, k, Print{1}, 9 * sec, Told, Done},
		"taken away":     {func(b *Book) { b.Restore(Entry{Key: Key{"t", "z", "k"}}, 0) }, Key{"t", "z", "k"}, Print{1}, 0, Go, Open},
	} {
		t.Run(name, func(t *testing.T) {
			b := New(terms)
			c.before(b)
			got := b.Arrive(c.key, c.print, 99, c.at)
			if got.Kind != c.want || got.Entry != nil && got.Entry.State != c.state {
				t.Errorf("got %+v, want %d, %s", got, c.want, c.state)
			}
		})
	}
}

// What may have run is never let go for room, however many keys come.
func TestFull(t *testing.T) {
	b := New(terms)
	for i := range 100 {
		k := Key{"t", "a", fmt.Sprint(i)}
		v := b.Arrive(k, Print{1}, 1, int64(i))
		if want := map[bool]Kind{true: Go, false: Full}[i < terms.Most]; v.Kind != want {
			t.Fatalf("key %d: got %d, want %d", i, v.Kind, want)
		}
		if i%2 == 0 {
			b.Ended(k, Aborted, Answer{}, int64(i))
		}
	}
	if v := b.Arrive(Key{"t", "a", "0"}, Print{1}, 1, 100); v.Kind != Told || v.Entry.State != Unsure {
		t.Errorf("got %+v for the first key, want it kept", v)
	}
	b.Ended(Key{"t", "a", "1"}, Denied, Answer{}, 101)
	if v := b.Arrive(Key{"t", "a", "99"}, Print{1}, 1, 102); v.Kind != Go {
		t.Errorf("got %+v once one is free", v)
	}
}

func TestAnswers(t *testing.T) {
	b := New(terms)
	kept := 0
	for i := range 20 {
		k := Key{"t", "a", fmt.Sprint(i)}
		b.Arrive(k, Print{1}, 1, 0)
		size := 80
		if i == 0 {
			size = 101
		}
		e, _ := b.Ended(k, Served, Answer{Status: 200, Kept: true, Body: make([]byte, size)}, 1)
		if e.Answer.Kept {
			kept++
		}
		if e.Answer.Status != 200 || e.Answer.Kept == (len(e.Answer.Body) == 0) {
			t.Errorf("got %+v", e.Answer)
		}
	}
	if kept != 12 { // of 80 bytes within 1000, the first too large by itself
		t.Errorf("kept %d, want 12", kept)
	}
	if b.forget(11 * sec); b.answers != 0 || b.Len() != 0 || len(b.due) != 0 {
		t.Errorf("got %d bytes, %d keys, %d due once all are past their time", b.answers, b.Len(), len(b.due))
	}
}

// model is the plain reference: a list of all that ever happened to a key.
type model struct {
	keys map[Key]*modelKey
}

type modelKey struct {
	print   Print
	state   State
	ended   int64
	waiters []uint64
}

func (m *model) forget(now int64) {
	for k, e := range m.keys {
		if e.state != Open && now-e.ended >= terms.Retain[k.RuleSet] {
			delete(m.keys, k)
		}
	}
}

// A long random life of a book is held against the reference: each verdict, each list of waiters.
func TestModel(t *testing.T) {
	for seed := range uint64(30) {
		r := rand.New(rand.NewPCG(seed, 1))
		b, m := New(terms), &model{map[Key]*modelKey{}}
		now := int64(0)
		for step := range 3000 {
			now += r.Int64N(sec / 2)
			m.forget(now)
			k := Key{"t", []string{"a", "b"}[r.IntN(2)], fmt.Sprint(r.IntN(30))}
			e := m.keys[k]
			switch r.IntN(4) {
			case 0, 1:
				p := Print{byte(r.IntN(8) / 7)}
				want := Go
				switch {
				case e != nil && e.print != p:
					want = Conflict
				case e != nil && e.state != Open:
					want = Told
				case e != nil && len(e.waiters) >= terms.Waiters, e == nil && len(m.keys) >= terms.Most:
					want = Full
				case e != nil:
					want = Join
					e.waiters = append(e.waiters, uint64(step))
				default:
					m.keys[k] = &modelKey{print: p, waiters: []uint64{uint64(step)}}
				}
				if got := b.Arrive(k, p, uint64(step), now); got.Kind != want {
					t.Fatalf("seed %d, step %d: got %d, want %d", seed, step, got.Kind, want)
				}
			case 2:
				o := Outcome(r.IntN(3))
				_, got := b.Ended(k, o, Answer{Kept: true}, now)
				var want []uint64
				if e != nil && e.state == Open {
					want, e.waiters = e.waiters, nil
					if e.state, e.ended = Done, now; o == Aborted {
						e.state = Unsure
					}
					if o == Denied {
						delete(m.keys, k)
					}
				}
				if !slices.Equal(got, want) {
					t.Fatalf("seed %d, step %d: got waiters %v, want %v", seed, step, got, want)
				}
			case 3:
				if e != nil && len(e.waiters) > 0 {
					i := r.IntN(len(e.waiters))
					b.Left(k, e.waiters[i])
					e.waiters = slices.Delete(e.waiters, i, i+1)
				}
			}
			if b.forget(now); b.Len() != len(m.keys) {
				t.Fatalf("seed %d, step %d: got %d keys, want %d", seed, step, b.Len(), len(m.keys))
			}
		}
	}
}

// BenchmarkMemory tells what a key holds in memory, without its answer and with one of 200 bytes.
func BenchmarkMemory(b *testing.B) {
	for _, size := range []int{0, 200} {
		b.Run(fmt.Sprint("answer ", size), func(b *testing.B) {
			const n = 100000
			for b.Loop() {
				var before, after runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&before)
				book := New(Terms{Most: n, Bytes: 1 << 30, Largest: 1 << 16, Waiters: 1, Longest: 99, Retain: map[string]int64{"filing": 1 << 60}})
				for i := range n {
					k := Key{"public-halls", "filing", fmt.Sprintf("7f3a9c21-e0b4-d655-%012d", i)}
					book.Arrive(k, Print{1}, 1, 0)
					book.Ended(k, Served, Answer{Status: 200, Kept: true, Body: make([]byte, size)}, 1)
				}
				runtime.GC()
				runtime.ReadMemStats(&after)
				b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/n, "B/key")
				runtime.KeepAlive(book)
			}
		})
	}
}
