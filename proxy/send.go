package proxy

// This file owns dispatches: each goes out over a connection of the pool or a new one, and ends once, by
// an answer, a break, a time-out or by being given up. How far it had come decides whether it may have
// run. It must never send a dispatch twice.

import (
	"errors"
	"fmt"

	"ivybank/balance"
	"ivybank/proxy/http1"
)

// reached is how far an attempt had come when it broke.
type reached int

const (
	unsent reached = iota // the proxy itself could not or would not: no fault of the host's
	unconnected
	partWritten
	allWritten
	answerBegun
)

// broken is the error of an attempt that got no whole answer.
type broken struct {
	reached reached
	cause   error
}

func (b *broken) Error() string { return fmt.Sprintf("reached %d: %v", b.reached, b.cause) }
func (b *broken) Unwrap() error { return b.cause }

var (
	errEnded   = errors.New("connection ended")
	errAnswer  = errors.New("answer malformed")
	errDrained = errors.New("host wants nothing new")
	errUnknown = errors.New("host not known")
	errSockets = errors.New("no descriptor free")
)

// dispatch is one attempt of a req.
type dispatch struct {
	req   *req
	index int
	host  *host
	conn  *hostConn // nil until one is up
	sent  int64
	wrote int64 // when it was handed to its connection
	until int64
	limit *timer
	out   bool
}

// send is the fourth stage.
func (p *Proxy) send(r *req, id string, until, now int64) {
	d := &dispatch{req: r, index: len(r.dispatches), host: p.host(id), sent: now, until: until, out: true}
	r.dispatches = append(r.dispatches, d)
	r.outs++
	p.count.Sent++
	if p.peers != nil {
		p.peers.fleet.Sent(id, d.index > 0, now)
	}
	if d.host == nil {
		p.post(now, nil, func(at int64) { p.broke(d, &broken{unsent, errUnknown}, at) })
		return
	}
	if r.flow == nil || r.flow.whole { // else the module tells once its body is whole
		p.limit(d, until, now)
	}
	if c := p.idle(d.host); c != nil {
		p.count.Reused++
		if fresh := settle - (now - c.used); fresh > 0 {
			p.after(now, fresh, func(now int64) { p.settled(d, c, now) })
		} else {
			p.write(d, c)
		}
		return
	}
	p.connect(d, now)
}

// limit is how long a dispatch is waited for.
func (p *Proxy) limit(d *dispatch, until, now int64) {
	p.stop(d.limit)
	d.until = until
	d.limit = p.after(now, until-now, func(now int64) { p.giveUp(d, balance.TimedOut, now) })
}

// allSent says whether all of the call was written and taken by the kernel.
func (d *dispatch) allSent() bool {
	return d.conn != nil && d.conn.written() && (d.req.flow == nil || d.req.flow.sent)
}

// settled uses a connection that had an answer just before, unless more came on it.
func (p *Proxy) settled(d *dispatch, c *hostConn, now int64) {
	if c.closed || !c.nothing() {
		c.shut()
		if d.out {
			p.connect(d, now)
		}
		return
	}
	p.connected(d, c, now)
}

// write puts the dispatch on a connection that is up. Where its host wants nothing new any more, or its time
// is over, or the process stood still on the way here, it comes back unsent and the module decides anew.
func (p *Proxy) write(d *dispatch, c *hostConn) {
	p.present(p.now())
	now := p.now()
	wait := d.until - now
	if f := d.req.flow; f != nil && !f.whole {
		wait = d.req.call.Timeout // counted from its last byte
	}
	call := http1.AppendCall(nil, d.req.call, d.host.addr, wait)
	if p.present(p.now()) || !d.host.ready || p.unsure() || wait <= 0 { // behind this nothing may take time
		p.post(now, nil, func(at int64) { p.broke(d, &broken{unsent, errDrained}, at) })
		p.park(c, now)
		return
	}
	d.conn, c.carries, d.wrote = c, d, now
	c.write(call)
	if d.req.flow != nil {
		p.pour(d)
		p.stuck(d, c.acked(), d.wrote)
	}
}

// progress says how far a dispatch has come. It is asked after its connection was closed: until then the
// kernel may still take bytes.
func (d *dispatch) progress() reached {
	switch c := d.conn; {
	case c == nil:
		return unconnected
	case c.begun.Load():
		return answerBegun
	case d.allSent():
		return allWritten
	}
	return partWritten
}

// giveUp stops waiting for a dispatch; closing its connection tells the host.
func (p *Proxy) giveUp(d *dispatch, o balance.Outcome, now int64) {
	if !d.out {
		return
	}
	if c := d.conn; c != nil {
		c.carries = nil
		c.shut()
		if d.req.relay == c {
			p.passed(d, o, now)
			return
		}
	}
	if d.progress() < allWritten {
		o = balance.NotSent // its last byte surely never left
	}
	p.book(d, o, nil, now)
}

// broke ends a dispatch that got no whole answer.
func (p *Proxy) broke(d *dispatch, err *broken, now int64) {
	if !d.out {
		return
	}
	switch {
	case err.reached == unsent:
		p.book(d, balance.NotSent, nil, now)
	case err.reached < allWritten:
		p.book(d, balance.NoConnection, nil, now)
	case errors.Is(err, errAnswer):
		p.book(d, balance.Errored, nil, now)
	default:
		p.book(d, balance.Reset, nil, now)
	}
}
