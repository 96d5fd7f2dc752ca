package idempotency

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"strings"
	"testing"
)

const second = int64(1e9)

var testConfig = Config{MaxKeys: 40, MaxResponseBytes: 1000, MaxResponseSize: 100, MaxWaiters: 3, MaxKeyLength: 10,
	Retain: map[string]int64{"a": 10 * second, "b": 20 * second}}

func TestAdmit(t *testing.T) {
	k := Key{"t", "a", "k"}
	for name, c := range map[string]struct {
		prepare     func(s *Store)
		key         Key
		fingerprint Fingerprint
		at          int64
		want        Action
		state       State
	}{
		"first with its key":          {func(*Store) {}, k, Fingerprint{1}, 0, Proceed, Open},
		"same request":                {func(s *Store) { s.Admit(k, Fingerprint{1}, 1, 0) }, k, Fingerprint{1}, 1, Join, Open},
		"different request":           {func(s *Store) { s.Admit(k, Fingerprint{1}, 1, 0) }, k, Fingerprint{2}, 1, Conflict, Open},
		"same name, another tenant":   {func(s *Store) { s.Admit(k, Fingerprint{1}, 1, 0) }, Key{"u", "a", "k"}, Fingerprint{2}, 1, Proceed, Open},
		"same name, another rule set": {func(s *Store) { s.Admit(k, Fingerprint{1}, 1, 0) }, Key{"t", "b", "k"}, Fingerprint{2}, 1, Proceed, Open},
		"done": {func(s *Store) {
			s.Admit(k, Fingerprint{1}, 1, 0)
			s.Finish(k, Served, Response{Status: 200, Stored: true}, 1)
		}, k, Fingerprint{1}, 2, Settled, Done},
		"unsure":                  {func(s *Store) { s.Admit(k, Fingerprint{1}, 1, 0); s.Finish(k, Aborted, Response{}, 1) }, k, Fingerprint{1}, 2, Settled, Unsure},
		"done, different request": {func(s *Store) { s.Admit(k, Fingerprint{1}, 1, 0); s.Finish(k, Served, Response{}, 1) }, k, Fingerprint{2}, 2, Conflict, Done},
		"not executed":            {func(s *Store) { s.Admit(k, Fingerprint{1}, 1, 0); s.Finish(k, Denied, Response{}, 1) }, k, Fingerprint{2}, 2, Proceed, Open},
		"retention over":          {func(s *Store) { s.Admit(k, Fingerprint{1}, 1, 0); s.Finish(k, Aborted, Response{}, 1) }, k, Fingerprint{2}, 1 + 10*second, Proceed, Open},
		"just retained":           {func(s *Store) { s.Admit(k, Fingerprint{1}, 1, 0); s.Finish(k, Aborted, Response{}, 1) }, k, Fingerprint{1}, 10 * second, Settled, Unsure},
		"open keys never expire":  {func(s *Store) { s.Admit(k, Fingerprint{1}, 1, 0) }, k, Fingerprint{1}, 1000 * second, Join, Open},
		"too many waiters": {func(s *Store) {
			for i := range 3 {
				s.Admit(k, Fingerprint{1}, uint64(i), 0)
			}
		}, k, Fingerprint{1}, 1, Full, Open},
		"room once a waiter has left": {func(s *Store) {
			for i := range 3 {
				s.Admit(k, Fingerprint{1}, uint64(i), 0)
			}
			s.RemoveWaiter(k, 1)
		}, k, Fingerprint{1}, 1, Join, Open},
		"key too long":                    {func(*Store) {}, Key{"t", "a", strings.Repeat("k", 11)}, Fingerprint{1}, 0, KeyTooLong, Open},
		"keys lost":                       {func(s *Store) { s.RefuseUnknownWhileRetained(5) }, k, Fingerprint{1}, 0, PossiblyLost, Open},
		"unknown keys refused":            {func(s *Store) { s.RefuseUnknown() }, k, Fingerprint{1}, 0, Full, Open},
		"unknown keys refused, known key": {func(s *Store) { s.Restore(Entry{Key: k, Fingerprint: Fingerprint{1}}, 0); s.RefuseUnknown() }, k, Fingerprint{1}, 0, Settled, Unsure},
		"recorded in the future": {func(s *Store) {
			s.Restore(Entry{Key: k, Fingerprint: Fingerprint{1}, State: Done, At: 500 * second}, 0)
		}, k, Fingerprint{1}, 9 * second, Settled, Done},
		"rule set no longer configured": {func(s *Store) { s.Restore(Entry{Key: Key{"t", "z", "k"}}, 0) }, Key{"t", "z", "k"}, Fingerprint{1}, 0, Proceed, Open},
	} {
		t.Run(name, func(t *testing.T) {
			s := New(testConfig)
			c.prepare(s)
			got := s.Admit(c.key, c.fingerprint, 99, c.at)
			if got.Action != c.want || got.Entry != nil && got.Entry.State != c.state {
				t.Errorf("got %+v, want %d, %s", got, c.want, c.state)
			}
		})
	}
}

