package proxy

// This file owns bodies that come in pieces: a call's on its way to a host, an answer's on its way to a client. It must
// never hold more of one than its bound, send a piece twice, or let either side take for whole what is not.

import (
	"net/http"

	"ivybank/balance"
	"ivybank/proxy/http1"
)

// stall is how long a body may stand still before it is given up, however short the time is that clients wait for an
// answer's begin: a busy machine on either side is no reason to break off what would still come.
const stall = 4e9

// flow is a call's body that comes in pieces; it goes with its req, or with its last piece.
type flow struct {
	from    *client
	length  int      // -1: not told
	held    [][]byte // emptied as they are written to a host, or when nobody wants them
	whole   bool     // the last piece has come
	spent   bool     // a piece has left and cannot be sent again
	sent    bool     // all has been written to a host
	useless bool     // nobody wants the pieces any more
}

// flows takes a further piece of the body that a client sends.
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
			p.module.Whole(r.id, now)
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

// pour writes what is held of a body to the host that the req was dispatched to.
func (p *Proxy) pour(d *dispatch) {
	f, c := d.req.flow, d.conn
	if f.sent || f.useless {
		return
	}
	if len(f.held) > 0 && !f.spent {
		f.spent = true
		p.module.Spent(d.req.id)
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

// portion gives each body that comes in pieces its part of the memory that all may hold.
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

// drop lets go of a body that nobody wants any more; what still comes of it is read and thrown away.
func (p *Proxy) drop(f *flow) {
	if f == nil || f.useless {
		return
	}
	f.useless = true
	n := int64(0) // also where nothing is held: what a host has not taken no longer holds reading up
	for _, b := range f.held {
		n += int64(len(b))
	}
	f.held = nil
	p.moved(f.from, n, nil)
}

// stuck looks from time to time whether a body still gets on towards its host; one that stands still is given up.
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

// begins passes the head of an answer on; from here it is the client's.
func (p *Proxy) begins(c *hostConn, a http1.Answer, now int64) {
	d := c.carries
	n := int64(len(a.Body))
	if d == nil || d.req.ended || d.req.relay != nil || a.Status != http.StatusOK || !d.allSent() || now <= d.wrote {
		p.moved(c, n, nil)
		c.carries = nil
		c.shut()
		if d != nil { // the rest of it is of no use
			o := outcome(a)
			if o == balance.Served {
				o = balance.Errored // a good answer to what was not all asked, or that another was quicker than
			}
			p.book(d, o, nil, now)
		}
		return
	}
	r := d.req
	if r.key != nil {
		p.lendClient(r)
	}
	if r.client == nil { // nobody waits for it any more; it has run
		p.moved(c, n, nil)
		c.carries = nil
		c.shut()
		p.book(d, balance.Served, &http1.Answer{Status: a.Status, Piece: http1.First}, now)
		return
	}
	r.relay = c
	p.count.Streamed++
	p.stop(d.limit)
	p.module.Started(r.id)
	p.module.Passed(r.id, d.index, now-d.sent, now)
	cl := r.client
	a.Close = r.call.Close || p.lastAnswer(cl) || a.Length < 0 && r.call.Old
	cl.last = cl.last || a.Close
	c.chunks = a.Length < 0 && !r.call.Old
	cl.write(http1.AppendAnswer(nil, a, r.call.Old))
	p.moved(c, n, &cl.wire)
	_ = cl.nb.SetWriteBuffer(lowUnsent) // else the kernel would take megabytes ahead of a slow client
	p.watchOver(r, c.heard.Load(), cl.acked(), now)
}

// passes takes a further piece of an answer that is being passed on.
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

// passed ends an answer that was being passed on: whole, or so that its client can tell that it is not.
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
		_ = c.nb.SetLinger(1, 0) // also where only the end of the connection ends the answer
		c.shut()
	case c.last:
		p.endClient(c, now)
	default:
		p.turn(c)
	}
}

// watchOver ends an answer of which nothing comes and nothing is taken.
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
