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
	notSent reached = iota // the proxy itself could not or would not send it: not the host's fault
	unconnected
	partWritten
	allWritten
	responseBegun
)

// dispatchError is the error of a dispatch that got no complete response.
type dispatchError struct {
	reached reached
	cause   error
}

func (e *dispatchError) Error() string { return fmt.Sprintf("reached %d: %v", e.reached, e.cause) }
func (e *dispatchError) Unwrap() error { return e.cause }

var (
	errConnClosed        = errors.New("connection closed")
	errMalformedResponse = errors.New("malformed response")
	errHostDraining      = errors.New("host accepts no new dispatches")
	errUnknownHost       = errors.New("unknown host")
	errNoDescriptor      = errors.New("no free file descriptor")
)

// dispatch is one attempt of a request.
type dispatch struct {
	req         *request
	index       int
	host        *host
	conn        *hostConn // nil until one is established
	sentAt      int64
	writtenAt   int64 // when it was written to its connection
	deadline    int64
	timer       *timer
	outstanding bool
}

// send starts a dispatch to a server. Times are Unix ns.
func (p *Proxy) send(r *request, id string, deadline, now int64) {
	d := &dispatch{req: r, index: len(r.dispatches), host: p.host(id), sentAt: now, deadline: deadline,
		outstanding: true}
	r.dispatches = append(r.dispatches, d)
	r.outstanding++
	p.count.Sent++
	if p.peers != nil {
		p.peers.fleet.Dispatched(id, d.index > 0, now)
	}
	if d.host == nil {
		p.post(now, nil, func(at int64) { p.fail(d, &dispatchError{notSent, errUnknownHost}, at) })
		return
	}
	if r.body == nil || r.body.complete { // otherwise the balancer sets the deadline once the body is complete
		p.setDeadline(d, deadline, now)
	}
	if c := p.takeIdle(d.host); c != nil {
		p.count.Reused++
		if wait := settleNs - (now - c.lastUsed); wait > 0 {
			p.after(now, wait, func(now int64) { p.useSettled(d, c, now) })
		} else {
			p.writeDispatch(d, c)
		}
		return
	}
	p.connect(d, now)
}

// setDeadline sets the time up to which a dispatch is waited for.
func (p *Proxy) setDeadline(d *dispatch, deadline, now int64) {
	p.stop(d.timer)
	d.deadline = deadline
	d.timer = p.after(now, deadline-now, func(now int64) { p.giveUp(d, balance.TimedOut, now) })
}

// allSent reports whether all of the request was written and accepted by the kernel.
func (d *dispatch) allSent() bool {
	return d.conn != nil && d.conn.flushed() && (d.req.body == nil || d.req.body.sent)
}

// useSettled uses a connection that had a response just before, unless more arrived on it.
func (p *Proxy) useSettled(d *dispatch, c *hostConn, now int64) {
	if c.closed || !c.noInput() {
		c.close()
		if d.outstanding {
			p.connect(d, now)
		}
		return
	}
	p.useConn(d, c, now)
}

// writeDispatch writes the dispatch to an established connection. If its host takes no new dispatches any more, its
// deadline has passed, or the process was stopped on the way here, it ends as not sent and the balancer decides
// again.
func (p *Proxy) writeDispatch(d *dispatch, c *hostConn) {
	p.catchUpWatch(p.now())
	now := p.now()
	timeout := d.deadline - now
	if body := d.req.body; body != nil && !body.complete {
		timeout = d.req.msg.Timeout // counted from its last byte
	}
	encoded := http1.AppendRequest(nil, d.req.msg, d.host.addr, timeout)
	// Nothing after this check may take time.
	if p.catchUpWatch(p.now()) || !d.host.ready || p.listUncertain() || timeout <= 0 {
		p.post(now, nil, func(at int64) { p.fail(d, &dispatchError{notSent, errHostDraining}, at) })
		p.park(c, now)
		return
	}
	d.conn, c.dispatch, d.writtenAt = c, d, now
	c.write(encoded)
	if d.req.body != nil {
		p.writeBody(d)
		p.watchUpload(d, c.acked(), d.writtenAt)
	}
}

// progress returns how far a dispatch has come. Call it after the connection was closed: until then the kernel may
// still accept bytes.
func (d *dispatch) progress() reached {
	switch c := d.conn; {
	case c == nil:
		return unconnected
	case c.responseBegun.Load():
		return responseBegun
	case d.allSent():
		return allWritten
	}
	return partWritten
}

// giveUp stops waiting for a dispatch; closing its connection tells the host.
func (p *Proxy) giveUp(d *dispatch, outcome balance.Outcome, now int64) {
	if !d.outstanding {
		return
	}
	if c := d.conn; c != nil {
		c.dispatch = nil
		c.close()
		if d.req.relay == c {
			p.endRelay(d, outcome, now)
			return
		}
	}
	if d.progress() < allWritten {
		outcome = balance.NotSent // its last byte certainly never left
	}
	p.finishDispatch(d, outcome, nil, now)
}

// fail ends a dispatch that got no complete response.
func (p *Proxy) fail(d *dispatch, err *dispatchError, now int64) {
	if !d.outstanding {
		return
	}
	switch {
	case err.reached == notSent:
		p.finishDispatch(d, balance.NotSent, nil, now)
	case err.reached < allWritten:
		p.finishDispatch(d, balance.NoConnection, nil, now)
	case errors.Is(err, errMalformedResponse):
		p.finishDispatch(d, balance.Errored, nil, now)
	default:
		p.finishDispatch(d, balance.Reset, nil, now)
	}
}
