package proxy

// This file owns what nbio tells of connections: which kind each is, what it read, how much of what was
// written the kernel took. It must never look at the owner's tables; it posts to the owner.

import (
	"net"
	"runtime/debug"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/lesismal/nbio"
)

// wire is one connection as nbio and the owner share it.
type wire struct {
	nb     *nbio.Conn
	took   atomic.Int64 // bytes that the kernel took
	given  int64        // bytes handed to nbio; the owner's
	closed bool         // the owner's
	told   atomic.Int32 // events of it that the owner has not come to
}

// end is what a connection is to its callbacks.
type end interface {
	read(p *Proxy, at int64, b []byte) // on the poller
	gone(p *Proxy, at int64)           // on the owner
	link() *wire
}

func (w *wire) link() *wire { return w }

// write hands bytes to nbio, which queues what the kernel has no room for. A failure shows as the end of
// the connection.
func (w *wire) write(b []byte) {
	w.given += int64(len(b))
	_, _ = w.nb.Write(b)
}

// written says whether the kernel took all that was written.
func (w *wire) written() bool { return w.took.Load() >= w.given }

// shut closes the connection; after it the kernel takes nothing more.
func (w *wire) shut() {
	w.closed = true
	_ = w.nb.Close()
}

// silent is nothing, and nothing that was read either waits for the owner.
func (w *wire) silent() bool { return w.nothing() && w.told.Load() == 0 }

// nothing says whether the other side has neither sent anything more nor ended the connection, also what
// the poller has not told yet.
func (w *wire) nothing() bool {
	none := false
	raw, err := w.nb.SyscallConn()
	if err != nil {
		return none
	}
	_ = raw.Control(func(fd uintptr) {
		var one [1]byte
		_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		none = err == syscall.EAGAIN
	})
	return none
}

// dial opens a connection; made tells what it is, and up, on the owner, that it is up or why it is not.
// nbio's own dialling reads IPv4 addresses off the wrong end of 16 bytes and reports refused connections
// as up, so the standard library dials and hands over.
func (p *Proxy) dial(addr string, wait int64, made func(*nbio.Conn) end, up func(e end, now int64, err error)) {
	p.pool.dials++
	go func() {
		var e end
		d := net.Dialer{Timeout: time.Duration(wait), KeepAlive: -1}
		conn, err := d.Dial("tcp", addr)
		if err == nil {
			var nb *nbio.Conn
			if nb, err = nbio.NBConn(conn); err != nil {
				_ = conn.Close() // nbio keeps it open where no descriptor is left to hold it twice
			} else {
				e = made(nb)
				nb.SetSession(e)
				_, err = p.engine.AddConn(nb)
			}
		}
		p.post(p.now(), nil, func(at int64) {
			p.pool.dials--
			if err == nil && e.link().closed {
				err = errEnded
			}
			up(e, at, err)
		})
	}()
}

// opened is nbio's word that a client has connected.
func (p *Proxy) opened(c *nbio.Conn) {
	if c.Session() != nil {
		return // dialled
	}
	cl := newClient(c)
	c.SetSession(cl)
	p.post(p.now(), &cl.wire, func(at int64) { p.welcome(cl, at) })
}

// data hands over what was read, with the time at which it was.
func (p *Proxy) data(c *nbio.Conn, b []byte) {
	at := p.now()
	e, ok := c.Session().(end)
	if !ok {
		return
	}
	defer func() {
		if x := recover(); x != nil { // a panic costs the connection that met it, no more
			stack := debug.Stack()
			p.post(at, nil, func(int64) { p.caught(x, stack) })
			_ = c.Close()
		}
	}()
	e.read(p, at, b)
}

// closed is nbio's word that a connection has ended, whoever ended it.
func (p *Proxy) closed(c *nbio.Conn, _ error) {
	e, ok := c.Session().(end)
	if !ok {
		return // never came up
	}
	p.post(p.now(), nil, func(at int64) {
		e.link().closed = true
		e.gone(p, at)
	})
}

// taken counts what the kernel took; nbio calls it within the connection's lock.
func taken(c *nbio.Conn, _ []byte, n int) {
	if e, ok := c.Session().(end); ok {
		e.link().took.Add(int64(n))
	}
}
