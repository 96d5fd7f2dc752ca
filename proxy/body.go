package proxy

// This file relays bodies that arrive in pieces: a request's on its way to a host, a response's on its way to a
// client. It must never buffer more of a body than its bound, send a piece twice, or let either side take an
// incomplete body for a complete one.

import (
	"net/http"

	"ivybank/balance"
	"ivybank/proxy/http1"
)

// maxStallNs is how long a body may make no progress before it is given up, however short the clients'
// timeouts for the start of a response are: a busy machine on either side is no reason to cut off a body that would
// still arrive.
const maxStallNs = 4e9

// bodyStream is a request's body that arrives in pieces; it lives as long as its request or until its last piece.
type bodyStream struct {
	client    *client
	length    int      // -1 if unknown
	pending   [][]byte // removed as they are written to a host, or when the body is discarded
	complete  bool     // the last piece has arrived
	consumed  bool     // a piece was sent, and the body cannot be sent again
	sent      bool     // all of it was written to a host
	discarded bool     // the pieces are of no use any more
}

// receivePiece handles a further piece of the body that a client sends.
func (p *Proxy) receivePiece(c *client, body *bodyStream, piece http1.Request, now int64) {
	last := piece.Piece == http1.Last
	if body.complete = body.complete || last; last {
		c.body, c.incoming = nil, false
		p.stop(c.readTimer)
	}
	if body.discarded || c.closed {
		p.forwarded(c, int64(len(piece.Body)), nil)
		return
	}
	body.pending = append(body.pending, piece.Body)
	if r := c.request; r != nil && r.body == body {
		if last {
			p.balancer.BodyComplete(r.id, now)
			for _, d := range r.dispatches {
				if d.outstanding {
					d.sentAt = now
				}
			}
		}
		for _, d := range r.dispatches {
			if d.outstanding && d.conn != nil {
				p.writeBody(d)
			}
		}
	}
}

// writeBody writes the pending pieces to the host that the request was dispatched to.
func (p *Proxy) writeBody(d *dispatch) {
	body, c := d.req.body, d.conn
	if body.sent || body.discarded {
		return
	}
	if len(body.pending) > 0 && !body.consumed {
		body.consumed = true
		p.balancer.BodyDropped(d.req.id)
	}
	for i, b := range body.pending {
		c.write(http1.AppendPiece(nil, body.length < 0, b, false))
		body.pending[i] = nil
		p.forwarded(body.client, int64(len(b)), &c.baseConn)
	}
	body.pending = nil
	if body.complete {
		body.sent = true
		if lastChunk := http1.AppendPiece(nil, body.length < 0, nil, true); len(lastChunk) > 0 {
			c.write(lastChunk)
		}
	}
}

// updateTransitLimit shares the memory for bodies in transit among all that arrive in pieces.
func (p *Proxy) updateTransitLimit(now int64) {
	p.transitUpdatedAt = now
	bodies := int64(1)
	for _, c := range p.clients {
		if c.body != nil || c.request != nil && c.request.relay != nil {
			bodies++
		}
	}
	each := int64(maxTransitBytes)
	if p.config.Memory > 0 {
		each = p.config.Memory / transitHeapShare / bodies
	}
	p.transit.Store(min(maxTransitBytes, max(minTransitBytes, each)))
}

// discardBody drops a body that is of no use any more; what still arrives of it is read and discarded.
func (p *Proxy) discardBody(body *bodyStream) {
	if body == nil || body.discarded {
		return
	}
	body.discarded = true
	n := int64(0) // runs also if nothing is pending, so that unsent bytes no longer pause the reading
	for _, b := range body.pending {
		n += int64(len(b))
	}
	body.pending = nil
	p.forwarded(body.client, n, nil)
}

// watchUpload checks every maxStallNs whether a body still makes progress towards its host, and gives it up if
// not.
func (p *Proxy) watchUpload(d *dispatch, acked, now int64) {
	p.after(now, maxStallNs, func(now int64) {
		c := d.conn
		if !d.outstanding || c == nil || d.allSent() {
			return
		}
		newAcked := c.acked()
		if newAcked == acked && !c.flushed() {
			p.giveUp(d, balance.TimedOut, now)
			return
		}
		p.watchUpload(d, newAcked, now)
	})
}

