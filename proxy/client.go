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
	malformedCloseDelayNs = 5e8
	maxPipelined          = 16
	// How long a client without a descriptor to serve it may stay to be told so.
	overloadCloseDelayNs = 1e9
	// A head has to be complete within this time of the connection's start or of its own first byte.
	readTimeoutNs = 2.5e9
	// At least this much of a body has to arrive in each further readTimeoutNs.
	minBodyBytes = 16e3
	// A connection may be closed after this time without an open request.
	minRestNs = 2e9
	// Idle clients are kept while all clients hold at most one in this many descriptors.
	idleClientFDShare = 3
	// Above one in this many descriptors a client's connection ends with its response.
	keepAliveFDShare = 6
	// One in this many descriptors is reserved for hosts, however many clients connect.
	hostFDShare = 4
)

var errReadTimeout = errors.New("request was not complete in time")

var jsonType = []http1.Field{{Name: "Content-Type", Value: "application/json"}}

// client is one connection from the application.
type client struct {
	baseConn
	parser          *http1.RequestParser // reading goroutine only
	partial         bool                 // reading goroutine only: part of a request is buffered
	headDone        bool                 // reading goroutine only: its head is complete
	incomingBody    *bodyStream          // reading goroutine only: the body that arrives in pieces
	body            *bodyStream          // the same, as far as the event loop has handled it
	bodyPending     bool                 // headDone as the event loop knows it
	lastReceived    int64                // value of received when the body was last checked
	expectsContinue bool                 // waits for 100 Continue before it sends the body
	queue           []queuedRequest      // removed as they are served in turn
	request         *request             // the one that is being served
	waiter          *waiter              // or the one that waits for an idempotency key
	incoming        bool                 // part of a request has arrived
	readTimer       *timer               // fires when an incomplete request, or the first one, takes too long
	idleSince       int64                // when the connection started or its last request ended
	hasRequested    bool                 // has sent a complete request
	hasSent         atomic.Bool          // has sent anything
	inputErr        error                // why its input is malformed
	closing         bool                 // no more requests are accepted; closed once the response is sent
	noDescriptor    bool                 // there is no descriptor to serve it with
}

// queuedRequest is a request that waits for its turn, with the time at which it was read.
type queuedRequest struct {
	http1.Request
	at   int64
	body *bodyStream // the body, if it arrives in pieces
}

// free reports whether no request of the client is being served.
func (c *client) free() bool { return c.request == nil && c.waiter == nil }

// idle reports whether no request of the client is being served or queued.
func (c *client) idle() bool { return c.free() && len(c.queue) == 0 }

func newClient(nb *nbio.Conn) *client {
	return &client{baseConn: baseConn{nb: nb}, parser: http1.NewRequestParser()}
}

// addClient adds a client. If there is no descriptor to serve it with, its request is denied, which is safe because
// nothing of it has run.
func (p *Proxy) addClient(c *client, at int64) {
	c.idleSince = at
	p.startReadTimer(c, at)
	for len(p.clients) >= p.sockets/idleClientFDShare && p.closeLongestIdle(p.now(), minRestNs) {
	}
	hosts := max(p.sockets/hostFDShare, p.pool.conns+p.pool.dials)
	for len(p.clients)+hosts >= p.sockets-reservedFDs { // hundreds may have arrived since the last check
		if !p.closeLongestIdle(p.now(), 0) {
			c.noDescriptor = !p.makeRoom()
			break
		}
	}
	p.clients = append(p.clients, c)
	if c.noDescriptor {
		// A silent client would keep the descriptor from others.
		p.after(p.now(), overloadCloseDelayNs, func(now int64) { p.closeWhenFlushed(c, now) })
	}
}

