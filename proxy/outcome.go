package proxy

// This file ends dispatches: it turns a result into an outcome for the balancer and a counter. It must never report
// a dispatch as not run that may have run.

import (
	"net/http"

	"ivybank/balance"
	"ivybank/proxy/http1"
)

// outcomeOf maps a host's response to an outcome. A refusal without Not-Started counts as possibly run.
func outcomeOf(resp http1.Response) balance.Outcome {
	switch {
	case resp.Status == http.StatusOK:
		return balance.Served
	case resp.Status >= http.StatusBadRequest && resp.Status < http.StatusInternalServerError:
		return balance.Unknown // the request is at fault, not the host
	case (resp.Status == http.StatusServiceUnavailable || resp.Status == http.StatusGatewayTimeout) && resp.NotStarted:
		return balance.Refused
	}
	return balance.Errored
}

// finishDispatch ends a dispatch. The first successful response goes to the client.
func (p *Proxy) finishDispatch(d *dispatch, outcome balance.Outcome, resp *http1.Response, now int64) {
	r := d.req
	d.outstanding = false
	r.outstanding--
	p.stop(d.timer)
	p.count.Outcomes[outcome]++
	if outcome == balance.Served && !r.ended && r.relay == nil {
		record(p.count.latency, r.receivedAt, now)
		p.sendFinal(r, &p.count.Done, http1.Response{Status: resp.Status, Fields: resp.Fields, Body: resp.Body,
			Piece: resp.Piece})
	}
	p.balancer.Finished(r.id, d.index, outcome, r.ended, now-d.sentAt, now)
	if p.peers != nil && d.host != nil {
		p.peers.fleet.DispatchEnded(d.host.id, outcome, r.ended, now-d.sentAt, now)
	}
	p.forget(r)
}
