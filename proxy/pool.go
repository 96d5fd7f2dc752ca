package proxy

// This file manages connections to hosts: it keeps idle ones, closes them before the host would, and stays within
// the descriptors, of which clients have priority. It must never hand out a connection that has ended or that
// carries a dispatch.

import (
	"net/http"
	"slices"
	"strings"
	"sync/atomic"

	"github.com/lesismal/nbio"

	"ivybank/balance"
	"ivybank/proxy/http1"
)

const (
	reservedFDs = 32 // for the listener, pollers, discovery and what nbio duplicates for a moment
	// Stray bytes behind a response arrive within this time: no request is written sooner.
	settleNs          = 1e6
	idleCloseFraction = 0.75 // fraction of the hosts' idle timeout after which a connection is closed
)

// host is one listed server, with this proxy's connections to it.
type host struct {
	id, addr  string
	reported  balance.Server // as the list reports it
	effective balance.Server // as the balancer sees it
	startTime int64
	ready     bool
	listed    bool
	idle      []*hostConn // most recently used last
	conns     int
}

// hostConn is one connection to a host.
type hostConn struct {
	baseConn
	parser        *http1.ResponseParser // reading goroutine only
	responseBegun atomic.Bool           // part of a response has arrived
	host          *host
	addr          string
	hostStart     int64
	dispatch      *dispatch // nil if idle
	idleTimer     *timer
	lastUsed      int64
	counted       bool // included in the pool's connection count
	chunked       bool // the response that is being relayed goes out in chunks
}

// pool counts the connections to hosts and the dials in progress, those to discovery included.
type pool struct {
	dials, conns int
}

// takeIdle removes and returns the most recently used idle connection to a host; nil if there is none.
func (p *Proxy) takeIdle(h *host) *hostConn {
	for len(h.idle) > 0 {
		c := h.idle[len(h.idle)-1]
		if !c.closed && c.noInput() {
			p.unpark(c)
			return c
		}
		p.closeIdleConn(c)
	}
	return nil
}

func (p *Proxy) unpark(c *hostConn) {
	c.host.idle = slices.DeleteFunc(c.host.idle, func(x *hostConn) bool { return x == c })
	p.stop(c.idleTimer)
}

// closeIdleConn closes an idle connection.
func (p *Proxy) closeIdleConn(c *hostConn) {
	p.unpark(c)
	c.close()
}

// park keeps a connection for the next dispatch, or closes it if the host has restarted, moved or is out of use.
func (p *Proxy) park(c *hostConn, now int64) {
	if c.closed || !c.host.ready || c.addr != c.host.addr || c.hostStart != c.host.startTime {
		c.close()
		return
	}
	c.lastUsed = now
	c.host.idle = append(c.host.idle, c)
	c.idleTimer = p.after(now, int64(idleCloseFraction*float64(p.config.ConnIdle)), func(int64) { p.closeIdleConn(c) })
}

func (p *Proxy) closeIdle(h *host) {
	for len(h.idle) > 0 {
		p.closeIdleConn(h.idle[len(h.idle)-1])
	}
}

// makeRoom closes the connection to a host that has been idle for longest, or else an idle client's, while
// descriptors are short; it returns false if there is none to close.
func (p *Proxy) makeRoom() bool {
	for len(p.clients)+p.pool.conns+p.pool.dials >= p.sockets-reservedFDs {
		var oldest *hostConn
		for _, h := range p.hosts {
			if len(h.idle) > 0 && (oldest == nil || h.idle[0].lastUsed < oldest.lastUsed) {
				oldest = h.idle[0]
			}
		}
		if oldest != nil {
			p.closeIdleConn(oldest)
			p.uncount(oldest)
		} else if !p.closeLongestIdle(p.now(), minRestNs) {
			return false
		}
	}
	return true
}

// connect dials for a dispatch. A connection that is established after the dispatch has ended is kept for the next.
func (p *Proxy) connect(d *dispatch, now int64) {
	h := d.host
	if !p.makeRoom() {
		p.post(now, nil, func(at int64) { p.fail(d, &dispatchError{notSent, errNoDescriptor}, at) })
		return
	}
	p.count.Dialled++
	addr, startTime := h.addr, h.startTime
	h.conns++
	newEndpoint := func(nb *nbio.Conn) endpoint {
		return &hostConn{baseConn: baseConn{nb: nb}, parser: http1.NewResponseParser(), host: h,
			addr: addr, hostStart: startTime}
	}
	p.dial(addr, p.config.DialTimeout, newEndpoint, func(e endpoint, now int64, err error) {
		if err != nil {
			h.conns--
			p.fail(d, &dispatchError{unconnected, err}, now)
			p.forgetHost(h)
			return
		}
		c := e.(*hostConn)
		c.counted = true
		p.pool.conns++
		p.useConn(d, c, now)
	})
}