// closeLongestIdle closes the client connection that has been without an open request for longest, and for at least
// minRest ns: some clients ask once and keep the connection, others open hundreds and send nothing. A client whose
// first request crosses the close has failed, so unread input in the kernel is checked.
func (p *Proxy) closeLongestIdle(now, minRest int64) bool {
	var longest *client
	for _, c := range p.clients {
		resting, required := c.idle() && (!c.closing || c.flushed()), minRest
		if c.hasRequested && !c.closing {
			required = minRestNs
		}
		if resting && now-c.idleSince >= required && (longest == nil || c.idleSince < longest.idleSince) && c.quiet() {
			longest = c
		}
	}
	if longest == nil {
		return false
	}
	p.count.Rested++
	p.closeClient(longest)
	return true
}

// closeClient closes a client's connection and removes it at once, as its descriptor is free.
func (p *Proxy) closeClient(c *client) {
	c.close()
	p.removeClient(c)
}

func (p *Proxy) removeClient(c *client) {
	p.stop(c.readTimer)
	p.clients = slices.DeleteFunc(p.clients, func(x *client) bool { return x == c })
}

// startReadTimer gives a client readTimeoutNs to send a complete request.
func (p *Proxy) startReadTimer(c *client, now int64) {
	p.stop(c.readTimer)
	c.readTimer = p.after(now, readTimeoutNs, func(now int64) { p.readTimedOut(c, now) })
}

// readTimedOut ends a connection on which an incomplete request or nothing at all was sent. No other timer would.
func (p *Proxy) readTimedOut(c *client, now int64) {
	received := c.received.Load()
	switch {
	case c.closed || c.closing && c.body == nil:
	// It makes progress, or its reading is paused here.
	case c.bodyPending && (received-c.lastReceived >= minBodyBytes || c.readPaused.Load()):
		c.lastReceived = received
		p.startReadTimer(c, now)
	case !c.noInput() && !c.readPaused.Load(): // read first what has just arrived
		c.readTimer = p.after(now, pollIntervalNs, func(now int64) { p.readTimedOut(c, now) })
	case c.hasSent.Load():
		p.rejectMalformed(c, errReadTimeout)
	default:
		p.count.Rested++
		p.closeClient(c)
	}
}

func (c *client) onRead(p *Proxy, at int64, b []byte) {
	c.hasSent.Store(true)
	c.parser.Feed(b)
	for {
		msg, ok, err := c.parser.Next()
		switch {
		case err != nil:
			p.post(at, &c.baseConn, func(int64) { p.rejectMalformed(c, err) })
			return
		case !ok:
			if partial, headDone := c.parser.Begun(), c.parser.HeadDone(); partial != c.partial ||
				headDone != c.headDone {
				c.partial, c.headDone = partial, headDone
				expects := c.parser.ExpectsContinue()
				p.post(at, &c.baseConn, func(at int64) { p.partialRequest(c, partial, headDone, expects, at) })
			}
			return
		case msg.Piece == http1.Whole:
			c.partial, c.headDone = false, false
			p.post(at, &c.baseConn, func(at int64) { p.queueRequest(c, queuedRequest{msg, at, nil}) })
		case msg.Piece == http1.First:
			body := &bodyStream{client: c, length: msg.Length, pending: [][]byte{msg.Body}}
			c.incomingBody, msg.Body = body, nil
			c.transit.Add(int64(len(body.pending[0])))
			p.post(at, &c.baseConn, func(at int64) { p.queueRequest(c, queuedRequest{msg, at, body}) })
		default:
			body := c.incomingBody
			c.transit.Add(int64(len(msg.Body)))
			if msg.Piece == http1.Last {
				c.partial, c.headDone, c.incomingBody = false, false, nil
			}
			p.post(at, &c.baseConn, func(at int64) { p.receivePiece(c, body, msg, at) })
		}
	}
}

// onEOF does nothing: the client has gone away, and onClose follows.
func (c *client) onEOF(*Proxy, int64) {}

