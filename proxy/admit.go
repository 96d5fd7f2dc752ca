package proxy

// This file holds the table of open requests: it hands each request to the balancer and removes it when it has
// ended. It must never admit a rule set, tenant or method that the settings do not name, nor evaluate what the
// settings mean.

import (
	"errors"
	"net/http"

	"ivybank/balance"
	"ivybank/fleet/lease"
	"ivybank/keys/idempotency"
	"ivybank/proxy/http1"
)

// returnMarginNs is the time that a response may need to travel back: the client's timeout started when it
// sent the request.
const wayMargin = 5e6

// request is one request that was admitted.
type req struct {
	id         uint64
	call       http1.Call
	client     *client
	taken      int64
	dispatches []*dispatch
	outs       int
	ended      bool
	flow       *flow            // the body, when it arrives in pieces
	relay      *hostConn        // the host connection whose response is being relayed
	key        *idempotency.Key // set for a request with an idempotency key, which has no client of its own
	luck       float64          // hash of what a client's retries have in common, from 0 to 1; 0 without peers
	shed       bool             // denied by the fleet, through overload control or a limit
	book       *lease.Book      // the limits under which it was admitted; nil if the fleet has none
}

// admit validates a request and hands it to the balancer. A request that no host could serve is rejected here: a
// host that refuses it or closes the connection would seem to be at fault. A request whose ID is already open is
// rejected too, as the two would run as one.
func (p *Proxy) admit(c *client, call sentAhead) error {
	if err := p.sound(call.Call); err != nil {
		return err
	}
	if p.ids[call.ID] {
		return errOpenID
	}
	p.ids[call.ID] = true
	r := &req{call: call.Call, client: c, taken: call.at, flow: call.flow}
	c.req = r
	p.enter(r, call.Timeout-wayMargin, call.at)
	return nil
}

var errOpenID = errors.New("request id is already open")

// validate returns an error unless the request is one that a host could serve.
func (p *Proxy) sound(call http1.Call) error {
	terms := p.terms
	set := terms.RuleSet(call.RuleSet)
	switch {
	case call.ID == "":
		return errors.New("no request id")
	case call.Timeout <= 0:
		return errors.New("no client timeout")
	case set == nil || terms.Tenant(call.Tenant) < 0 && len(terms.Tenants) > 0:
		return errors.New("unknown rule set or tenant")
	case call.Method == http.MethodGet && set.Effect == balance.Replayable:
	case call.Method != http.MethodPost && call.Method != http.MethodPut:
		return errors.New("method is not allowed for the rule set")
	}
	return nil
}

// addRequest adds a request to the table and the balancer. Its ID must be in p.ids already.
func (p *Proxy) enter(r *req, budget, now int64) {
	p.lastReq++
	r.id = p.lastReq
	p.reqs[r.id] = r
	p.count.Taken++
	var back int64
	if r.shed, back = p.sheds(r, now); !r.shed {
		r.shed, back = p.limited(r)
	}
	p.module.AddRequest(balance.Arrival{ID: r.id, RuleSet: r.call.RuleSet, Tenant: r.call.Tenant, Key: r.call.Key,
		Budget: max(1, budget), Work: r.call.Work, BodyPending: r.flow != nil && !r.flow.whole, Shed: r.shed, RetryAfter: back}, now)
}

// withdraw ends the open request, if any, of a client that disconnected or sent a malformed request after it.
func (p *Proxy) withdraw(c *client) {
	if c.waits != nil {
		p.count.Withdrawn++
		p.leave(c.waits)
	}
	r := c.req
	if r == nil {
		return
	}
	c.req = nil
	r.ended = true
	p.count.Withdrawn++
	p.drop(r.flow)
	p.module.Withdrawn(r.id)
	for _, d := range r.dispatches {
		if d.out && (r.relay != nil || !d.allSent()) { // its body stays incomplete, or nobody reads the response
			p.giveUp(d, balance.Cancelled, p.now())
		}
	}
	p.forget(r)
}

func (p *Proxy) forget(r *req) {
	if r.ended && r.outs == 0 {
		r.unlimit()
		delete(p.reqs, r.id)
		delete(p.ids, r.call.ID)
	}
}
