package proxy

// This file carries out the balancer's decisions. It must never add a decision of its own.

import (
	"net/http"

	"github.com/sirupsen/logrus"

	"ivybank/balance"
	"ivybank/proxy/http1"
)

func (p *Proxy) route(now int64) {
	for d, ok := p.module.Next(now); ok; d, ok = p.module.Next(now) {
		switch d.Kind {
		case balance.Dispatch:
			p.send(p.reqs[d.Request], d.Server, d.Time, now)
		case balance.Deny:
			p.final(p.reqs[d.Request], &p.count.Denied, http1.Answer{Status: http.StatusServiceUnavailable, RetryAfter: d.Time})
		case balance.Abort:
			p.final(p.reqs[d.Request], &p.count.Aborted, http1.Answer{Status: http.StatusBadGateway})
		case balance.Cancel:
			if r := p.reqs[d.Request]; r != nil && d.Attempt < len(r.dispatches) {
				p.giveUp(r.dispatches[d.Attempt], balance.Cancelled, now)
			}
		case balance.SetDeadline:
			if r := p.reqs[d.Request]; r != nil && d.Attempt < len(r.dispatches) && r.dispatches[d.Attempt].out {
				p.limit(r.dispatches[d.Attempt], d.Time, now)
			}
		case balance.RequestList:
			p.watch(now)
		case balance.CloseConnections:
			if h := p.host(d.Server); h != nil {
				p.closeIdle(h)
			}
		case balance.Wake:
			p.stop(p.wake) // the balancer asks again only for an earlier time, or when the last timer has fired
			p.wake = p.after(now, d.Time, func(int64) {})
		case balance.Log:
			logrus.Info(d.Text)
		}
	}
}
