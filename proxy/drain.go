package proxy

// This file owns how clients are sent away: for good after SIGTERM, when the proxy serves on while clients still come, then
// ends their connections one by one, each after its answer, and stops; or by an operator's call, when it does the
// same, lives on and may take clients again. It must never leave a req that was taken without its answer.

import (
	"slices"

	"github.com/sirupsen/logrus"
)

const (
	comeOn = 5e8 // new connections go on coming for a while after SIGTERM or the call
	linger = 3e8 // nothing may be left for so long before the program ends
	glance = 5e6 // between looks at what is left

	// Once clients no longer come, those in use end with an answer and those at rest one by one within this time;
	// before it is over one that was used within still counts as in use.
	leaving = 1e9
	still   = 3e8
)

// drain is how far either has come.
type drain struct {
	begun, ending bool
	quietFrom     int64
	emptied       int64 // since when an operator has had the clients sent away; 0 when they are taken
}

// Drain begins the end; it may be called from any goroutine.
func (p *Proxy) Drain() {
	p.post(p.now(), nil, func(at int64) {
		if p.drain.begun {
			return
		}
		p.drain.begun = true
		logrus.Info("draining")
		p.leavePeers(at)
		if p.start.Inherited == nil {
			p.after(at, comeOn, p.ending)
			return
		}
		// Whoever comes now is for the process that shares the listener.
		p.accept.stop()
		p.drain.ending = true
		p.sendAway(at, at, func() bool { return true })
		p.after(at, still, p.awaitEnd)
	})
}

// ending closes idle clients; the others end with the answer that they wait for, and so do those of which a
// part of a call has come or lies unread in the kernel.
func (p *Proxy) ending(now int64) {
	p.drain.ending = true
	for _, c := range p.clients {
		if c.idle() && !c.last && !c.coming && c.silent() {
			c.last = true
			p.endClient(c, now)
		}
	}
	p.awaitEnd(now)
}

func (p *Proxy) awaitEnd(now int64) {
	p.drain.quietFrom = now
	p.finish(now, now+p.start.LongestTimeout)
}

// finish stops the loop once nothing is left, or when the last client has given up.
func (p *Proxy) finish(now, latest int64) {
	if len(p.clients) > 0 || len(p.reqs) > 0 {
		p.drain.quietFrom = now
	}
	for _, r := range p.reqs { // a body that still gets on is not broken off; one that does not ends by itself
		if !r.ended { // it may have come after the drain began, and is waited for as long as by its client
			latest = max(latest, r.taken+min(r.call.Timeout, p.start.LongestTimeout))
		}
		if r.relay != nil || r.flow != nil && !r.flow.useless {
			latest = max(latest, now+linger)
		}
	}
	if now-p.drain.quietFrom >= linger || now >= latest {
		p.leaveLimits(now)
		p.done = true
		return
	}
	p.after(now, glance, func(now int64) { p.finish(now, latest) })
}

// empty sends the clients away. Called again it changes nothing.
func (p *Proxy) empty(now int64) {
	if p.drain.emptied != 0 {
		return
	}
	logrus.Info("emptied by hand: clients are sent away")
	p.drain.emptied = now
	p.after(now, comeOn, func(at int64) {
		p.sendAway(at, at, func() bool { return p.drain.emptied == now })
	})
}

// refill takes clients again.
func (p *Proxy) refill() {
	if p.drain.emptied != 0 {
		logrus.Info("clients are taken again")
		p.drain.emptied = 0
	}
}

// sendAway closes clients' connections at rest as long as it is wanted: those not used for a while first, a few at a
// time, as one that is closed while a call is on its way costs its client a second try.
func (p *Proxy) sendAway(now, from int64, wanted func() bool) {
	if !wanted() || p.done {
		return
	}
	least, left := int64(still), from+leaving-now
	if left <= 0 {
		least, left = 0, 0
	}
	var resting []*client
	for _, c := range p.clients {
		if c.idle() && !c.last && !c.coming && now-c.rests >= least && c.written() && c.silent() {
			resting = append(resting, c)
		}
	}
	slices.SortStableFunc(resting, func(x, y *client) int { return int(x.rests - y.rests) })
	for _, c := range resting[:(len(resting)+int(left/glance))/(1+int(left/glance))] {
		p.dismiss(c)
	}
	p.after(now, glance, func(now int64) { p.sendAway(now, from, wanted) })
}
