package proxy

// This file handles client connections: it parses requests, serves them one at a time per connection, and answers
// those that need no host. It must never pass a malformed request on, nor close a connection on which an open
// request waits for its response.

import (
	"errors"
	"net/http"
	"slices"
	"sync/atomic"

	"github.com/lesismal/nbio"

	"ivybank/proxy/http1"
)

const (
	// A client may still be sending the rejected request; if closed at once, it would not see the response.
	badWait     = 5e8
	mostWaiting = 16
	// How long a client without a descriptor to serve it may stay to be told so.
	extraWait = 1e9
	// A head has to be complete within this time of the connection's start or of its own first byte.
	callWait = 2.5e9
	// At least this much of a body has to arrive in each further readTimeoutNs.
	leastBody = 16e3
	// A connection may be closed after this time without an open request.
	rest = 2e9
	// Idle clients are kept while all clients hold at most one in this many descriptors.
	clientPart = 3
	// Above one in this many descriptors a client's connection ends with its response.
	keepPart = 6
	// One in this many descriptors is reserved for hosts, however many clients connect.
	hostPart = 4
)

var errLate = errors.New("request was not complete in time")

var jsonType = []http1.Field{{Name: "Content-Type", Value: "application/json"}}

// client is one connection from the application.
type client struct {
	wire
	calls   *http1.Calls // reading goroutine only
	begun   bool         // reading goroutine only: part of a request is buffered
	headIn  bool         // reading goroutine only: its head is complete
	piece   *flow        // reading goroutine only: the body that arrives in pieces
	flow    *flow        // the same, as far as the event loop has handled it
	body    bool         // headDone as the event loop knows it
	lately  int64        // value of received when the body was last checked
	expects bool         // waits for 100 Continue before it sends the body
	waiting []sentAhead  // removed as they are served in turn
	req     *req         // the one that is being served
	waits   *waiter      // or the one that waits for an idempotency key
	coming  bool         // part of a request has arrived
	due     *timer       // fires when an incomplete request, or the first one, takes too long
	rests   int64        // when the connection started or its last request ended
	asked   bool         // has sent a complete request
	spoke   atomic.Bool  // has sent anything
	bad     error        // why its input is malformed
	last    bool         // no more requests are accepted; closed once the response is sent
	extra   bool         // there is no descriptor to serve it with
}

// queuedRequest is a request that waits for its turn, with the time at which it was read.
type sentAhead struct {
	http1.Call
	at   int64
	flow *flow // the body, if it arrives in pieces
}

// free reports whether no request of the client is being served.
func (c *client) free() bool { return c.req == nil && c.waits == nil }

// idle reports whether no request of the client is being served or queued.
func (c *client) idle() bool { return c.free() && len(c.waiting) == 0 }

func newClient(c *nbio.Conn) *client {
	return &client{wire: wire{nb: c}, calls: http1.NewCalls()}
}

// addClient adds a client. If there is no descriptor to serve it with, its request is denied, which is safe because
// nothing of it has run.
func (p *Proxy) welcome(c *client, at int64) {
	c.rests = at
	p.await(c, at)
	for len(p.clients) >= p.sockets/clientPart && p.closeResting(p.now(), rest) {
	}
	hosts := max(p.sockets/hostPart, p.pool.conns+p.pool.dials)
	for len(p.clients)+hosts >= p.sockets-spareSockets { // hundreds may have arrived since the last check
		if !p.closeResting(p.now(), 0) {
			c.extra = !p.roomForOne()
			break
		}
	}
	p.clients = append(p.clients, c)
	if c.extra {
		// A silent client would keep the descriptor from others.
		p.after(p.now(), extraWait, func(now int64) { p.endClient(c, now) })
	}
}

// closeLongestIdle closes the client connection that has been without an open request for longest, and for at least
// minRest ns: some clients ask once and keep the connection, others open hundreds and send nothing. A client whose
// first request crosses the close has failed, so unread input in the kernel is checked.
func (p *Proxy) closeResting(now, least int64) bool {
	var longest *client
	for _, c := range p.clients {
		resting, need := c.idle() && (!c.last || c.written()), least
		if c.asked && !c.last {
			need = rest
		}
		if resting && now-c.rests >= need && (longest == nil || c.rests < longest.rests) && c.silent() {
			longest = c
		}
	}
	if longest == nil {
		return false
	}
	p.count.Rested++
	p.dismiss(longest)
	return true
}

// closeClient closes a client's connection and removes it at once, as its descriptor is free.
func (p *Proxy) dismiss(c *client) {
	c.shut()
	p.countOff(c)
}

func (p *Proxy) countOff(c *client) {
	p.stop(c.due)
	p.clients = slices.DeleteFunc(p.clients, func(x *client) bool { return x == c })
}

// startReadTimer gives a client readTimeoutNs to send a complete request.
func (p *Proxy) await(c *client, now int64) {
	p.stop(c.due)
	c.due = p.after(now, callWait, func(now int64) { p.overdue(c, now) })
}

// readTimedOut ends a connection on which an incomplete request or nothing at all was sent. No other timer would.
func (p *Proxy) overdue(c *client, now int64) {
	heard := c.heard.Load()
	switch {
	case c.closed || c.last && c.flow == nil:
	case c.body && (heard-c.lately >= leastBody || c.stalled.Load()): // it makes progress, or its reading is paused here
		c.lately = heard
		p.await(c, now)
	case !c.nothing() && !c.stalled.Load(): // read first what has just arrived
		c.due = p.after(now, glance, func(now int64) { p.overdue(c, now) })
	case c.spoke.Load():
		p.malformed(c, errLate)
	default:
		p.count.Rested++
		p.dismiss(c)
	}
}

