package lab

// This file owns runs whose faults are chosen as they go: what a test starts, strikes and asks. It must never judge.

import (
	"fmt"
	"net"
	"net/http"
	"time"

	"ivybank/fleet"
	"ivybank/fleet/warmstart"
	"ivybank/rehearse/emu"
)

// Rehearsal is proxies as processes between stand-ins, with every link between two of them through the rig.
type Rehearsal struct {
	r    *rig
	asks int
}

// Begin starts the proxies of one variant and waits until all are ready. End ends them.
func Begin(e *Experiment, v Variant, seed uint64) (*Rehearsal, error) {
	r := newRig(e, seed)
	if err := r.begin(v, seed); err != nil {
		r.end()
		return nil, err
	}
	return &Rehearsal{r: r}, nil
}

// End ends all processes and stand-ins.
func (x *Rehearsal) End() { x.r.end() }

// Strike does what a fault does, now; what it gives undoes it.
func (x *Rehearsal) Strike(f emu.Fault) (undo func()) {
	var mend func()
	x.r.clock.Do(func() { mend = x.r.fleet.Inject(f) })
	return func() { x.r.clock.Do(mend) }
}

// View is what a proxy tells of its fleet at its door; false where it says nothing.
func (x *Rehearsal) View(proxy int) (fleet.Status, bool) { return x.r.procs[proxy].view() }

// Returned is what a proxy tells of its coming back; false where it says nothing.
func (x *Rehearsal) Returned(proxy int) (warmstart.Status, bool) { return x.r.procs[proxy].returned() }

// Door is the address of a proxy's door.
func (x *Rehearsal) Door(proxy int) string { return x.r.procs[proxy].door }

// Folder is that in which a proxy runs, with its state folder.
func (x *Rehearsal) Folder(proxy int) string { return x.r.procs[proxy].folder }

// ProxySentSince is how many dispatches of a proxy have come to a server from a time of the play on.
func (x *Rehearsal) ProxySentSince(proxy int, from time.Duration, server string) (n int) {
	x.r.clock.Do(func() {
		for _, at := range x.r.met.to[proxy][server] {
			if at >= x.r.played+int64(from) {
				n++
			}
		}
	})
	return n
}

// SentSince is the same of all proxies.
func (x *Rehearsal) SentSince(from time.Duration, server string) (n int) {
	for i := range x.r.procs {
		n += x.ProxySentSince(i, from, server)
	}
	return n
}

const (
	askTimeout = 2 * time.Second        // that the client tells the proxy
	askSlack   = 500 * time.Millisecond // for which it waits on top for the answer
)

var askClient = http.Client{Timeout: askTimeout + askSlack, Transport: &http.Transport{DisableKeepAlives: true}}

// Ask has a client ask a proxy once, with an idempotency key; it gives the answer's status and what it says of the key.
func (x *Rehearsal) Ask(proxy int, ruleSet, header, key string) (status int, outcome string) {
	x.asks++
	q, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s/api?key=%s", x.r.procs[proxy].listen, key), nil)
	if err != nil {
		return 0, err.Error()
	}
	q.Header = http.Header{"Request-Id": {fmt.Sprint("ask-", x.asks)}, "Request-Class": {ruleSet}, "Request-Timeout": {fmt.Sprintf("%.3f", askTimeout.Seconds())}, "Request-Info": {"CostGuessNs=1000000"}, header: {key}}
	a, err := askClient.Do(q)
	if err != nil {
		return 0, err.Error()
	}
	_ = a.Body.Close()
	return a.StatusCode, a.Header.Get("Idempotency-Outcome")
}

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
	x.r.procs[proxy].fails(true)
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
