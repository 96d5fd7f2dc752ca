package lab

// This file holds the faults of proxies and of the rig's links: kills, pauses, partitions. Faults may overlap; a fault
// that ends undoes only its own effect. The functions run with the clock's lock held and must never block.

import (
	"os"
	"path/filepath"
	"syscall"
	"time"

	"ivybank/internal/rng"
	"ivybank/rehearse/emu"
)

const starvePeriod = 100 * time.Millisecond // a starved proxy is paused for a fraction of each such period

// proxies returns the proxies that a fault applies to: those it names, or a random sample of the size it states.
func (r *rig) proxies(x emu.Fault) []int {
	if len(x.Proxies) > 0 || x.Count == 0 {
		return x.Proxies
	}
	return emu.Sample(&r.random, len(r.procs), x.Count)
}

func (r *rig) injectFault(x emu.Fault) (undo func()) {
	hit := r.proxies(x)
	r.observed.injectedAt[x.Kind] = r.clock.Now()
	switch x.Kind {
	case "proxy_kill":
		r.kill(hit, x)
	case "proxy_end":
		for _, i := range hit {
			p := r.procs[i]
			p.recordOutage(true)
			p.terminate(syscall.SIGTERM)
		}
	case "proxy_pause":
		for _, i := range hit {
			r.procs[i].setPaused(true)
		}
		return func() {
			for _, i := range hit {
				r.procs[i].setPaused(false)
			}
		}
	case "proxy_starve":
		over := make(chan bool)
		for _, i := range hit {
			r.wait.Go(func() { r.starve(r.procs[i], x.Magnitude, over) })
		}
		return func() { close(over) }
	case "split":
		if r.links != nil {
			r.links.partition(hit, x.Direction, 1)
			return func() { r.links.partition(hit, x.Direction, -1) }
		}
	case "datagrams":
		if r.links != nil {
			return r.links.addImpairment(emu.Impairment{LossRatio: x.LossRatio, DuplicateRatio: x.DuplicateRatio, CorruptRatio: x.CorruptRatio, Delay: x.Delay, Jitter: x.Jitter})
		}
	case "state_lost", "state_save", "state_old", "state_cut", "state_flip", "state_full":
		for _, i := range hit {
			r.damageState(r.procs[i], x)
		}
		if x.Kind == "state_full" {
			return func() {
				for _, i := range hit {
					_ = os.RemoveAll(filepath.Join(r.procs[i].state(), snapshotTempName))
				}
			}
		}
	case "unlink":
		r.changeServerCuts(hit, x.Servers, 1)
		return func() { r.changeServerCuts(hit, x.Servers, -1) }
	case "undiscovered":
		for _, i := range hit {
			r.cuts.discovery[i]++
			r.dropWatches(i)
		}
		return func() {
			for _, i := range hit {
				r.cuts.discovery[i]--
			}
		}
	}
	return func() {}
}

// changeServerCuts adds by to the number of cuts between proxies and servers; neither side is notified.
func (r *rig) changeServerCuts(hit []int, servers []string, by int) {
	for _, i := range hit {
		for _, s := range servers {
			r.cuts.servers[i][s] += by
		}
	}
}

// kill kills proxies at the same moment and restarts each after the fault's duration plus a random part of its jitter.
func (r *rig) kill(hit []int, x emu.Fault) {
	var ends []chan bool
	for _, i := range hit {
		r.procs[i].recordOutage(true)
		ends = append(ends, r.procs[i].terminate(syscall.SIGKILL))
	}
	for n, i := range hit {
		p := r.procs[i]
		back, turn := x.Duration+int64(r.random.Next()*float64(x.Jitter)), p.kills.Add(1)
		r.wait.Go(func() {
			<-ends[n]
			select {
			case <-r.ctx.Done():
				return
			case <-time.After(time.Duration(back)):
			}
			if p.kills.Load() == turn && (p.start() != nil || p.ready() != nil) {
				return // the proxy stays down, which the rest of the run shows
			}
			p.recordOutage(false)
		})
	}
}

// starve pauses a proxy for a fraction of each period.
func (r *rig) starve(p *process, part float64, over chan bool) {
	random := rng.Source{Seed: 1}
	for {
		stop := time.Duration(float64(starvePeriod) * part)
		p.setPaused(true)
		time.Sleep(stop)
		p.setPaused(false)
		select {
		case <-over:
			return
		case <-r.ctx.Done():
			return
		case <-time.After(starvePeriod - stop + time.Duration(random.Next()*5e6)):
		}
	}
}
