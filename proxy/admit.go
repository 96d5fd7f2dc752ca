package proxy

// This file owns the table of reqs: it turns a call into a req of the module and forgets it when it has
// ended. It must never let in what the settings do not name, nor judge what they do.

import (
	"errors"
	"net/http"

	"ivybank/balance"
	"ivybank/fleet/lease"
	"ivybank/keys/once"
	"ivybank/proxy/http1"
)

// wayMargin is what an answer may need back to the client: its wait began when it sent the call.
const wayMargin = 5e6

// req is one request that was taken.
type req struct {
	id         uint64
	call       http1.Call
	client     *client
	taken      int64
	dispatches []*dispatch
	outs       int
	ended      bool
	flow       *flow       // its body, where that comes in pieces
	relay      *hostConn   // whose answer is being passed on
	key        *once.Key   // of a keyed req, which has no client of its own
	luck       float64     // what stays the same over a client's retries, as a number; 0 where no peers are heard
	shed       bool        // the fleet denies it
	book       *lease.Book // by which it was let in; nil where there are no limits of the fleet
}

// admit is the second stage. What no host could use goes no further: a host that turns it away, or closes on
// it, would seem to be at fault. Two open reqs with one id would run as one.
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

var errOpenID = errors.New("the id of an open req")

// sound says whether a call is one that a host could use.
func (p *Proxy) sound(call http1.Call) error {
	terms := p.terms
	set := terms.RuleSet(call.RuleSet)
	switch {
	case call.ID == "":
		return errors.New("no id")
	case call.Timeout <= 0:
		return errors.New("no client timeout")
	case set == nil || terms.Tenant(call.Tenant) < 0 && len(terms.Tenants) > 0:
		return errors.New("rule set or tenant not known")
	case call.Method == http.MethodGet && set.Effect == balance.Replayable:
	case call.Method != http.MethodPost && call.Method != http.MethodPut:
		return errors.New("method does not go with the rule set")
	}
	return nil
}

// enter makes a call a req of the module, whose id is among those that are open.
func (p *Proxy) enter(r *req, budget, now int64) {
	p.lastReq++
	r.id = p.lastReq
	p.reqs[r.id] = r
	p.count.Taken++
	var back int64
	if r.shed, back = p.sheds(r, now); !r.shed {
		r.shed, back = p.limited(r)
	}
	p.module.Req(balance.Arrival{ID: r.id, RuleSet: r.call.RuleSet, Tenant: r.call.Tenant, Key: r.call.Key,
		Budget: max(1, budget), Work: r.call.Work, BodyPending: r.flow != nil && !r.flow.whole, Shed: r.shed, RetryAfter: back}, now)
}

// withdraw ends the open req, if any, of a client that has gone or broken it off.
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
		if d.out && (r.relay != nil || !d.allSent()) { // what no longer comes or nobody takes is not waited for
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