// partialRequest records that a further request has begun, that what looked like one was only an empty line, or
// that its head is complete and the body has its own timeout. The timeout of the first request runs from the
// connection's start, whatever arrives before it: an empty line in two pieces must not stop it.
func (p *Proxy) partialRequest(c *client, partial, headDone, expects bool, at int64) {
	newHead := headDone && !c.bodyPending
	c.incoming, c.bodyPending = partial, headDone
	if c.expectsContinue = expects; expects {
		p.sendContinue(c)
	}
	switch {
	case c.closed:
	case newHead:
		c.lastReceived = c.received.Load()
		p.startReadTimer(c, at)
	case !c.hasRequested:
	case partial:
		p.startReadTimer(c, at)
	default:
		p.stop(c.readTimer)
	}
}

// queueRequest queues a request until its turn.
func (p *Proxy) queueRequest(c *client, queued queuedRequest) {
	c.body = queued.body
	if c.inputErr != nil || c.closed || c.closing {
		p.discardBody(queued.body)
		return
	}
	c.hasRequested, c.incoming, c.expectsContinue = true, queued.body != nil, false
	c.bodyPending = c.incoming
	if p.stop(c.readTimer); c.bodyPending {
		c.lastReceived = c.received.Load()
		p.startReadTimer(c, p.now())
	}
	if len(c.queue) >= maxPipelined {
		p.discardBody(queued.body)
		p.rejectMalformed(c, http1.ErrTooLarge)
		return
	}
	c.queue = append(c.queue, queued)
	p.serveNext(c)
}

// sendContinue tells a client that waits for it to send its body, unless an earlier response is due first.
func (p *Proxy) sendContinue(c *client) {
	if c.expectsContinue && c.idle() && !c.closed && !c.closing {
		c.expectsContinue = false
		c.write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
	}
}

// rejectMalformed rejects malformed input at once. A client that sends it behind its own open request has given
// that up.
func (p *Proxy) rejectMalformed(c *client, err error) {
	if c.inputErr != nil || c.closed || c.closing {
		return
	}
	c.inputErr, c.queue = err, nil
	p.discardBody(c.body)
	relayed := c.request != nil && c.request.relay != nil
	p.withdraw(c)
	if relayed { // no error response fits into a response that has begun
		c.close()
		return
	}
	p.count.Malformed++
	status := http.StatusBadRequest
	switch {
	case errors.Is(err, http1.ErrTooLarge):
		status = http.StatusRequestEntityTooLarge
	case errors.Is(err, errReadTimeout):
		status = http.StatusRequestTimeout
	}
	p.respond(c, http1.Response{Status: status}, true)
}

// serveNext serves the next queued requests while the client's connection is free.
func (p *Proxy) serveNext(c *client) {
	for c.free() && !c.closed && !c.closing && len(c.queue) > 0 {
		queued := c.queue[0]
		c.queue = c.queue[1:]
		switch {
		case c.noDescriptor:
			p.count.Crowded++
			p.respond(c, http1.Response{Status: http.StatusServiceUnavailable}, true)
		case queued.Method == http.MethodGet && queued.Target == "/_health":
			status := http.StatusOK
			if p.drain.evictedAt != 0 {
				status = http.StatusServiceUnavailable
			}
			p.respond(c, http1.Response{Status: status}, queued.Close)
		case queued.Method == http.MethodGet && queued.Target == "/_counters":
			p.respond(c, http1.Response{Status: http.StatusOK, Fields: jsonType, Body: p.count.JSON()}, queued.Close)
		default:
			handled, err := p.handleKeyed(c, queued)
			if !handled {
				err = p.admit(c, queued)
			}
			if err != nil {
				p.rejectMalformed(c, err)
			}
		}
		if c.free() {
			p.discardBody(queued.body)
		}
	}
	p.sendContinue(c)
}

// onClose withdraws what the closed connection waited for.
func (c *client) onClose(p *Proxy, _ int64) {
	p.removeClient(c)
	p.withdraw(c)
}
