package lab

// This file records the proxies' own views of their fleet during a run. They are shown beside the measurements; no
// check may depend on them.

import (
	"sync"
	"time"

	"ivybank/fleet"
)

const viewInterval = 500 * time.Millisecond

// View is one proxy's view of its fleet at one time of a run.
type View struct {
	At      float64 // seconds
	Proxy   int
	Alive   int
	Dead    []int // members that it considers dead
	Counted int
	On      bool    // load shedding is active
	Part    float64 // fraction of the load admitted
	Limit   float64
	Calm    float64 // baseline latency in seconds, without load shedding
	Took    float64 // recent latency in seconds
	Offered float64
	Served  float64
	Lacked  float64
	Left    int // retry budget available, in dispatches
	Shed    int // requests shed so far
	Moves   int
	Probes  int // probes so far
	Sent    int // datagrams sent so far
}

// watchViews polls the views of all proxies until the function that it returns is called. A proxy that does not answer
// is skipped.
func (r *rig) watchViews() func() []View {
	if r.links == nil {
		return func() []View { return nil }
	}
	var mu sync.Mutex
	var all []View
	start, over := time.Now(), make(chan bool)
	var asks sync.WaitGroup
	asks.Go(func() {
		tick := time.NewTicker(viewInterval)
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
