package lab

// This file holds runs that a test controls step by step: it starts the proxies, injects faults and reads their state.
// It must never judge a result.

import (
	"fmt"
	"net"
	"net/http"
	"time"

	"ivybank/fleet"
	"ivybank/fleet/warmstart"
	"ivybank/rehearse/emu"
)

// Rehearsal runs proxies as processes against emulated servers, with every link between two proxies relayed by the rig.
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

// End stops all proxies and emulated servers.
func (x *Rehearsal) End() { x.r.end() }

// InjectFault injects a fault now; undo ends it.
func (x *Rehearsal) InjectFault(f emu.Fault) (undo func()) {
	var mend func()
	x.r.clock.Do(func() { mend = x.r.fleet.Inject(f) })
	return func() { x.r.clock.Do(mend) }
}

// View returns a proxy's view of its fleet; false if the proxy does not answer.
func (x *Rehearsal) View(proxy int) (fleet.Status, bool) { return x.r.procs[proxy].view() }

// Returned returns a proxy's warm start status; false if the proxy does not answer.
func (x *Rehearsal) Returned(proxy int) (warmstart.Status, bool) {
	return x.r.procs[proxy].warmStartStatus()
}

// AdminAddr returns a proxy's administrative address.
func (x *Rehearsal) AdminAddr(proxy int) string { return x.r.procs[proxy].adminAddr }

// Folder returns a proxy's working folder, which holds its state folder.
func (x *Rehearsal) Folder(proxy int) string { return x.r.procs[proxy].folder }

// ProxySentSince returns how many dispatches of a proxy reached a server since a time, counted from the start of the
// load.
func (x *Rehearsal) ProxySentSince(proxy int, from time.Duration, server string) (n int) {
	x.r.clock.Do(func() {
		for _, at := range x.r.observed.dispatches[proxy][server] {
			if at >= x.r.loadStart+int64(from) {
				n++
			}
		}
	})
	return n
}

// SentSince is ProxySentSince summed over all proxies.
func (x *Rehearsal) SentSince(from time.Duration, server string) (n int) {
	for i := range x.r.procs {
		n += x.ProxySentSince(i, from, server)
	}
	return n
}

const (
	askTimeout = 2 * time.Second        // the timeout that the client sends to the proxy
	askSlack   = 500 * time.Millisecond // how much longer the client waits for the answer
)

var askClient = http.Client{Timeout: askTimeout + askSlack, Transport: &http.Transport{DisableKeepAlives: true}}

// Ask sends one request with an idempotency key to a proxy; it returns the answer's status and Idempotency-Outcome
// header, or 0 and the error's text.
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

// Probes returns the number of probes that reached each server, by server ID.
func (x *Rehearsal) Probes() map[string]int {
	all := map[string]int{}
	x.r.clock.Do(func() {
		for id, n := range x.r.observed.probes {
			all[id] = n
		}
	})
	return all
}

// Play plays the experiment's load and fault schedule, and returns the figures.
func (x *Rehearsal) Play() (*Figures, error) { return x.r.figures(Variant{}, 1, &Problems{}) }

// Impersonate kills a proxy and takes over its peer address: what the caller writes to peers comes from that address.
// The caller closes the connection.
func (x *Rehearsal) Impersonate(proxy int) (as *net.UDPConn, peers []*net.UDPAddr, err error) {
	x.r.procs[proxy].recordOutage(true)
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
