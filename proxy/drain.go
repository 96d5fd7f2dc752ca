package proxy

// This file drains clients. After SIGTERM the proxy keeps serving while clients still come, then closes their
// connections one by one, each after its response, and stops. After an operator's call it does the same but lives
// on and may accept clients again. It must never leave an admitted request without a response.

import (
	"slices"

	"github.com/sirupsen/logrus"
)

const (
	acceptGraceNs  = 5e8 // new connections keep arriving for a while after SIGTERM or the call
	quietPeriodNs  = 3e8 // time without clients and requests before the process ends
	pollIntervalNs = 5e6 // between checks of what is left

	// Once clients no longer come, connections in use end with a response, and idle ones are closed one by one within
	// this time.
	closeWindowNs = 1e9
	// Before that is over, a connection that was used within this time still counts as in use.
	minIdleNs = 3e8
)

// drainState is the progress of the final drain and of the operator's.
type drainState struct {
	begun, closing bool
	quietSince     int64
	evictedAt      int64 // when an operator sent the clients away; 0 while they are accepted
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
		if p.config.Inherited == nil {
			p.after(at, acceptGraceNs, p.closeIdleClients)
			return
		}
		// New clients go to the process that shares the listener.
		p.listener.stop()
		p.drain.closing = true
		p.closeGradually(at, at, func() bool { return true })
		p.after(at, minIdleNs, p.awaitEnd)
	})
}

// closeIdleClients closes idle clients. The others end with the response that they wait for, and so do those of
// which part of a request has arrived or is unread in the kernel.
func (p *Proxy) closeIdleClients(now int64) {
	p.drain.closing = true
	for _, c := range p.clients {
		if c.idle() && !c.closing && !c.incoming && c.quiet() {
			c.closing = true
			p.closeWhenFlushed(c, now)
		}
	}
	p.awaitEnd(now)
}

func (p *Proxy) awaitEnd(now int64) {
	p.drain.quietSince = now
	p.finishDrain(now, now+p.config.LongestTimeout)
}

// finishDrain stops the loop once nothing is left, or when the last client must have timed out.
func (p *Proxy) finishDrain(now, latest int64) {
	if len(p.clients) > 0 || len(p.requests) > 0 {
		p.drain.quietSince = now
	}
	for _, r := range p.requests { // a body that makes progress is not cut off; one that stalls ends by itself
		if !r.ended { // it may have arrived after the drain began, and is waited for as long as its client waits
			latest = max(latest, r.receivedAt+min(r.msg.Timeout, p.config.LongestTimeout))
		}
		if r.relay != nil || r.body != nil && !r.body.discarded {
			latest = max(latest, now+quietPeriodNs)
		}
	}
	if now-p.drain.quietSince >= quietPeriodNs || now >= latest {
		p.releaseLimits(now)
		p.done = true
		return
	}
	p.after(now, pollIntervalNs, func(now int64) { p.finishDrain(now, latest) })
}

// evictClients sends the clients away. Calling it again has no effect.
func (p *Proxy) evictClients(now int64) {
	if p.drain.evictedAt != 0 {
		return
	}
	logrus.Info("operator call: closing client connections and failing health checks")
	p.drain.evictedAt = now
	p.after(now, acceptGraceNs, func(at int64) {
		p.closeGradually(at, at, func() bool { return p.drain.evictedAt == now })
	})
}

// admitClients accepts clients again.
func (p *Proxy) admitClients() {
	if p.drain.evictedAt != 0 {
		logrus.Info("operator call: accepting clients again")
		p.drain.evictedAt = 0
	}
}

// closeGradually closes idle client connections while wanted returns true: those idle for longest first and a few
// at a time, as closing one while a request is on its way costs the client a retry.
func (p *Proxy) closeGradually(now, from int64, wanted func() bool) {
	if !wanted() || p.done {
		return
	}
	minIdle, remaining := int64(minIdleNs), from+closeWindowNs-now
	if remaining <= 0 {
		minIdle, remaining = 0, 0
	}
	var resting []*client
	for _, c := range p.clients {
		if c.idle() && !c.closing && !c.incoming && now-c.idleSince >= minIdle && c.flushed() && c.quiet() {
			resting = append(resting, c)
		}
	}
	slices.SortStableFunc(resting, func(x, y *client) int { return int(x.idleSince - y.idleSince) })
	for _, c := range resting[:(len(resting)+int(remaining/pollIntervalNs))/(1+int(remaining/pollIntervalNs))] {
		p.closeClient(c)
	}
	p.after(now, pollIntervalNs, func(now int64) { p.closeGradually(now, from, wanted) })
}
