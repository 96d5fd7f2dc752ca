package proxy

// This file handles the nbio callbacks of connections: which kind each is, what was read, and how many of the
// written bytes the kernel accepted. It must never access the event loop's tables; it posts events to the loop.

import (
	"errors"
	"net"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/lesismal/nbio"
	"golang.org/x/sys/unix"
)

const (
	readSize = 64 << 10
	// Reads of one connection in a row, before other connections have their turn.
	readsAtOnce = 16
	// Bytes of body pieces that may be between being read and being accepted by the kernel on the other side.
	mostTransit = 128 << 10
	// Lower bound of that; with many bodies at a time each has its share of the memory.
	leastTransit = 16 << 10
	// One in this many bytes of Go's heap may be in transit.
	transitPart = 4
	// Reading resumes once no more than this is left unsent on the other side.
	lowUnsent = 64 << 10
)

// baseConn is one connection as nbio and the event loop share it.
type wire struct {
	nb    *nbio.Conn
	took  atomic.Int64 // bytes that the kernel accepted
	given atomic.Int64 // bytes handed to nbio; only the event loop adds
	heard atomic.Int64 // bytes read
	rmu   sync.Mutex   // held while reading and parsing
	mover
	closed bool         // event loop only
	told   atomic.Int32 // its events that the event loop has not handled yet
}

// backpressure limits the bytes in transit from the connection that body pieces are read from to the one they are
// written to.
type mover struct {
	transit atomic.Int64    // bytes of pieces read here and not yet accepted on the other side
	stalled atomic.Bool     // reading waits for transit to fall
	owed    int64           // bytes of transit written to the other side or discarded, but not released yet; event loop only
	hungry  atomic.Bool     // the event loop wants to know when little is left unsent here
	low     func(now int64) // called then; event loop only
}

// endpoint is what the callbacks call for a connection.
type end interface {
	read(p *Proxy, at int64, b []byte) // on the reading goroutine
	eof(p *Proxy, at int64)            // the peer has ended its sending; on the reading goroutine
	gone(p *Proxy, at int64)           // on the event loop
	link() *wire
}

func (w *wire) link() *wire { return w }

// write hands bytes to nbio, which queues what the kernel has no room for. An error shows as the closing of the
// connection.
func (w *wire) write(b []byte) {
	w.given.Add(int64(len(b)))
	_, _ = w.nb.Write(b)
}

// flushed reports whether the kernel accepted all that was written.
func (w *wire) written() bool { return w.unsent() <= 0 }

func (w *wire) unsent() int64 { return w.given.Load() - w.took.Load() }

// acked returns the number of bytes that reached the peer. The kernel reports room for more only when a third of
// its buffer has drained, which takes many seconds with a slow peer; this count moves with each packet.
func (w *wire) acked() int64 {
	n := w.took.Load()
	if raw, err := w.nb.SyscallConn(); err == nil {
		_ = raw.Control(func(fd uintptr) {
			if queued, err := unix.IoctlGetInt(int(fd), unix.SIOCOUTQ); err == nil {
				n -= int64(queued)
			}
		})
	}
	return n
}

// close closes the connection; after it the kernel accepts nothing more.
func (w *wire) shut() {
	w.closed = true
	_ = w.nb.Close()
}

// quiet reports whether there is neither unread input nor an event that the event loop has not handled.
func (w *wire) silent() bool { return w.nothing() && w.told.Load() == 0 }

// noInput reports whether the peer has neither sent more nor ended the connection, including what the poller has
// not reported yet.
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

