package lab

// This file owns what a timetable does to proxies and to the links of the rig: kills, stops, partitions. Faults may overlap; one that
// ends undoes what it did alone. Called within the clock's lock, it must never wait.

import (
	"os"
	"path/filepath"
	"syscall"
	"time"

	"ivybank/internal/rng"
	"ivybank/rehearse/emu"
)

const starvePiece = 100 * time.Millisecond // a starved proxy is stopped for a part of each such piece

// proxies are those that a fault hits: named, or as many as it counts, by chance.
func (r *rig) proxies(x emu.Fault) []int {
	if len(x.Proxies) > 0 || x.Count == 0 {
		return x.Proxies
	}
	return emu.Sample(&r.dice, len(r.procs), x.Count)
}

func (r *rig) strike(x emu.Fault) (undo func()) {
	hit := r.proxies(x)
	r.met.struck[x.Kind] = r.clock.Now()
	switch x.Kind {
	case "proxy_kill":
		r.kill(hit, x)
	case "proxy_end":
		for _, i := range hit {
			p := r.procs[i]
			p.fails(true)
			p.strike(syscall.SIGTERM)
		}
	case "proxy_pause":
		for _, i := range hit {
			r.procs[i].pause(true)
		}
		return func() {
			for _, i := range hit {
				r.procs[i].pause(false)
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
			r.links.split(hit, x.Direction, 1)
			return func() { r.links.split(hit, x.Direction, -1) }
		}
	case "datagrams":
		if r.links != nil {
			return r.links.roughen(emu.Impairment{LossRatio: x.LossRatio, DuplicateRatio: x.DuplicateRatio, CorruptRatio: x.CorruptRatio, Delay: x.Delay, Jitter: x.Jitter})
		}
	case "state_lost", "state_save", "state_old", "state_cut", "state_flip", "state_full":
		for _, i := range hit {
			r.harm(r.procs[i], x)
		}
		if x.Kind == "state_full" {
			return func() {
				for _, i := range hit {
					_ = os.RemoveAll(filepath.Join(r.procs[i].state(), blockName))
				}
			}
		}
	case "unlink":
		r.unlink(hit, x.Servers, 1)
		return func() { r.unlink(hit, x.Servers, -1) }
	case "undiscovered":
		for _, i := range hit {
			r.fails.discovery[i]++
			r.dropWatches(i)
		}
		return func() {
			for _, i := range hit {
				r.fails.discovery[i]--
			}
		}
	}
	return func() {}
}

// unlink cuts links between proxies and servers; nothing is said to either side.
func (r *rig) unlink(hit []int, servers []string, by int) {
	for _, i := range hit {
		for _, s := range servers {
			r.fails.servers[i][s] += by
		}
	}
}

// kill kills proxies in one instant and starts each again: all at the time that the fault states, or spread by chance.
func (r *rig) kill(hit []int, x emu.Fault) {
	var ends []chan bool
	for _, i := range hit {
		r.procs[i].fails(true)
		ends = append(ends, r.procs[i].strike(syscall.SIGKILL))
	}
	for n, i := range hit {
		p := r.procs[i]
		back, turn := x.Duration+int64(r.dice.Next()*float64(x.Jitter)), p.kills.Add(1)
		r.wait.Go(func() {
			<-ends[n]
			select {
			case <-r.ctx.Done():
				return
			case <-time.After(time.Duration(back)):
			}
			if p.kills.Load() == turn && (p.start() != nil || p.ready() != nil) {
				return // what follows shows it
			}
			p.fails(false)
		})
	}
}

// starve stops a proxy for a part of each piece of time.
func (r *rig) starve(p *process, part float64, over chan bool) {
	dice := rng.Source{Seed: 1}
	for {
		stop := time.Duration(float64(starvePiece) * part)
		p.pause(true)
		time.Sleep(stop)
		p.pause(false)
		select {
		case <-over:
			return
		case <-r.ctx.Done():
			return
		case <-time.After(starvePiece - stop + time.Duration(dice.Next()*5e6)):
		}
	}
}
