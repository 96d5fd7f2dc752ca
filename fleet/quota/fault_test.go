package quota

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// fault is one fault, or its end, in a run.
type fault struct {
	percent int // of the run after which it occurs
	kind    int
	a, b, n int
}

var kinds = []string{"kill", "back", "older", "cut", "heal", "pause", "wake", "own", "own", "loss", "calm",
	"clock", "surge"}

func (f fault) String() string {
	return fmt.Sprintf("%d%% %s %d %d %d", f.percent, kinds[f.kind], f.a, f.b, f.n)
}

func faults() *rapid.Generator[[]fault] {
	one := rapid.Custom(func(t *rapid.T) fault {
		return fault{rapid.IntRange(0, 99).Draw(t, "at"), rapid.IntRange(0, len(kinds)-1).Draw(t, "kind"),
			rapid.IntRange(0, 2).Draw(t, "a"), rapid.IntRange(0, 2).Draw(t, "b"), rapid.IntRange(1, 30).Draw(t, "n")}
	})
	return rapid.SliceOfN(one, 0, 30)
}

// playFaults runs a fleet of three with faults for long ns. It returns the first violation of the quota, or "".
func playFaults(q Quota, f flaw, seed uint64, faults []fault, duration int64) (w *world, violation string) {
	w = newWorld(q, testConfig(), 3, seed)
	w.flaw = f
	w.own(0)
	load, never := 2, 0.2
	for i := range w.procs { // within MaxSkew
		w.procs[i].clockOffset = int64((w.random.Next() - 0.5) * float64(w.cfg.MaxSkew))
	}
	calm := []int64{w.procs[0].clockOffset, w.procs[1].clockOffset, w.procs[2].clockOffset}
	for w.now < duration {
		part := int(w.now * 100 / duration)
		for i := range faults {
			x := &faults[i]
			if x.percent != part || x.n < 0 {
				continue
			}
			w.apply(x, calm, &load)
			x.n = -x.n // once
		}
		w.step(never)
		for i := range w.procs {
			r := Req{Cost: 1 + int64(w.random.Next()*4), Value: int64(w.random.Next() * 10)}
			var key uint64
			if w.random.Next() < 0.3 {
				key = 1 + uint64(w.random.Next()*40) // some are retries
			}
			w.sendReqs(i, int(w.random.Next()*float64(load+1)), r, int64(w.random.Next()*float64(3*second)), key)
		}
		if violation = w.violation(); violation != "" {
			return w, violation
		}
	}
	return w, ""
}

func (w *world) apply(x *fault, calm []int64, load *int) {
	p := w.procs[x.a]
	switch kinds[x.kind] {
	case "kill":
		w.kill(x.a)
	case "back":
		w.back(x.a, 0)
	case "older":
		w.kill(x.a)
		w.back(x.a, x.n)
	case "cut":
		w.cut[x.a][x.b] = x.a != x.b
	case "heal":
		w.heal()
	case "pause":
		p.paused = true
	case "wake":
		p.paused = false
	case "own":
		w.own(x.a)
	case "loss":
		w.loss, w.double, w.delay = float64(x.n)/100, float64(x.n)/60, int64(x.n)*100*ms
	case "calm":
		w.loss, w.double, w.delay = 0, 0, 5*ms
	case "clock": // only one clock deviates at a time
		for i := range w.procs {
			w.procs[i].clockOffset = calm[i]
		}
		if x.n > 8 {
			p.clockOffset = []int64{-120, 120, 3600, -3600}[x.n%4] * second
		}
	case "surge":
		*load = x.n % 8
	}
}

func quotas() *rapid.Generator[Quota] {
	return rapid.Custom(func(t *rapid.T) Quota {
		q := minuteQuota(rapid.SampledFrom([]int64{1, 12, 40, 100, 300}).Draw(t, "amount"))
		if rapid.Bool().Draw(t, "sliding") {
			q.Calendar = Calendar{Kind: Sliding, Length: 20 * second, Steps: 4}
		} else {
			q.MaxCarry = rapid.SampledFrom([]int64{0, 50}).Draw(t, "carry")
		}
		q.Unit = Unit(rapid.IntRange(0, 2).Draw(t, "unit"))
		q.MaxUnspent = rapid.SampledFrom([]int64{1, 5, 40}).Draw(t, "slice")
		q.WriteAhead = rapid.SampledFrom([]int64{1, 10, 60}).Draw(t, "ahead")
		q.Ramp = rapid.SampledFrom([]int64{0, 5 * second}).Draw(t, "ramp")
		if rapid.Bool().Draw(t, "reserve") {
			q.Reserve, q.ReserveFrom, q.ReserveRelease = q.Amount/5, 7, 5*second
		}
		return q
	})
}

// Under any faults, what ran in a window is within the quota, and a req counts in the window of its true time or in a
// neighbouring one whose bounds are at most 2 * MaxSkew away.
func TestNeverOver(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := quotas().Draw(t, "quota")
		w, bad := playFaults(q, flaw{}, rapid.Uint64().Draw(t, "seed"), faults().Draw(t, "faults"), 85*second)
		if bad != "" {
			t.Fatal(bad)
		}
		if strip := 2 * w.cfg.MaxSkew; w.early > strip || w.late > strip {
			t.Fatalf("a req was %d ms before or %d ms past its window", w.early/ms, w.late/ms)
		}
	})
}

// The same runs find each faulty variant.
func TestBrokenVariantsAreCaught(t *testing.T) {
	for _, x := range []struct {
		name   string
		f      flaw
		always []fault // in addition to the drawn ones
	}{
		{"refund twice", flaw{refundTwice: true}, nil},
		{"report added instead of the highest", flaw{addReports: true}, nil},
		{"window by own clock", flaw{ownClock: true}, nil},
		{"fresh allowance on restart", flaw{freshAtRestart: true},
			[]fault{{20, 0, 1, 0, 1}, {20, 1, 1, 0, 1}, {50, 0, 2, 0, 1}, {50, 1, 2, 0, 1}}},
		{"no fencing", flaw{noFence: true}, []fault{{20, 3, 0, 1, 1}, {20, 3, 1, 0, 1}, {20, 7, 1, 0, 1}}},
		{"granted before it is written down", flaw{grantBeforeSave: true}, nil},
		{"lease counted from receipt", flaw{leaseFromReceipt: true}, []fault{{5, 9, 0, 0, 30}}},
		{"window turned without the voters' clocks", flaw{ignoreVoterClocks: true},
			[]fault{{30, 7, 0, 0, 1}, {40, 11, 0, 0, 9}}},
	} {
		t.Run(x.name, func(t *testing.T) {
			t.Parallel()
			for seed := range 600 {
				g := append(faults().Example(seed), x.always...)
				q := quotas().Example(seed)
				w, bad := playFaults(q, x.f, uint64(seed), g, 85*second)
				if bad == "" && max(w.early, w.late) > 2*w.cfg.MaxSkew {
					bad = fmt.Sprintf("%d ms before or %d ms past its window", w.early/ms, w.late/ms)
				}
				if bad != "" {
					t.Logf("run %d: %s", seed, bad)
					return
				}
			}
			t.Error("the faulty variant was not found")
		})
	}
}