// startRelay forwards the head of a response; from here on it goes to the client of that request.
func (p *Proxy) startRelay(c *hostConn, resp http1.Response, now int64) {
	d := c.dispatch
	n := int64(len(resp.Body))
	if d == nil || d.req.ended || d.req.relay != nil || resp.Status != http.StatusOK || !d.allSent() ||
		now <= d.writtenAt {
		p.forwarded(c, n, nil)
		c.dispatch = nil
		c.close()
		if d != nil { // the rest of it is discarded
			outcome := outcomeOf(resp)
			if outcome == balance.Served {
				outcome = balance.Errored // premature, or after another host's response
			}
			p.finishDispatch(d, outcome, nil, now)
		}
		return
	}
	r := d.req
	if r.key != nil {
		p.adoptWaiter(r)
	}
	if r.client == nil { // nobody waits for it any more, but the request has run
		p.forwarded(c, n, nil)
		c.dispatch = nil
		c.close()
		p.finishDispatch(d, balance.Served, &http1.Response{Status: resp.Status, Piece: http1.First}, now)
		return
	}
	r.relay = c
	p.count.Streamed++
	p.stop(d.timer)
	p.balancer.StreamStarted(r.id)
	p.balancer.AnswerStarted(r.id, d.index, now-d.sentAt, now)
	cl := r.client
	resp.Close = r.msg.Close || p.closesAfterResponse(cl) || resp.Length < 0 && r.msg.HTTP10
	cl.closing = cl.closing || resp.Close
	c.chunked = resp.Length < 0 && !r.msg.HTTP10
	cl.write(http1.AppendResponse(nil, resp, r.msg.HTTP10))
	p.forwarded(c, n, &cl.baseConn)
	_ = cl.nb.SetWriteBuffer(lowUnsentBytes) // else the kernel would buffer megabytes for a slow client
	p.watchRelay(r, c.received.Load(), cl.acked(), now)
}

// relayPiece forwards a further piece of a response.
func (p *Proxy) relayPiece(c *hostConn, resp http1.Response, now int64) {
	d := c.dispatch
	n := int64(len(resp.Body))
	if d == nil || d.req.relay != c || d.req.ended {
		p.forwarded(c, n, nil)
		return
	}
	r := d.req
	last := resp.Piece == http1.Last
	if data := http1.AppendPiece(nil, c.chunked, resp.Body, last); len(data) > 0 {
		r.client.write(data)
	}
	p.forwarded(c, n, &r.client.baseConn)
	if !last {
		return
	}
	c.dispatch = nil
	if resp.Close {
		c.close()
	} else {
		p.park(c, now)
	}
	p.endRelay(d, balance.Served, now)
}

// endRelay ends the relay of a response: complete, or in a way that shows the client that it is not.
func (p *Proxy) endRelay(d *dispatch, outcome balance.Outcome, now int64) {
	r, c := d.req, d.req.client
	d.outstanding, r.ended = false, true
	r.outstanding--
	p.count.Outcomes[outcome]++
	p.discardBody(r.body)
	c.request, c.idleSince = nil, now
	if outcome == balance.Served {
		p.count.Done++
		record(p.count.latency, r.receivedAt, now)
	} else {
		p.count.Cut++
	}
	p.balancer.Finished(r.id, d.index, outcome, true, now-d.sentAt, now)
	p.forget(r)
	if r.key != nil {
		p.finishStreamedKey(r, outcome)
	}
	switch {
	case c.closed:
	case outcome != balance.Served:
		_ = c.nb.SetLinger(1, 0) // the reset shows the cut also where closing ends the body
		c.close()
	case c.closing:
		p.closeWhenFlushed(c, now)
	default:
		p.serveNext(c)
	}
}

// watchRelay ends a relay in which neither side makes progress.
func (p *Proxy) watchRelay(r *request, received, acked, now int64) {
	p.after(now, maxStallNs, func(now int64) {
		c := r.relay
		if r.ended || c == nil || c.dispatch == nil || c.dispatch.req != r {
			return
		}
		newReceived, newAcked := c.received.Load(), r.client.acked()
		if newReceived == received && newAcked == acked {
			d := c.dispatch
			c.dispatch = nil
			c.close()
			p.endRelay(d, balance.TimedOut, now)
			return
		}
		p.watchRelay(r, newReceived, newAcked, now)
	})
}
