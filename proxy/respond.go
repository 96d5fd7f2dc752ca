package proxy

// This file writes the responses to clients: a host's 200 unchanged, a denial or an abort, each complete and once.
// It must never begin a response that it does not have to its end.

import (
	"ivybank/proxy/http1"
)

// sendFinal gives a request its one final response and adds it to counter.
func (p *Proxy) sendFinal(r *request, counter *int, resp http1.Response) {
	if r == nil || r.ended || r.relay != nil { // a relay in progress is the final response
		return
	}
	*counter++
	r.ended = true
	p.reportFinal(r, counter == &p.count.Done, p.now())
	p.discardBody(r.body)
	p.forget(r)
	if r.key != nil {
		p.finishKey(*r.key, keyOutcome(resp), resp)
		return
	}
	c := r.client
	c.request = nil
	p.respond(c, resp, r.msg.Close)
	p.serveNext(c)
}

// closesAfterResponse reports whether a client's connection ends with its next response, whatever that is to. This
// is so above the clients' share of descriptors, and the response says so: no request can cross such a close, and
// clients that send one request and stay connected, such as health checks, do not crowd out new ones.
func (p *Proxy) closesAfterResponse(c *client) bool {
	return c.closing || len(p.clients) > p.sockets/keepAliveFDShare || p.drain.closing || p.drain.evictedAt != 0
}

// respond writes a response to a client; after the last one the connection is closed once all of it is sent.
func (p *Proxy) respond(c *client, resp http1.Response, last bool) {
	if c.closed {
		return
	}
	c.closing, c.idleSince = last || p.closesAfterResponse(c), p.now()
	resp.Close = c.closing
	c.write(http1.AppendResponse(nil, resp, false))
	switch {
	case c.inputErr != nil:
		p.after(p.now(), malformedCloseDelayNs, func(now int64) { p.closeWhenFlushed(c, now) })
	case c.closing:
		p.closeWhenFlushed(c, p.now())
	}
}

// closeWhenFlushed closes a client's connection when the kernel has accepted all that was written to it, as nbio
// drops what it still holds, or when no bytes have moved for maxStallNs.
func (p *Proxy) closeWhenFlushed(c *client, now int64) {
	p.pollFlushed(c, c.accepted.Load()+c.received.Load(), now, now+maxStallNs)
}

// pollFlushed waits while bytes move. A body that is still arriving is read to its end first: closing the
// connection before would reset it before the client has seen its response.
func (p *Proxy) pollFlushed(c *client, moved, now, latest int64) {
	if total := c.accepted.Load() + c.received.Load(); total != moved && c.inputErr == nil {
		moved, latest = total, now+maxStallNs
	}
	switch {
	case c.closed:
	case c.flushed() && (c.body == nil || c.inputErr != nil) || now >= latest:
		c.close()
	default:
		p.after(now, pollIntervalNs, func(now int64) { p.pollFlushed(c, moved, now, latest) })
	}
}
