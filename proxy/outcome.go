package proxy

// This file ends dispatches: it turns a result into an outcome for the balancer and a counter. It must never report
// a dispatch as not run that may have run.

import (
	"net/http"

	"ivybank/balance"
	"ivybank/proxy/http1"
)

// outcomeOf maps a host's response to an outcome. A refusal without Not-Started counts as possibly run.
func outcome(a http1.Answer) balance.Outcome {
	switch {
	case a.Status == http.StatusOK:
		return balance.Served
	case a.Status >= http.StatusBadRequest && a.Status < http.StatusInternalServerError:
		return balance.Unknown // the request is at fault, not the host
	case (a.Status == http.StatusServiceUnavailable || a.Status == http.StatusGatewayTimeout) && a.NotStarted:
		return balance.Refused
	}
	return balance.Errored
}

// finishDispatch ends a dispatch. The first successful response goes to the client.
func (p *Proxy) book(d *dispatch, o balance.Outcome, a *http1.Answer, now int64) {
	r := d.req
	d.out = false
	r.outs--
	p.stop(d.limit)
	p.count.Outcomes[o]++
	if o == balance.Served && !r.ended && r.relay == nil {
		record(p.count.took, r.taken, now)
		p.final(r, &p.count.Done, http1.Answer{Status: a.Status, Fields: a.Fields, Body: a.Body, Piece: a.Piece})
	}
	p.module.Finished(r.id, d.index, o, r.ended, now-d.sent, now)
	if p.peers != nil && d.host != nil {
		p.peers.fleet.Finished(d.host.id, o, r.ended, now-d.sent, now)
	}
	p.forget(r)
}
