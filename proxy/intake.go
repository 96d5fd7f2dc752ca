package proxy

// This file owns the clients' connections: it parses what they send, one call at a time, and answers what
// is no req. It must never let a malformed call any further, nor close a connection on which an open
// req waits for its answer.

import (
	"errors"
	"net/http"
	"slices"
	"sync/atomic"

	"github.com/lesismal/nbio"

	"ivybank/proxy/http1"
)

const (
	badWait     = 5e8   // a client may still be sending what was refused: closed at once, it would not see the answer
	mostWaiting = 16    // calls that a client may send ahead on one connection
	extraWait   = 1e9   // time in which a client that there is no descriptor for may be told so
	callWait    = 2.5e9 // time in which a head has to come whole, from the connection's start or its own first byte,
	leastBody   = 16e3  // and so many bytes of a body in each such time
	rest        = 2e9   // a connection without an open req may be closed from then on
	clientPart  = 3     // clients at rest are kept while all clients hold no more than one in so many descriptors
	keepPart    = 6     // past one in so many descriptors a client's connection ends with its answer
	hostPart    = 4     // one in so many descriptors is left to hosts, however many clients come
)

var errLate = errors.New("call never came whole")

var jsonType = []http1.Field{{Name: "Content-Type", Value: "application/json"}}

// client is one connection from the application.
type client struct {
	wire
	calls   *http1.Calls // the poller's
	begun   bool         // the poller's: a part of a call is held
	headIn  bool         // the poller's: its head has come
	piece   *flow        // the poller's: the body that comes in pieces
	flow    *flow        // the same, as far as the owner has come
	body    bool         // the owner's headIn
	lately  int64        // bytes heard when the body was last looked at
	expects bool         // waits for a word before it sends the body
	waiting []sentAhead  // emptied as they are taken in turn
	req     *req         // the one that is being answered
	waits   *waiter      // or the one that goes by a key
	coming  bool         // a part of a call has come
	due     *timer       // when a call that is not whole yet, or has not begun, has taken too long
	rests   int64        // since when no req is open: its start, or its last answer
	asked   bool         // has sent a whole call
	spoke   atomic.Bool  // has sent anything
	bad     error        // what was sent is no call
	last    bool         // no call is taken any more: closed once the answer has left
	extra   bool         // there is no descriptor to serve it with
}

// sentAhead is a call that waits for its turn, and when it was read.
type sentAhead struct {
	http1.Call
	at   int64
	flow *flow // the body, where it comes in pieces
}

// free says whether nothing of its is being answered.
func (c *client) free() bool { return c.req == nil && c.waits == nil }

// idle says whether nothing of its waits for its turn either.
func (c *client) idle() bool { return c.free() && len(c.waiting) == 0 }

func newClient(c *nbio.Conn) *client {
	return &client{wire: wire{nb: c}, calls: http1.NewCalls()}
}

// welcome counts a client in. When there is no room for it, it is turned away with a deny, which is
// harmless as nothing of its call has run.
func (p *Proxy) welcome(c *client, at int64) {
	c.rests = at
	p.await(c, at)
	for len(p.clients) >= p.sockets/clientPart && p.closeResting(p.now(), rest) {
	}
	hosts := max(p.sockets/hostPart, p.pool.conns+p.pool.dials)
	for len(p.clients)+hosts >= p.sockets-spareSockets { // hundreds may have come since the last look
		if !p.closeResting(p.now(), 0) {
			c.extra = !p.roomForOne()
			break
		}
	}
	p.clients = append(p.clients, c)
	if c.extra {
		// One that sends nothing would keep the descriptor from those that do.
		p.after(p.now(), extraWait, func(now int64) { p.endClient(c, now) })
	}
}

// closeResting closes the client's connection that has been without an open req for longest, and at least
// for so long: some are kept for good by clients that ask once, others are opened by hundreds and say
// nothing. A client whose first call crosses the close has failed, so what the kernel holds is looked at.
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

// dismiss closes a client's connection and counts it off at once: its descriptor is free.
func (p *Proxy) dismiss(c *client) {
	c.shut()
	p.countOff(c)
}

func (p *Proxy) countOff(c *client) {
	p.stop(c.due)
	p.clients = slices.DeleteFunc(p.clients, func(x *client) bool { return x == c })
}

// await gives a client its time to send a whole call.
func (p *Proxy) await(c *client, now int64) {
	p.stop(c.due)
	c.due = p.after(now, callWait, func(now int64) { p.overdue(c, now) })
}

// overdue ends a connection on which half a call was sent, or nothing at all. No other timer would.
func (p *Proxy) overdue(c *client, now int64) {
	heard := c.heard.Load()
	switch {
	case c.closed || c.last && c.flow == nil:
	case c.body && (heard-c.lately >= leastBody || c.stalled.Load()): // it gets on, or it is held back here
		c.lately = heard
		p.await(c, now)
	case !c.nothing() && !c.stalled.Load(): // what has just come is read first
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

// eof is the end of a client's sending: it has gone away.
func (c *client) eof(*Proxy, int64) {}

// comes notes that a further call has begun, or that what looked like one was nothing, or that its head is in and the
// body has its own time. The time for the first runs from the connection's start, whatever comes before it: an empty
// line in two pieces must not stop it.
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

// take is the first stage: calls wait for their turn here.
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

// word tells a client that waits for it to send its body, unless an answer is due before.
func (p *Proxy) word(c *client) {
	if c.expects && c.idle() && !c.closed && !c.last {
		c.expects = false
		c.write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
	}
}

// malformed turns away what is no call, at once: a client that breaks off its own req for it has given that up.
func (p *Proxy) malformed(c *client, err error) {
	if c.bad != nil || c.closed || c.last {
		return
	}
	c.bad, c.waiting = err, nil
	p.drop(c.flow)
	relayed := c.req != nil && c.req.relay != nil
	p.withdraw(c)
	if relayed { // no answer fits behind the part of one
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

// turn takes the next call of a client whose connection is free.
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

// gone is the end of a client's connection: what it waited for is withdrawn.
func (c *client) gone(p *Proxy, _ int64) {
	p.countOff(c)
	p.withdraw(c)
}