// dial opens a connection, waiting for at most timeout ns. It calls newEndpoint to wrap the connection, and done on
// the event loop with the endpoint or the error. nbio's own dialling reads IPv4 addresses from the wrong end of 16
// bytes and reports refused connections as connected, so the standard library dials and hands the connection over.
func (p *Proxy) dial(addr string, wait int64, made func(*nbio.Conn) end, up func(e end, now int64, err error)) {
	p.pool.dials++
	go func() {
		var e end
		d := net.Dialer{Timeout: time.Duration(wait), KeepAlive: -1}
		conn, err := d.Dial("tcp", addr)
		if err == nil {
			var nb *nbio.Conn
			if nb, err = nbio.NBConn(conn); err != nil {
				_ = conn.Close() // nbio keeps it open when no descriptor is left to duplicate it
			} else {
				e = made(nb)
				nb.SetSession(e)
				_ = nb.SetReadBuffer(readSize) // what a host sends ahead of a slow client stays in the host's buffers
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

// onOpen is called by nbio when a client has connected.
func (p *Proxy) opened(c *nbio.Conn) {
	if c.Session() != nil {
		return // dialled here
	}
	cl := newClient(c)
	c.SetSession(cl)
	p.post(p.now(), &cl.wire, func(at int64) { p.welcome(cl, at) })
}

// onReadable is called by nbio when there is something to read, once until all of it was read. nbio then closes a
// connection whose peer has ended its sending, so such a host connection is read to its end even when reading is
// paused.
func (p *Proxy) readable(c *nbio.Conn) {
	e, ok := c.Session().(end)
	if !ok {
		return
	}
	_, host := e.(*hostConn)
	p.pump(c, e, host && ended(c))
}

// peerClosed reports whether the peer has ended its sending.
func ended(c *nbio.Conn) bool {
	yes := false
	if raw, err := c.SyscallConn(); err == nil {
		_ = raw.Control(func(fd uintptr) {
			look := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
			n, err := unix.Poll(look, 0)
			yes = err == nil && n > 0
		})
	}
	return yes
}

var buffers = sync.Pool{New: func() any { b := make([]byte, readSize); return &b }}

// pump reads until the input or the room for it is exhausted, and goes on in another goroutine after maxReadsInRow
// reads. If drain is set, it reads all input at once. It hands data over with the time at which it was read.
func (p *Proxy) pump(c *nbio.Conn, e end, out bool) {
	w := e.link()
	w.rmu.Lock()
	defer w.rmu.Unlock()
	b := buffers.Get().(*[]byte)
	defer buffers.Put(b)
	defer func() {
		if x := recover(); x != nil { // a panic ends the connection that caused it and nothing else
			stack := debug.Stack()
			p.post(p.now(), nil, func(int64) { p.caught(x, stack) })
			_ = c.Close()
		}
	}()
	for n := 0; out || w.room(p.transit.Load()); n++ {
		if n >= readsAtOnce && !out {
			go p.pump(c, e, false)
			return
		}
		_, got, err := c.ReadAndGetConn(b)
		switch {
		case got > 0:
			w.heard.Add(int64(got))
			e.read(p, p.now(), (*b)[:got])
		case errors.Is(err, syscall.EINTR):
		case errors.Is(err, syscall.EAGAIN):
			return
		case err == nil:
			e.eof(p, p.now())
			_ = c.Close()
			return
		default:
			_ = c.CloseWithError(err)
			return
		}
	}
}

// canRead reports whether more may be read. If not, release resumes the reading once there is room.
func (w *wire) room(most int64) bool {
	if w.transit.Load() < most {
		return true
	}
	w.stalled.Store(true)
	return w.transit.Load() < most && w.stalled.CompareAndSwap(true, false)
}

// release makes room for n more bytes to be read.
func (p *Proxy) release(e end, n int64) {
	w := e.link()
	if w.transit.Add(-n) < p.transit.Load() && w.stalled.CompareAndSwap(true, false) && !w.closed {
		go p.pump(w.nb, e, false)
	}
}

// forwarded records that n bytes read from one connection were written to another, or discarded if to is nil. They
// make room for reading once at most lowUnsentBytes are left unsent there.
func (p *Proxy) moved(from end, n int64, to *wire) {
	w := from.link()
	w.owed += n
	settle := func(int64) {
		n := w.owed
		w.owed = 0
		p.release(from, n)
	}
	if to == nil || to.closed || to.unsent() <= lowUnsent {
		settle(0)
		return
	}
	to.low = settle
	if to.hungry.Store(true); to.unsent() <= lowUnsent && to.hungry.CompareAndSwap(true, false) {
		settle(0)
	}
}

// onClosed is called by nbio when a connection has ended, whichever side ended it.
func (p *Proxy) closed(c *nbio.Conn, _ error) {
	e, ok := c.Session().(end)
	if !ok {
		return // never connected
	}
	p.post(p.now(), nil, func(at int64) {
		e.link().closed = true
		e.gone(p, at)
	})
}

// onWritten counts the bytes that the kernel accepted; nbio calls it while it holds the connection's lock.
func (p *Proxy) taken(c *nbio.Conn, _ []byte, n int) {
	e, ok := c.Session().(end)
	if !ok {
		return
	}
	w := e.link()
	w.took.Add(int64(n))
	if w.unsent() <= lowUnsent && w.hungry.CompareAndSwap(true, false) {
		p.post(p.now(), nil, func(now int64) {
			if w.low != nil {
				w.low(now)
			}
		})
	}
}
