package lab

// This file owns what is kept of the proxies' own views while a run is played. It is shown beside the evidence; nothing is judged by
// it.

import (
	"sync"
	"time"

	"ivybank/fleet"
)

const viewEvery = 500 * time.Millisecond

// View is one proxy's view of its fleet at a time of a run.
type View struct {
	At      float64 // seconds
	Proxy   int
	Alive   int
	Dead    []int // members that it holds to be dead
	Counted int
	On      bool    // a cut is in force
	Part    float64 // let in
	Limit   float64
	Calm    float64 // seconds that answers take without a cut,
	Took    float64 // and of late
	Offered float64
	Served  float64
	Lacked  float64
	Left    int // further dispatches
	Shed    int // so far
	Moves   int
	Probes  int // so far
	Sent    int // datagrams so far
}

// watchViews asks all proxies for their views until the function that it gives is called. A proxy that does not answer has none.
func (r *rig) watchViews() func() []View {
	if r.links == nil {
		return func() []View { return nil }
	}
	var mu sync.Mutex
	var all []View
	start, over := time.Now(), make(chan bool)
	var asks sync.WaitGroup
	asks.Go(func() {
		tick := time.NewTicker(viewEvery)
		defer tick.Stop()
		for {
			select {
			case <-over:
				return
			case <-r.ctx.Done():
				return
			case <-tick.C:
			}
			for i, p := range r.procs {
				asks.Go(func() {
					at := time.Since(start).Seconds()
					if s, ok := p.view(); ok {
						mu.Lock()
						all = append(all, viewOf(at, i, s))
						mu.Unlock()
					}
				})
			}
		}
	})
	return func() []View {
		close(over)
		asks.Wait()
		return all
	}
}

func viewOf(at float64, proxy int, s fleet.Status) View {
	v := View{At: at, Proxy: proxy, Alive: s.Alive, Counted: s.Counted, On: s.Shedding.Active, Part: s.Shedding.AdmittedPart, Limit: s.Shedding.Limit, Calm: s.Shedding.BaselineLatency, Took: s.Shedding.Latency, Offered: s.Offered, Served: s.Served, Lacked: s.Unserved, Left: s.RetryBudget.Available,
		Shed: s.Counts.Shed, Moves: s.Shedding.Changes, Probes: s.Counts.Probes, Sent: s.Counts.Sent}
	for _, m := range s.Members {
		if m.State == "dead" {
			v.Dead = append(v.Dead, m.Member)
		}
	}
	return v
}
