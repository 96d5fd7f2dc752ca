package lab

// This file owns runs whose faults are chosen as they go: what a test starts, strikes and asks. It must never judge.

import (
	"net"

	"ivybank/emu"
	"ivybank/fleet"
)

// Rehearsal is proxies as processes between stand-ins, with every link between two of them through the rig.
type Rehearsal struct{ r *rig }

// Begin starts the proxies of one variant and waits until all are ready. End ends them.
func Begin(e *Experiment, v Variant, seed uint64) (*Rehearsal, error) {
	r := newRig(e, seed)
	if err := r.begin(v, seed); err != nil {
		r.end()
		return nil, err
	}
	return &Rehearsal{r}, nil
}

// End ends all processes and stand-ins.
func (x *Rehearsal) End() { x.r.end() }

// Strike does what a fault does, now; what it gives undoes it.
func (x *Rehearsal) Strike(f emu.Fault) (undo func()) {
	var mend func()
	x.r.clock.Do(func() { mend = x.r.fleet.Strike(f) })
	return func() { x.r.clock.Do(mend) }
}

// View is what a proxy tells of its fleet at its door; false where it says nothing.
func (x *Rehearsal) View(proxy int) (fleet.Status, bool) { return x.r.procs[proxy].view() }

// Probes is how many probes have come to each server, by its id.
func (x *Rehearsal) Probes() map[string]int {
	all := map[string]int{}
	x.r.clock.Do(func() {
		for id, n := range x.r.met.probes {
			all[id] = n
		}
	})
	return all
}

// Play plays the experiment's load with its timetable, and gives what came of it.
func (x *Rehearsal) Play() (*Figures, error) { return x.r.figures(Variant{}, 1, &Problems{}) }

// Pose ends a proxy and takes its place among the others: what is written to peers comes from its address. End closes it.
func (x *Rehearsal) Pose(proxy int) (as *net.UDPConn, peers []*net.UDPAddr, err error) {
	x.r.procs[proxy].hurt.Add(1)
	x.r.procs[proxy].kill()
	l := x.r.links
	if as, err = net.ListenUDP("udp4", l.listen[proxy]); err != nil {
		return nil, nil, err
	}
	for j, c := range l.conns[proxy] {
		if j == proxy {
			peers = append(peers, nil)
			continue
		}
		peers = append(peers, c.LocalAddr().(*net.UDPAddr))
	}
	return as, peers, nil
}
