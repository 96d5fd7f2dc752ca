package proxy

// This file owns the connections to hosts: it keeps idle ones, closes them before the host would, and
// stays within the descriptors, of which clients come first. It must never hand out a connection that has
// ended or that carries something.

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
	spareSockets = 32   // descriptors for the listener, pollers, discovery and what nbio holds twice for a moment
	settle       = 1e6  // what comes behind an answer comes within this time of it: no call is written sooner
	idlePart     = 0.75 // part of the hosts' idle time after which a connection is closed
)

// host is one server as the list tells of it, with this proxy's connections to it.
type host struct {
	id, addr string
	told     balance.Server // as the list has it
	shown    balance.Server // as the module has it
	since    int64
	ready    bool
	listed   bool
	idle     []*hostConn // most recently used last
	conns    int
}

// hostConn is one connection to a host.
type hostConn struct {
	wire
	answers *http1.Answers // the poller's
	begun   atomic.Bool    // a part of an answer has come
	host    *host
	addr    string
	since   int64
	carries *dispatch // nil when idle
	expires *timer
	used    int64
	counted bool // among the pool's connections
	chunks  bool // the answer that is being passed on goes out in chunks
}

// pool counts what is open towards hosts.
type pool struct {
	dials, conns int
}

// idle takes the connection to a host that was used last.
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

// retire ends an idle connection.
func (p *Proxy) retire(c *hostConn) {
	p.unpark(c)
	c.shut()
}

// park keeps a connection that carries nothing, unless it leads to what the host no longer is.
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

// roomForOne closes the longest idle connection to a host, or else a client's at rest, where descriptors run
// short; false when there is none.
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

// connect dials for a dispatch. What comes up after the dispatch has ended is kept for the next.
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

// connected puts a new connection to use.
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

// hands over an answer or a piece of one; on whoever reads.
func (p *Proxy) hands(c *hostConn, a http1.Answer, at int64) {
	if a.Piece == http1.Whole || a.Piece == http1.Last {
		a.Close = a.Close || c.answers.Begun() // a copy or noise behind it: it is sound, the connection is not
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

// eof is the end of a host's sending: it makes whole what no length was told for.
func (c *hostConn) eof(p *Proxy, at int64) {
	if a, ok := c.answers.End(); ok {
		p.hands(c, a, at)
	}
}

// spoilt ends a connection on which no whole answer can come any more.
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

// answered takes a whole answer off a connection.
func (p *Proxy) answered(c *hostConn, a http1.Answer, now int64) {
	d := c.carries
	// Nobody asked, or it came before all was asked. A late copy of the answer before, read just before this
	// call was written, must not answer it: the kernel may have taken the call by now.
	if d == nil || now <= d.wrote || !d.allSent() && (d.req.flow == nil || a.Status == http.StatusOK) {
		p.spoilt(c, now)
		return
	}
	c.carries = nil
	if a.Close || !d.allSent() { // a host may turn a body away before all of it has come
		c.shut()
	} else {
		p.park(c, now)
	}
	p.book(d, outcome(a), &a, now)
}

// gone is the end of a connection to a host.
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

// uncount takes a connection that is closed off the counts, once.
func (p *Proxy) uncount(c *hostConn) {
	if c.counted {
		c.counted = false
		p.pool.conns--
		c.host.conns--
	}
}

// tidy forgets a host that is off the list and has no connection left.
func (p *Proxy) tidy(h *host) {
	if !h.listed && h.conns == 0 {
		p.hosts = slices.DeleteFunc(p.hosts, func(x *host) bool { return x == h })
	}
}

func (p *Proxy) find(id string) (int, bool) {
	return slices.BinarySearchFunc(p.hosts, id, func(h *host, id string) int { return strings.Compare(h.id, id) })
}

// host finds a host by its id; nil where there is none.
func (p *Proxy) host(id string) *host {
	if i, ok := p.find(id); ok {
		return p.hosts[i]
	}
	return nil
}