// useConn uses a connection for a dispatch.
func (p *Proxy) useConn(d *dispatch, c *hostConn, now int64) {
	if !d.outstanding {
		p.park(c, now)
		return
	}
	p.writeDispatch(d, c)
}

func (c *hostConn) onRead(p *Proxy, at int64, b []byte) {
	c.responseBegun.Store(true)
	c.parser.Feed(b)
	resp, ok, err := c.parser.Next()
	if err != nil {
		p.post(at, &c.baseConn, func(at int64) { p.failConn(c, at) })
	} else if ok {
		p.deliver(c, resp, at)
	}
}

// deliver hands over a response or a piece of one; it runs on the reading goroutine.
func (p *Proxy) deliver(c *hostConn, resp http1.Response, at int64) {
	if resp.Piece == http1.Whole || resp.Piece == http1.Last {
		// If more bytes follow it, a copy or noise, the response is sound but the connection is not.
		resp.Close = resp.Close || c.parser.Begun()
		c.responseBegun.Store(false)
	}
	handle := p.relayPiece
	switch resp.Piece {
	case http1.Whole:
		handle = p.handleResponse
	case http1.First:
		handle = p.startRelay
		fallthrough
	default:
		c.transit.Add(int64(len(resp.Body)))
	}
	p.post(at, &c.baseConn, func(at int64) { handle(c, resp, at) })
}

// onEOF completes a response without a length, which ends with the host's sending.
func (c *hostConn) onEOF(p *Proxy, at int64) {
	if resp, ok := c.parser.EOF(); ok {
		p.deliver(c, resp, at)
	}
}

// failConn closes a connection on which no complete response can arrive any more.
func (p *Proxy) failConn(c *hostConn, now int64) {
	c.close()
	if d := c.dispatch; d != nil {
		c.dispatch = nil
		if d.req.relay == c {
			p.endRelay(d, balance.Errored, now)
			return
		}
		p.fail(d, &dispatchError{responseBegun, errMalformedResponse}, now)
	}
}

// handleResponse handles a complete response of a connection.
func (p *Proxy) handleResponse(c *hostConn, resp http1.Response, now int64) {
	d := c.dispatch
	// Unsolicited, or sent before the whole request was. A late copy of the response before, read just before this
	// request was written, must not answer it: the kernel may have accepted the request by now.
	if d == nil || now <= d.writtenAt || !d.allSent() && (d.req.body == nil || resp.Status == http.StatusOK) {
		p.failConn(c, now)
		return
	}
	c.dispatch = nil
	if resp.Close || !d.allSent() { // a host may reject a body before all of it has arrived
		c.close()
	} else {
		p.park(c, now)
	}
	p.finishDispatch(d, outcomeOf(resp), &resp, now)
}

// onClose ends the dispatch of a closed connection.
func (c *hostConn) onClose(p *Proxy, now int64) {
	p.unpark(c)
	p.uncount(c)
	defer p.forgetHost(c.host)
	if d := c.dispatch; d != nil {
		c.dispatch = nil
		if d.req.relay == c {
			p.endRelay(d, balance.Reset, now)
			return
		}
		p.fail(d, &dispatchError{d.progress(), errConnClosed}, now)
	}
}

// uncount removes a closed connection from the counts, once.
func (p *Proxy) uncount(c *hostConn) {
	if c.counted {
		c.counted = false
		p.pool.conns--
		c.host.conns--
	}
}

// forgetHost removes a host that is off the list and has no connection left.
func (p *Proxy) forgetHost(h *host) {
	if !h.listed && h.conns == 0 {
		p.hosts = slices.DeleteFunc(p.hosts, func(x *host) bool { return x == h })
	}
}

func (p *Proxy) findHost(id string) (int, bool) {
	return slices.BinarySearchFunc(p.hosts, id, func(h *host, id string) int { return strings.Compare(h.id, id) })
}

// host returns the host with an ID; nil if there is none.
func (p *Proxy) host(id string) *host {
	if i, ok := p.findHost(id); ok {
		return p.hosts[i]
	}
	return nil
}
