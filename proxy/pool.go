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
	spareSockets = 32 // for the listener, pollers, discovery and what nbio duplicates for a moment
	// Stray bytes behind a response arrive within this time: no request is written sooner.
	settle   = 1e6
	idlePart = 0.75 // fraction of the hosts' idle timeout after which a connection is closed
)

// host is one listed server, with this proxy's connections to it.
type host struct {
	id, addr string
	told     balance.Server // as the list reports it
	shown    balance.Server // as the balancer sees it
	since    int64
	ready    bool
	listed   bool
	idle     []*hostConn // most recently used last
	conns    int
}

// hostConn is one connection to a host.
type hostConn struct {
	wire
	answers *http1.Answers // reading goroutine only
	begun   atomic.Bool    // part of a response has arrived
	host    *host
	addr    string
	since   int64
	carries *dispatch // nil if idle
	expires *timer
	used    int64
	counted bool // included in the pool's connection count
	chunks  bool // the response that is being relayed goes out in chunks
}

// pool counts the connections to hosts and the dials in progress, those to discovery included.
type pool struct {
	dials, conns int
}

// takeIdle removes and returns the most recently used idle connection to a host; nil if there is none.
func (p *Proxy) idle(h *host) *hostConn {
	for len(h.idle) > 0 {
		c := h.idle[len(h.idle)-1]
		if !c.closed && c.nothing() {
			p.unpark(c)
			return c
		}
		p.retire(c)
	}
	return nil
}

func (p *Proxy) unpark(c *hostConn) {
	c.host.idle = slices.DeleteFunc(c.host.idle, func(x *hostConn) bool { return x == c })
	p.stop(c.expires)
}

// closeIdleConn closes an idle connection.
func (p *Proxy) retire(c *hostConn) {
	p.unpark(c)
	c.shut()
}

// park keeps a connection for the next dispatch, or closes it if the host has restarted, moved or is out of use.
func (p *Proxy) park(c *hostConn, now int64) {
	if c.closed || !c.host.ready || c.addr != c.host.addr || c.since != c.host.since {
		c.shut()
		return
	}
	c.used = now
	c.host.idle = append(c.host.idle, c)
	c.expires = p.after(now, int64(idlePart*float64(p.start.ConnIdle)), func(int64) { p.retire(c) })
}

func (p *Proxy) closeIdle(h *host) {
	for len(h.idle) > 0 {
		p.retire(h.idle[len(h.idle)-1])
	}
}

// makeRoom closes the connection to a host that has been idle for longest, or else an idle client's, while
// descriptors are short; it returns false if there is none to close.
func (p *Proxy) roomForOne() bool {
	for len(p.clients)+p.pool.conns+p.pool.dials >= p.sockets-spareSockets {
		var oldest *hostConn
		for _, h := range p.hosts {
			if len(h.idle) > 0 && (oldest == nil || h.idle[0].used < oldest.used) {
				oldest = h.idle[0]
			}
		}
		if oldest != nil {
			p.retire(oldest)
			p.uncount(oldest)
		} else if !p.closeResting(p.now(), rest) {
			return false
		}
	}
	return true
}

// connect dials for a dispatch. A connection that is established after the dispatch has ended is kept for the next.
func (p *Proxy) connect(d *dispatch, now int64) {
	h := d.host
	if !p.roomForOne() {
		p.post(now, nil, func(at int64) { p.broke(d, &broken{unsent, errSockets}, at) })
		return
	}
	p.count.Dialled++
	addr, since := h.addr, h.since
	h.conns++
	made := func(nb *nbio.Conn) end {
		return &hostConn{wire: wire{nb: nb}, answers: http1.NewAnswers(), host: h,
			addr: addr, since: since}
	}
	p.dial(addr, p.start.DialTimeout, made, func(e end, now int64, err error) {
		if err != nil {
			h.conns--
			p.broke(d, &broken{unconnected, err}, now)
			p.tidy(h)
			return
		}
		c := e.(*hostConn)
		c.counted = true
		p.pool.conns++
		p.connected(d, c, now)
	})
}

// useConn uses a connection for a dispatch.
func (p *Proxy) connected(d *dispatch, c *hostConn, now int64) {
	if !d.out {
		p.park(c, now)
		return
	}
	p.write(d, c)
}

func (c *hostConn) read(p *Proxy, at int64, b []byte) {
	c.begun.Store(true)
	c.answers.Feed(b)
	a, ok, err := c.answers.Next()
	if err != nil {
		p.post(at, &c.wire, func(at int64) { p.spoilt(c, at) })
	} else if ok {
		p.hands(c, a, at)
	}
}

// deliver hands over a response or a piece of one; it runs on the reading goroutine.
func (p *Proxy) hands(c *hostConn, a http1.Answer, at int64) {
	if a.Piece == http1.Whole || a.Piece == http1.Last {
		// If more bytes follow it, a copy or noise, the response is sound but the connection is not.
		a.Close = a.Close || c.answers.Begun()
		c.begun.Store(false)
	}
	do := p.passes
	switch a.Piece {
	case http1.Whole:
		do = p.answered
	case http1.First:
		do = p.begins
		fallthrough
	default:
		c.transit.Add(int64(len(a.Body)))
	}
	p.post(at, &c.wire, func(at int64) { do(c, a, at) })
}

// onEOF completes a response without a length, which ends with the host's sending.
func (c *hostConn) eof(p *Proxy, at int64) {
	if a, ok := c.answers.End(); ok {
		p.hands(c, a, at)
	}
}

// failConn closes a connection on which no complete response can arrive any more.
func (p *Proxy) spoilt(c *hostConn, now int64) {
	c.shut()
	if d := c.carries; d != nil {
		c.carries = nil
		if d.req.relay == c {
			p.passed(d, balance.Errored, now)
			return
		}
		p.broke(d, &broken{answerBegun, errAnswer}, now)
	}
}

// handleResponse handles a complete response of a connection.
func (p *Proxy) answered(c *hostConn, a http1.Answer, now int64) {
	d := c.carries
	// Unsolicited, or sent before the whole request was. A late copy of the response before, read just before this
	// request was written, must not answer it: the kernel may have accepted the request by now.
	if d == nil || now <= d.wrote || !d.allSent() && (d.req.flow == nil || a.Status == http.StatusOK) {
		p.spoilt(c, now)
		return
	}
	c.carries = nil
	if a.Close || !d.allSent() { // a host may reject a body before all of it has arrived
		c.shut()
	} else {
		p.park(c, now)
	}
	p.book(d, outcome(a), &a, now)
}

// onClose ends the dispatch of a closed connection.
func (c *hostConn) gone(p *Proxy, now int64) {
	p.unpark(c)
	p.uncount(c)
	defer p.tidy(c.host)
	if d := c.carries; d != nil {
		c.carries = nil
		if d.req.relay == c {
			p.passed(d, balance.Reset, now)
			return
		}
		p.broke(d, &broken{d.progress(), errEnded}, now)
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
func (p *Proxy) tidy(h *host) {
	if !h.listed && h.conns == 0 {
		p.hosts = slices.DeleteFunc(p.hosts, func(x *host) bool { return x == h })
	}
}

func (p *Proxy) find(id string) (int, bool) {
	return slices.BinarySearchFunc(p.hosts, id, func(h *host, id string) int { return strings.Compare(h.id, id) })
}

// host returns the host with an ID; nil if there is none.
func (p *Proxy) host(id string) *host {
	if i, ok := p.find(id); ok {
		return p.hosts[i]
	}
	return nil
}