// A key whose request may have been executed is never evicted to make room.
func TestFull(t *testing.T) {
	s := New(testConfig)
	for i := range 100 {
		k := Key{"t", "a", fmt.Sprint(i)}
		v := s.Admit(k, Fingerprint{1}, 1, int64(i))
		if want := map[bool]Action{true: Proceed, false: Full}[i < testConfig.MaxKeys]; v.Action != want {
			t.Fatalf("key %d: got %d, want %d", i, v.Action, want)
		}
		if i%2 == 0 {
			s.Finish(k, Aborted, Response{}, int64(i))
		}
	}
	if v := s.Admit(Key{"t", "a", "0"}, Fingerprint{1}, 1, 100); v.Action != Settled || v.Entry.State != Unsure {
		t.Errorf("got %+v for the first key, want it retained", v)
	}
	s.Finish(Key{"t", "a", "1"}, Denied, Response{}, 101)
	if v := s.Admit(Key{"t", "a", "99"}, Fingerprint{1}, 1, 102); v.Action != Proceed {
		t.Errorf("got %+v once a key has been removed", v)
	}
}

func TestResponseSizes(t *testing.T) {
	s := New(testConfig)
	stored := 0
	for i := range 20 {
		k := Key{"t", "a", fmt.Sprint(i)}
		s.Admit(k, Fingerprint{1}, 1, 0)
		size := 80
		if i == 0 {
			size = 101
		}
		e, _ := s.Finish(k, Served, Response{Status: 200, Stored: true, Body: make([]byte, size)}, 1)
		if e.Response.Stored {
			stored++
		}
		if e.Response.Status != 200 || e.Response.Stored == (len(e.Response.Body) == 0) {
			t.Errorf("got %+v", e.Response)
		}
	}
	if stored != 12 { // of 80 bytes each within 1000 in all; the first response exceeds MaxResponseSize
		t.Errorf("stored %d responses, want 12", stored)
	}
	if s.expire(11 * second); s.responseBytes != 0 || s.Len() != 0 || len(s.expiries) != 0 {
		t.Errorf("got %d bytes, %d keys, %d expiries once all keys have expired", s.responseBytes, s.Len(), len(s.expiries))
	}
}

// model is a simple reference implementation of Store.
type model struct {
	keys map[Key]*modelKey
}

type modelKey struct {
	fingerprint Fingerprint
	state       State
	ended       int64
	waiters     []uint64
}

func (m *model) expire(now int64) {
	for k, e := range m.keys {
		if e.state != Open && now-e.ended >= testConfig.Retain[k.RuleSet] {
			delete(m.keys, k)
		}
	}
}

// Random sequences of calls are compared with the reference: each decision and each list of waiters.
func TestModel(t *testing.T) {
	for seed := range uint64(30) {
		r := rand.New(rand.NewPCG(seed, 1))
		s, m := New(testConfig), &model{map[Key]*modelKey{}}
		now := int64(0)
		for step := range 3000 {
			now += r.Int64N(second / 2)
			m.expire(now)
			k := Key{"t", []string{"a", "b"}[r.IntN(2)], fmt.Sprint(r.IntN(30))}
			e := m.keys[k]
			switch r.IntN(4) {
			case 0, 1:
				p := Fingerprint{byte(r.IntN(8) / 7)}
				want := Proceed
				switch {
				case e != nil && e.fingerprint != p:
					want = Conflict
				case e != nil && e.state != Open:
					want = Settled
				case e != nil && len(e.waiters) >= testConfig.MaxWaiters, e == nil && len(m.keys) >= testConfig.MaxKeys:
					want = Full
				case e != nil:
					want = Join
					e.waiters = append(e.waiters, uint64(step))
				default:
					m.keys[k] = &modelKey{fingerprint: p, waiters: []uint64{uint64(step)}}
				}
				if got := s.Admit(k, p, uint64(step), now); got.Action != want {
					t.Fatalf("seed %d, step %d: got %d, want %d", seed, step, got.Action, want)
				}
			case 2:
				o := Outcome(r.IntN(3))
				_, got := s.Finish(k, o, Response{Stored: true}, now)
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
					s.RemoveWaiter(k, e.waiters[i])
					e.waiters = slices.Delete(e.waiters, i, i+1)
				}
			}
			if s.expire(now); s.Len() != len(m.keys) {
				t.Fatalf("seed %d, step %d: got %d keys, want %d", seed, step, s.Len(), len(m.keys))
			}
		}
	}
}

// BenchmarkMemory measures the memory per key, without a response body and with one of 200 bytes.
func BenchmarkMemory(b *testing.B) {
	for _, size := range []int{0, 200} {
		b.Run(fmt.Sprint("response ", size), func(b *testing.B) {
			const n = 100000
			for b.Loop() {
				var before, after runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&before)
				store := New(Config{MaxKeys: n, MaxResponseBytes: 1 << 30, MaxResponseSize: 1 << 16, MaxWaiters: 1, MaxKeyLength: 99,
					Retain: map[string]int64{"filing": 1 << 60}})
				for i := range n {
					k := Key{"public-halls", "filing", fmt.Sprintf("7f3a9c21-e0b4-d655-%012d", i)}
					store.Admit(k, Fingerprint{1}, 1, 0)
					store.Finish(k, Served, Response{Status: 200, Stored: true, Body: make([]byte, size)}, 1)
				}
				runtime.GC()
				runtime.ReadMemStats(&after)
				b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/n, "B/key")
				runtime.KeepAlive(store)
			}
		})
	}
}
