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
	readBufferBytes = 64 << 10
	// Reads of one connection in a row, before other connections have their turn.
	maxReadsInRow = 16
	// Bytes of body pieces that may be between being read and being accepted by the kernel on the other side.
	maxTransitBytes = 128 << 10
	// Lower bound of that; with many bodies at a time each has its share of the memory.
	minTransitBytes = 16 << 10
	// One in this many bytes of Go's heap may be in transit.
	transitHeapShare = 4
	// Reading resumes once no more than this is left unsent on the other side.
	lowUnsentBytes = 64 << 10
)

// baseConn is one connection as nbio and the event loop share it.
type baseConn struct {
	nb       *nbio.Conn
	accepted atomic.Int64 // bytes that the kernel accepted
	queued   atomic.Int64 // bytes handed to nbio; only the event loop adds
	received atomic.Int64 // bytes read
	readMu   sync.Mutex   // held while reading and parsing
	backpressure
	closed        bool         // event loop only
	pendingEvents atomic.Int32 // its events that the event loop has not handled yet
}

// backpressure limits the bytes in transit from the connection that body pieces are read from to the one they are
// written to.
type backpressure struct {
	transit    atomic.Int64 // bytes of pieces read here and not yet accepted on the other side
	readPaused atomic.Bool  // reading waits for transit to fall
	// Bytes of transit written to the other side or discarded, but not released yet; event loop only.
	unreleased int64
	wantsLow   atomic.Bool     // the event loop wants to know when little is left unsent here
	onLow      func(now int64) // called once little is left; event loop only
}

// endpoint is what the callbacks call for a connection.
type endpoint interface {
	onRead(p *Proxy, at int64, b []byte) // on the reading goroutine
	onEOF(p *Proxy, at int64)            // the peer has ended its sending; on the reading goroutine
	onClose(p *Proxy, at int64)          // on the event loop
	base() *baseConn
}

func (c *baseConn) base() *baseConn { return c }

// write hands bytes to nbio, which queues what the kernel has no room for. An error shows as the closing of the
// connection.
func (c *baseConn) write(b []byte) {
	c.queued.Add(int64(len(b)))
	_, _ = c.nb.Write(b)
}

// flushed reports whether the kernel accepted all that was written.
func (c *baseConn) flushed() bool { return c.unsent() <= 0 }

func (c *baseConn) unsent() int64 { return c.queued.Load() - c.accepted.Load() }

// acked returns the number of bytes that reached the peer. The kernel reports room for more only when a third of
// its buffer has drained, which takes many seconds with a slow peer; this count moves with each packet.
func (c *baseConn) acked() int64 {
	n := c.accepted.Load()
	if raw, err := c.nb.SyscallConn(); err == nil {
		_ = raw.Control(func(fd uintptr) {
			if queued, err := unix.IoctlGetInt(int(fd), unix.SIOCOUTQ); err == nil {
				n -= int64(queued)
			}
		})
	}
	return n
}

// close closes the connection; after it the kernel accepts nothing more.
func (c *baseConn) close() {
	c.closed = true
	_ = c.nb.Close()
}

// quiet reports whether there is neither unread input nor an event that the event loop has not handled.
func (c *baseConn) quiet() bool { return c.noInput() && c.pendingEvents.Load() == 0 }

