package proxy

// This file carries out the balancer's decisions. It must never add a decision of its own.

import (
	"net/http"

	"github.com/sirupsen/logrus"

	"ivybank/balance"
	"ivybank/proxy/http1"
)

func (p *Proxy) runDecisions(now int64) {
	for decision, ok := p.balancer.Next(now); ok; decision, ok = p.balancer.Next(now) {
		switch decision.Kind {
		case balance.Dispatch:
			p.send(p.requests[decision.Request], decision.Server, decision.Time, now)
		case balance.Deny:
			p.sendFinal(p.requests[decision.Request], &p.count.Denied,
				http1.Response{Status: http.StatusServiceUnavailable, RetryAfter: decision.Time})
		case balance.Abort:
			p.sendFinal(p.requests[decision.Request], &p.count.Aborted, http1.Response{Status: http.StatusBadGateway})
		case balance.Cancel:
			if r := p.requests[decision.Request]; r != nil && decision.Attempt < len(r.dispatches) {
				p.giveUp(r.dispatches[decision.Attempt], balance.Cancelled, now)
			}
		case balance.SetDeadline:
			if r := p.requests[decision.Request]; r != nil && decision.Attempt < len(r.dispatches) &&
				r.dispatches[decision.Attempt].outstanding {
				p.setDeadline(r.dispatches[decision.Attempt], decision.Time, now)
			}
		case balance.RequestList:
			p.openWatch(now)
		case balance.CloseConnections:
			if h := p.host(decision.Server); h != nil {
				p.closeIdle(h)
			}
		case balance.Wake:
			p.stop(p.balancerTimer) // the balancer asks again only for an earlier time, or when the last timer has fired
			p.balancerTimer = p.after(now, decision.Time, func(int64) {})
		case balance.Log:
			logrus.Info(decision.Text)
		}
	}
}
