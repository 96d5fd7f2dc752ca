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
const returnMarginNs = 5e6

// request is one request that was admitted.
type request struct {
	id          uint64
	msg         http1.Request
	client      *client
	receivedAt  int64
	dispatches  []*dispatch
	outstanding int
	ended       bool
	body        *bodyStream      // the body, when it arrives in pieces
	relay       *hostConn        // the host connection whose response is being relayed
	key         *idempotency.Key // set for a request with an idempotency key, which has no client of its own
	retryHash   float64          // hash of what a client's retries have in common, from 0 to 1; 0 without peers
	denied      bool             // denied by the fleet, through overload control or a limit
	limiter     *lease.Limiter   // the limits under which it was admitted; nil if the fleet has none
}

// admit validates a request and hands it to the balancer. A request that no host could serve is rejected here: a
// host that refuses it or closes the connection would seem to be at fault. A request whose ID is already open is
// rejected too, as the two would run as one.
func (p *Proxy) admit(c *client, queued queuedRequest) error {
	if err := p.validate(queued.Request); err != nil {
		return err
	}
	if p.ids[queued.ID] {
		return errDuplicateID
	}
	p.ids[queued.ID] = true
	r := &request{msg: queued.Request, client: c, receivedAt: queued.at, body: queued.body}
	c.request = r
	p.addRequest(r, queued.Timeout-returnMarginNs, queued.at)
	return nil
}

var errDuplicateID = errors.New("request id is already open")

// validate returns an error unless the request is one that a host could serve.
func (p *Proxy) validate(msg http1.Request) error {
	terms := p.terms
	ruleSet := terms.RuleSet(msg.RuleSet)
	switch {
	case msg.ID == "":
		return errors.New("no request id")
	case msg.Timeout <= 0:
		return errors.New("no client timeout")
	case ruleSet == nil || terms.Tenant(msg.Tenant) < 0 && len(terms.Tenants) > 0:
		return errors.New("unknown rule set or tenant")
	case msg.Method == http.MethodGet && ruleSet.Effect == balance.Replayable:
	case msg.Method != http.MethodPost && msg.Method != http.MethodPut:
		return errors.New("method is not allowed for the rule set")
	}
	return nil
}

// addRequest adds a request to the table and the balancer. Its ID must be in p.ids already.
func (p *Proxy) addRequest(r *request, budget, now int64) {
	p.lastRequestID++
	r.id = p.lastRequestID
	p.requests[r.id] = r
	p.count.Taken++
	var retryAfter int64
	if r.denied, retryAfter = p.shedByFleet(r, now); !r.denied {
		r.denied, retryAfter = p.deniedByLimit(r)
	}
	p.balancer.AddRequest(balance.Arrival{ID: r.id, RuleSet: r.msg.RuleSet, Tenant: r.msg.Tenant, Key: r.msg.Key,
		Budget: max(1, budget), Work: r.msg.Work, BodyPending: r.body != nil && !r.body.complete, Shed: r.denied,
		RetryAfter: retryAfter}, now)
}

// withdraw ends the open request, if any, of a client that disconnected or sent a malformed request after it.
func (p *Proxy) withdraw(c *client) {
	if c.waiter != nil {
		p.count.Withdrawn++
		p.removeWaiter(c.waiter)
	}
	r := c.request
	if r == nil {
		return
	}
	c.request = nil
	r.ended = true
	p.count.Withdrawn++
	p.discardBody(r.body)
	p.balancer.Withdrawn(r.id)
	for _, d := range r.dispatches {
		if d.outstanding && (r.relay != nil || !d.allSent()) { // its body stays incomplete, or nobody reads the response
			p.giveUp(d, balance.Cancelled, p.now())
		}
	}
	p.forget(r)
}

func (p *Proxy) forget(r *request) {
	if r.ended && r.outstanding == 0 {
		r.releaseLimit()
		delete(p.requests, r.id)
		delete(p.ids, r.msg.ID)
	}
}
