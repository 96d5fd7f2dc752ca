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
const stall = 4e9

// bodyStream is a request's body that arrives in pieces; it lives as long as its request or until its last piece.
type flow struct {
	from    *client
	length  int      // -1 if unknown
	held    [][]byte // removed as they are written to a host, or when the body is discarded
	whole   bool     // the last piece has arrived
	spent   bool     // a piece was sent, and the body cannot be sent again
	sent    bool     // all of it was written to a host
	useless bool     // the pieces are of no use any more
}

// receivePiece handles a further piece of the body that a client sends.
func (p *Proxy) flows(c *client, f *flow, call http1.Call, now int64) {
	last := call.Piece == http1.Last
	if f.whole = f.whole || last; last {
		c.flow, c.coming = nil, false
		p.stop(c.due)
	}
	if f.useless || c.closed {
		p.moved(c, int64(len(call.Body)), nil)
		return
	}
	f.held = append(f.held, call.Body)
	if r := c.req; r != nil && r.flow == f {
		if last {
			p.module.BodyComplete(r.id, now)
			for _, d := range r.dispatches {
				if d.out {
					d.sent = now
				}
			}
		}
		for _, d := range r.dispatches {
			if d.out && d.conn != nil {
				p.pour(d)
			}
		}
	}
}

// writeBody writes the pending pieces to the host that the request was dispatched to.
func (p *Proxy) pour(d *dispatch) {
	f, c := d.req.flow, d.conn
	if f.sent || f.useless {
		return
	}
	if len(f.held) > 0 && !f.spent {
		f.spent = true
		p.module.BodyDropped(d.req.id)
	}
	for i, b := range f.held {
		c.write(http1.AppendPiece(nil, f.length < 0, b, false))
		f.held[i] = nil
		p.moved(f.from, int64(len(b)), &c.wire)
	}
	f.held = nil
	if f.whole {
		f.sent = true
		if end := http1.AppendPiece(nil, f.length < 0, nil, true); len(end) > 0 {
			c.write(end)
		}
	}
}

// updateTransitLimit shares the memory for bodies in transit among all that arrive in pieces.
func (p *Proxy) portion(now int64) {
	p.portioned = now
	bodies := int64(1)
	for _, c := range p.clients {
		if c.flow != nil || c.req != nil && c.req.relay != nil {
			bodies++
		}
	}
	each := int64(mostTransit)
	if p.start.Memory > 0 {
		each = p.start.Memory / transitPart / bodies
	}
	p.transit.Store(min(mostTransit, max(leastTransit, each)))
}

// discardBody drops a body that is of no use any more; what still arrives of it is read and discarded.
func (p *Proxy) drop(f *flow) {
	if f == nil || f.useless {
		return
	}
	f.useless = true
	n := int64(0) // runs also if nothing is pending, so that unsent bytes no longer pause the reading
	for _, b := range f.held {
		n += int64(len(b))
	}
	f.held = nil
	p.moved(f.from, n, nil)
}

// watchUpload checks every maxStallNs whether a body still makes progress towards its host, and gives it up if
// not.
func (p *Proxy) stuck(d *dispatch, acked, now int64) {
	p.after(now, stall, func(now int64) {
		c := d.conn
		if !d.out || c == nil || d.allSent() {
			return
		}
		is := c.acked()
		if is == acked && !c.written() {
			p.giveUp(d, balance.TimedOut, now)
			return
		}
		p.stuck(d, is, now)
	})
}

// startRelay forwards the head of a response; from here on it goes to the client of that request.
func (p *Proxy) begins(c *hostConn, a http1.Answer, now int64) {
	d := c.carries
	n := int64(len(a.Body))
	if d == nil || d.req.ended || d.req.relay != nil || a.Status != http.StatusOK || !d.allSent() || now <= d.wrote {
		p.moved(c, n, nil)
		c.carries = nil
		c.shut()
		if d != nil { // the rest of it is discarded
			o := outcome(a)
			if o == balance.Served {
				o = balance.Errored // premature, or after another host's response
			}
			p.book(d, o, nil, now)
		}
		return
	}
	r := d.req
	if r.key != nil {
		p.lendClient(r)
	}
	if r.client == nil { // nobody waits for it any more, but the request has run
		p.moved(c, n, nil)
		c.carries = nil
		c.shut()
		p.book(d, balance.Served, &http1.Answer{Status: a.Status, Piece: http1.First}, now)
		return
	}
	r.relay = c
	p.count.Streamed++
	p.stop(d.limit)
	p.module.StreamStarted(r.id)
	p.module.AnswerStarted(r.id, d.index, now-d.sent, now)
	cl := r.client
	a.Close = r.call.Close || p.lastAnswer(cl) || a.Length < 0 && r.call.Old
	cl.last = cl.last || a.Close
	c.chunks = a.Length < 0 && !r.call.Old
	cl.write(http1.AppendAnswer(nil, a, r.call.Old))
	p.moved(c, n, &cl.wire)
	_ = cl.nb.SetWriteBuffer(lowUnsent) // else the kernel would buffer megabytes for a slow client
	p.watchOver(r, c.heard.Load(), cl.acked(), now)
}

// relayPiece forwards a further piece of a response.
func (p *Proxy) passes(c *hostConn, a http1.Answer, now int64) {
	d := c.carries
	n := int64(len(a.Body))
	if d == nil || d.req.relay != c || d.req.ended {
		p.moved(c, n, nil)
		return
	}
	r := d.req
	last := a.Piece == http1.Last
	if b := http1.AppendPiece(nil, c.chunks, a.Body, last); len(b) > 0 {
		r.client.write(b)
	}
	p.moved(c, n, &r.client.wire)
	if !last {
		return
	}
	c.carries = nil
	if a.Close {
		c.shut()
	} else {
		p.park(c, now)
	}
	p.passed(d, balance.Served, now)
}

// endRelay ends the relay of a response: complete, or in a way that shows the client that it is not.
func (p *Proxy) passed(d *dispatch, o balance.Outcome, now int64) {
	r, c := d.req, d.req.client
	d.out, r.ended = false, true
	r.outs--
	p.count.Outcomes[o]++
	p.drop(r.flow)
	c.req, c.rests = nil, now
	if o == balance.Served {
		p.count.Done++
		record(p.count.took, r.taken, now)
	} else {
		p.count.Cut++
	}
	p.module.Finished(r.id, d.index, o, true, now-d.sent, now)
	p.forget(r)
	if r.key != nil {
		p.passedKey(r, o)
	}
	switch {
	case c.closed:
	case o != balance.Served:
		_ = c.nb.SetLinger(1, 0) // the reset shows the cut also where closing ends the body
		c.shut()
	case c.last:
		p.endClient(c, now)
	default:
		p.turn(c)
	}
}

// watchRelay ends a relay in which neither side makes progress.
func (p *Proxy) watchOver(r *req, heard, took, now int64) {
	p.after(now, stall, func(now int64) {
		c := r.relay
		if r.ended || c == nil || c.carries == nil || c.carries.req != r {
			return
		}
		h, t := c.heard.Load(), r.client.acked()
		if h == heard && t == took {
			d := c.carries
			c.carries = nil
			c.shut()
			p.passed(d, balance.TimedOut, now)
			return
		}
		p.watchOver(r, h, t, now)
	})
}