func (c *client) read(p *Proxy, at int64, b []byte) {
	c.spoke.Store(true)
	c.calls.Feed(b)
	for {
		call, ok, err := c.calls.Next()
		switch {
		case err != nil:
			p.post(at, &c.wire, func(int64) { p.malformed(c, err) })
			return
		case !ok:
			if begun, head := c.calls.Begun(), c.calls.HeadIn(); begun != c.begun || head != c.headIn {
				c.begun, c.headIn = begun, head
				expects := c.calls.Expects()
				p.post(at, &c.wire, func(at int64) { p.comes(c, begun, head, expects, at) })
			}
			return
		case call.Piece == http1.Whole:
			c.begun, c.headIn = false, false
			p.post(at, &c.wire, func(at int64) { p.take(c, sentAhead{call, at, nil}) })
		case call.Piece == http1.First:
			f := &flow{from: c, length: call.Length, held: [][]byte{call.Body}}
			c.piece, call.Body = f, nil
			c.transit.Add(int64(len(f.held[0])))
			p.post(at, &c.wire, func(at int64) { p.take(c, sentAhead{call, at, f}) })
		default:
			f := c.piece
			c.transit.Add(int64(len(call.Body)))
			if call.Piece == http1.Last {
				c.begun, c.headIn, c.piece = false, false, nil
			}
			p.post(at, &c.wire, func(at int64) { p.flows(c, f, call, at) })
		}
	}
}

// onEOF does nothing: the client has gone away, and onClose follows.
func (c *client) eof(*Proxy, int64) {}

// partialRequest records that a further request has begun, that what looked like one was only an empty line, or
// that its head is complete and the body has its own timeout. The timeout of the first request runs from the
// connection's start, whatever arrives before it: an empty line in two pieces must not stop it.
func (p *Proxy) comes(c *client, begun, head, expects bool, at int64) {
	headIn := head && !c.body
	c.coming, c.body = begun, head
	if c.expects = expects; expects {
		p.word(c)
	}
	switch {
	case c.closed:
	case headIn:
		c.lately = c.heard.Load()
		p.await(c, at)
	case !c.asked:
	case begun:
		p.await(c, at)
	default:
		p.stop(c.due)
	}
}

// queueRequest queues a request until its turn.
func (p *Proxy) take(c *client, call sentAhead) {
	c.flow = call.flow
	if c.bad != nil || c.closed || c.last {
		p.drop(call.flow)
		return
	}
	c.asked, c.coming, c.expects = true, call.flow != nil, false
	c.body = c.coming
	if p.stop(c.due); c.body {
		c.lately = c.heard.Load()
		p.await(c, p.now())
	}
	if len(c.waiting) >= mostWaiting {
		p.drop(call.flow)
		p.malformed(c, http1.ErrTooLarge)
		return
	}
	c.waiting = append(c.waiting, call)
	p.turn(c)
}

// sendContinue tells a client that waits for it to send its body, unless an earlier response is due first.
func (p *Proxy) word(c *client) {
	if c.expects && c.idle() && !c.closed && !c.last {
		c.expects = false
		c.write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
	}
}

// rejectMalformed rejects malformed input at once. A client that sends it behind its own open request has given
// that up.
func (p *Proxy) malformed(c *client, err error) {
	if c.bad != nil || c.closed || c.last {
		return
	}
	c.bad, c.waiting = err, nil
	p.drop(c.flow)
	relayed := c.req != nil && c.req.relay != nil
	p.withdraw(c)
	if relayed { // no error response fits into a response that has begun
		c.shut()
		return
	}
	p.count.Malformed++
	status := http.StatusBadRequest
	switch {
	case errors.Is(err, http1.ErrTooLarge):
		status = http.StatusRequestEntityTooLarge
	case errors.Is(err, errLate):
		status = http.StatusRequestTimeout
	}
	p.answer(c, http1.Answer{Status: status}, true)
}

// serveNext serves the next queued requests while the client's connection is free.
func (p *Proxy) turn(c *client) {
	for c.free() && !c.closed && !c.last && len(c.waiting) > 0 {
		call := c.waiting[0]
		c.waiting = c.waiting[1:]
		switch {
		case c.extra:
			p.count.Crowded++
			p.answer(c, http1.Answer{Status: http.StatusServiceUnavailable}, true)
		case call.Method == http.MethodGet && call.Target == "/_health":
			status := http.StatusOK
			if p.drain.emptied != 0 {
				status = http.StatusServiceUnavailable
			}
			p.answer(c, http1.Answer{Status: status}, call.Close)
		case call.Method == http.MethodGet && call.Target == "/_counters":
			p.answer(c, http1.Answer{Status: http.StatusOK, Fields: jsonType, Body: p.count.JSON()}, call.Close)
		default:
			taken, err := p.keyed(c, call)
			if !taken {
				err = p.admit(c, call)
			}
			if err != nil {
				p.malformed(c, err)
			}
		}
		if c.free() {
			p.drop(call.flow)
		}
	}
	p.word(c)
}

// onClose withdraws what the closed connection waited for.
func (c *client) gone(p *Proxy, _ int64) {
	p.countOff(c)
	p.withdraw(c)
}
