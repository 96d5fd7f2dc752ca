package proxy

// This file writes the responses to clients: a host's 200 unchanged, a denial or an abort, each complete and once.
// It must never begin a response that it does not have to its end.

import (
	"ivybank/proxy/http1"
)

// sendFinal gives a request its one final response and adds it to counter.
func (p *Proxy) final(r *req, kind *int, a http1.Answer) {
	if r == nil || r.ended || r.relay != nil { // a relay in progress is the final response
		return
	}
	*kind++
	r.ended = true
	p.told(r, kind == &p.count.Done, p.now())
	p.drop(r.flow)
	p.forget(r)
	if r.key != nil {
		p.settle(*r.key, outcomeOf(a), a)
		return
	}
	c := r.client
	c.req = nil
	p.answer(c, a, r.call.Close)
	p.turn(c)
}

// closesAfterResponse reports whether a client's connection ends with its next response, whatever that is to. This
// is so above the clients' share of descriptors, and the response says so: no request can cross such a close, and
// clients that send one request and stay connected, such as health checks, do not crowd out new ones.
func (p *Proxy) lastAnswer(c *client) bool {
	return c.last || len(p.clients) > p.sockets/keepPart || p.drain.ending || p.drain.emptied != 0
}

// respond writes a response to a client; after the last one the connection is closed once all of it is sent.
func (p *Proxy) answer(c *client, a http1.Answer, last bool) {
	if c.closed {
		return
	}
	c.last, c.rests = last || p.lastAnswer(c), p.now()
	a.Close = c.last
	c.write(http1.AppendAnswer(nil, a, false))
	switch {
	case c.bad != nil:
		p.after(p.now(), badWait, func(now int64) { p.endClient(c, now) })
	case c.last:
		p.endClient(c, p.now())
	}
}

// closeWhenFlushed closes a client's connection when the kernel has accepted all that was written to it, as nbio
// drops what it still holds, or when no bytes have moved for maxStallNs.
func (p *Proxy) endClient(c *client, now int64) {
	p.closeWritten(c, c.took.Load()+c.heard.Load(), now, now+stall)
}

// pollFlushed waits while bytes move. A body that is still arriving is read to its end first: closing the
// connection before would reset it before the client has seen its response.
func (p *Proxy) closeWritten(c *client, moved, now, latest int64) {
	if is := c.took.Load() + c.heard.Load(); is != moved && c.bad == nil {
		moved, latest = is, now+stall
	}
	switch {
	case c.closed:
	case c.written() && (c.flow == nil || c.bad != nil) || now >= latest:
		c.shut()
	default:
		p.after(now, glance, func(now int64) { p.closeWritten(c, moved, now, latest) })
	}
}
