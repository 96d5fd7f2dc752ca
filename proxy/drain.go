package proxy

// This file drains clients. After SIGTERM the proxy keeps serving while clients still come, then closes their
// connections one by one, each after its response, and stops. After an operator's call it does the same but lives
// on and may accept clients again. It must never leave an admitted request without a response.

import (
	"slices"

	"github.com/sirupsen/logrus"
)

const (
	comeOn = 5e8 // new connections keep arriving for a while after SIGTERM or the call
	linger = 3e8 // time without clients and requests before the process ends
	glance = 5e6 // between checks of what is left

	// Once clients no longer come, connections in use end with a response, and idle ones are closed one by one within
	// this time.
	leaving = 1e9
	// Before that is over, a connection that was used within this time still counts as in use.
	still = 3e8
)

// drainState is the progress of the final drain and of the operator's.
type drain struct {
	begun, ending bool
	quietFrom     int64
	emptied       int64 // when an operator sent the clients away; 0 while they are accepted
}

// Drain starts the final drain; it may be called from any goroutine.
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
		// New clients go to the process that shares the listener.
		p.accept.stop()
		p.drain.ending = true
		p.sendAway(at, at, func() bool { return true })
		p.after(at, still, p.awaitEnd)
	})
}

// closeIdleClients closes idle clients. The others end with the response that they wait for, and so do those of
// which part of a request has arrived or is unread in the kernel.
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

// finishDrain stops the loop once nothing is left, or when the last client must have timed out.
func (p *Proxy) finish(now, latest int64) {
	if len(p.clients) > 0 || len(p.reqs) > 0 {
		p.drain.quietFrom = now
	}
	for _, r := range p.reqs { // a body that makes progress is not cut off; one that stalls ends by itself
		if !r.ended { // it may have arrived after the drain began, and is waited for as long as its client waits
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

// evictClients sends the clients away. Calling it again has no effect.
func (p *Proxy) empty(now int64) {
	if p.drain.emptied != 0 {
		return
	}
	logrus.Info("operator call: closing client connections and failing health checks")
	p.drain.emptied = now
	p.after(now, comeOn, func(at int64) {
		p.sendAway(at, at, func() bool { return p.drain.emptied == now })
	})
}

// admitClients accepts clients again.
func (p *Proxy) refill() {
	if p.drain.emptied != 0 {
		logrus.Info("operator call: accepting clients again")
		p.drain.emptied = 0
	}
}

// closeGradually closes idle client connections while wanted returns true: those idle for longest first and a few
// at a time, as closing one while a request is on its way costs the client a retry.
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
