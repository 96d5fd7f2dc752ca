package proxy

// This file handles dispatches: each is sent over a pooled or new connection and ends once, by a response, a
// connection failure, a timeout or a cancellation. How far it had come decides whether it may have run. It must
// never send a dispatch twice.

import (
	"errors"
	"fmt"

	"ivybank/balance"
	"ivybank/proxy/http1"
)

// reached is how far a dispatch had come when it failed.
type reached int

const (
	unsent reached = iota // the proxy itself could not or would not send it: not the host's fault
	unconnected
	partWritten
	allWritten
	answerBegun
)

// dispatchError is the error of a dispatch that got no complete response.
type broken struct {
	reached reached
	cause   error
}

func (b *broken) Error() string { return fmt.Sprintf("reached %d: %v", b.reached, b.cause) }
func (b *broken) Unwrap() error { return b.cause }

var (
	errEnded   = errors.New("connection closed")
	errAnswer  = errors.New("malformed response")
	errDrained = errors.New("host accepts no new dispatches")
	errUnknown = errors.New("unknown host")
	errSockets = errors.New("no free file descriptor")
)

// dispatch is one attempt of a request.
type dispatch struct {
	req   *req
	index int
	host  *host
	conn  *hostConn // nil until one is established
	sent  int64
	wrote int64 // when it was written to its connection
	until int64
	limit *timer
	out   bool
}

// send starts a dispatch to a server. Times are Unix ns.
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
	if r.flow == nil || r.flow.whole { // otherwise the balancer sets the deadline once the body is complete
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

// setDeadline sets the time up to which a dispatch is waited for.
func (p *Proxy) limit(d *dispatch, until, now int64) {
	p.stop(d.limit)
	d.until = until
	d.limit = p.after(now, until-now, func(now int64) { p.giveUp(d, balance.TimedOut, now) })
}

// allSent reports whether all of the request was written and accepted by the kernel.
func (d *dispatch) allSent() bool {
	return d.conn != nil && d.conn.written() && (d.req.flow == nil || d.req.flow.sent)
}

// useSettled uses a connection that had a response just before, unless more arrived on it.
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

// writeDispatch writes the dispatch to an established connection. If its host takes no new dispatches any more, its
// deadline has passed, or the process was stopped on the way here, it ends as not sent and the balancer decides
// again.
func (p *Proxy) write(d *dispatch, c *hostConn) {
	p.present(p.now())
	now := p.now()
	wait := d.until - now
	if f := d.req.flow; f != nil && !f.whole {
		wait = d.req.call.Timeout // counted from its last byte
	}
	call := http1.AppendCall(nil, d.req.call, d.host.addr, wait)
	if p.present(p.now()) || !d.host.ready || p.unsure() || wait <= 0 { // nothing after this check may take time
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

// progress returns how far a dispatch has come. Call it after the connection was closed: until then the kernel may
// still accept bytes.
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
		o = balance.NotSent // its last byte certainly never left
	}
	p.book(d, o, nil, now)
}

// fail ends a dispatch that got no complete response.
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