// noInput reports whether the peer has neither sent more nor ended the connection, including what the poller has
// not reported yet.
func (c *baseConn) noInput() bool {
	empty := false
	raw, err := c.nb.SyscallConn()
	if err != nil {
		return empty
	}
	_ = raw.Control(func(fd uintptr) {
		var buf [1]byte
		_, _, err := syscall.Recvfrom(int(fd), buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		empty = err == syscall.EAGAIN
	})
	return empty
}

// dial opens a connection, waiting for at most timeout ns. It calls newEndpoint to wrap the connection, and done on
// the event loop with the endpoint or the error. nbio's own dialling reads IPv4 addresses from the wrong end of 16
// bytes and reports refused connections as connected, so the standard library dials and hands the connection over.
func (p *Proxy) dial(addr string, timeout int64, newEndpoint func(*nbio.Conn) endpoint,
	done func(e endpoint, now int64, err error)) {
	p.pool.dials++
	go func() {
		var e endpoint
		d := net.Dialer{Timeout: time.Duration(timeout), KeepAlive: -1}
		conn, err := d.Dial("tcp", addr)
		if err == nil {
			var nb *nbio.Conn
			if nb, err = nbio.NBConn(conn); err != nil {
				_ = conn.Close() // nbio keeps it open when no descriptor is left to duplicate it
			} else {
				e = newEndpoint(nb)
				nb.SetSession(e)
				// What a host sends ahead of a slow client stays in the host's buffers.
				_ = nb.SetReadBuffer(readBufferBytes)
				_, err = p.engine.AddConn(nb)
			}
		}
		p.post(p.now(), nil, func(at int64) {
			p.pool.dials--
			if err == nil && e.base().closed {
				err = errConnClosed
			}
			done(e, at, err)
		})
	}()
}

// onOpen is called by nbio when a client has connected.
func (p *Proxy) onOpen(nb *nbio.Conn) {
	if nb.Session() != nil {
		return // dialled here
	}
	cl := newClient(nb)
	nb.SetSession(cl)
	p.post(p.now(), &cl.baseConn, func(at int64) { p.addClient(cl, at) })
}

// onReadable is called by nbio when there is something to read, once until all of it was read. nbio then closes a
// connection whose peer has ended its sending, so such a host connection is read to its end even when reading is
// paused.
func (p *Proxy) onReadable(nb *nbio.Conn) {
	e, ok := nb.Session().(endpoint)
	if !ok {
		return
	}
	_, host := e.(*hostConn)
	p.pump(nb, e, host && peerClosed(nb))
}

// peerClosed reports whether the peer has ended its sending.
func peerClosed(nb *nbio.Conn) bool {
	closed := false
	if raw, err := nb.SyscallConn(); err == nil {
		_ = raw.Control(func(fd uintptr) {
			fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
			n, err := unix.Poll(fds, 0)
			closed = err == nil && n > 0
		})
	}
	return closed
}

var buffers = sync.Pool{New: func() any { b := make([]byte, readBufferBytes); return &b }}

// pump reads until the input or the room for it is exhausted, and goes on in another goroutine after maxReadsInRow
// reads. If drain is set, it reads all input at once. It hands data over with the time at which it was read.
func (p *Proxy) pump(nb *nbio.Conn, e endpoint, drain bool) {
	conn := e.base()
	conn.readMu.Lock()
	defer conn.readMu.Unlock()
	b := buffers.Get().(*[]byte)
	defer buffers.Put(b)
	defer func() {
		if x := recover(); x != nil { // a panic ends the connection that caused it and nothing else
			stack := debug.Stack()
			p.post(p.now(), nil, func(int64) { p.recordPanic(x, stack) })
			_ = nb.Close()
		}
	}()
	for n := 0; drain || conn.canRead(p.transit.Load()); n++ {
		if n >= maxReadsInRow && !drain {
			go p.pump(nb, e, false)
			return
		}
		_, got, err := nb.ReadAndGetConn(b)
		switch {
		case got > 0:
			conn.received.Add(int64(got))
			e.onRead(p, p.now(), (*b)[:got])
		case errors.Is(err, syscall.EINTR):
		case errors.Is(err, syscall.EAGAIN):
			return
		case err == nil:
			e.onEOF(p, p.now())
			_ = nb.Close()
			return
		default:
			_ = nb.CloseWithError(err)
			return
		}
	}
}

// canRead reports whether more may be read. If not, release resumes the reading once there is room.
func (c *baseConn) canRead(limit int64) bool {
	if c.transit.Load() < limit {
		return true
	}
	c.readPaused.Store(true)
	return c.transit.Load() < limit && c.readPaused.CompareAndSwap(true, false)
}

// release makes room for n more bytes to be read.
func (p *Proxy) release(e endpoint, n int64) {
	conn := e.base()
	if conn.transit.Add(-n) < p.transit.Load() && conn.readPaused.CompareAndSwap(true, false) && !conn.closed {
		go p.pump(conn.nb, e, false)
	}
}

// forwarded records that n bytes read from one connection were written to another, or discarded if to is nil. They
// make room for reading once at most lowUnsentBytes are left unsent there.
func (p *Proxy) forwarded(from endpoint, n int64, to *baseConn) {
	conn := from.base()
	conn.unreleased += n
	releaseAll := func(int64) {
		n := conn.unreleased
		conn.unreleased = 0
		p.release(from, n)
	}
	if to == nil || to.closed || to.unsent() <= lowUnsentBytes {
		releaseAll(0)
		return
	}
	to.onLow = releaseAll
	if to.wantsLow.Store(true); to.unsent() <= lowUnsentBytes && to.wantsLow.CompareAndSwap(true, false) {
		releaseAll(0)
	}
}

// onClosed is called by nbio when a connection has ended, whichever side ended it.
func (p *Proxy) onClosed(nb *nbio.Conn, _ error) {
	e, ok := nb.Session().(endpoint)
	if !ok {
		return // never connected
	}
	p.post(p.now(), nil, func(at int64) {
		e.base().closed = true
		e.onClose(p, at)
	})
}

// onWritten counts the bytes that the kernel accepted; nbio calls it while it holds the connection's lock.
func (p *Proxy) onWritten(nb *nbio.Conn, _ []byte, n int) {
	e, ok := nb.Session().(endpoint)
	if !ok {
		return
	}
	conn := e.base()
	conn.accepted.Add(int64(n))
	if conn.unsent() <= lowUnsentBytes && conn.wantsLow.CompareAndSwap(true, false) {
		p.post(p.now(), nil, func(now int64) {
			if conn.onLow != nil {
				conn.onLow(now)
			}
		})
	}
}
