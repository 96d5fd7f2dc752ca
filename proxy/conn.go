package proxy

// This file owns what nbio tells of connections: which kind each is, what it read, how much of what was
// written the kernel took. It must never look at the owner's tables; it posts to the owner.

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
	readSize    = 64 << 10
	readsAtOnce = 16 // of one connection, before others have their turn
	// Bytes of pieces of a body that may be between being read and being taken by the kernel on the other side; less than
	// lowUnsent of them unsent, more are asked for.
	mostTransit  = 128 << 10
	leastTransit = 16 << 10 // with many bodies at a time each has its part of
	transitPart  = 4        // one in so many bytes of Go's heap, but this
	lowUnsent    = 64 << 10
)

// wire is one connection as nbio and the owner share it.
type wire struct {
	nb    *nbio.Conn
	took  atomic.Int64 // bytes that the kernel took
	given atomic.Int64 // bytes handed to nbio; only the owner adds
	heard atomic.Int64 // bytes read
	rmu   sync.Mutex   // held by whoever reads and parses
	mover
	closed bool         // the owner's
	told   atomic.Int32 // events of it that the owner has not come to
}

// mover is the backpressure between a connection that pieces of a body are read from and the one they are written to.
type mover struct {
	transit atomic.Int64    // bytes of pieces read from here and not yet taken on the other side
	stalled atomic.Bool     // reading waits for that
	owed    int64           // the part of them that is handed to the other side or held; the owner's
	hungry  atomic.Bool     // the owner wants to know when little is left unsent here
	low     func(now int64) // what it does then; the owner's
}

// end is what a connection is to its callbacks.
type end interface {
	read(p *Proxy, at int64, b []byte) // on whoever reads
	eof(p *Proxy, at int64)            // the other side has ended its sending; on whoever reads
	gone(p *Proxy, at int64)           // on the owner
	link() *wire
}

func (w *wire) link() *wire { return w }

// write hands bytes to nbio, which queues what the kernel has no room for. A failure shows as the end of
// the connection.
func (w *wire) write(b []byte) {
	w.given.Add(int64(len(b)))
	_, _ = w.nb.Write(b)
}

// written says whether the kernel took all that was written.
func (w *wire) written() bool { return w.unsent() <= 0 }

func (w *wire) unsent() int64 { return w.given.Load() - w.took.Load() }

// acked counts what has reached the other side. The kernel tells of room for more only when a third of what it holds has
// gone, which takes a slow peer many seconds; this moves with each packet.
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
				_ = nb.SetReadBuffer(readSize) // what the host sends ahead of a slow client waits at the host
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

// readable is nbio's word that there is something to read, told once until all of it was read. After it nbio closes a
// connection whose other side has ended its sending, so one that waits for room is read out first.
func (p *Proxy) readable(c *nbio.Conn) {
	e, ok := c.Session().(end)
	if !ok {
		return
	}
	_, host := e.(*hostConn)
	p.pump(c, e, host && ended(c))
}

// ended says whether the other side has ended its sending.
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

// pump reads until nothing more is there or there is no room for it, and hands it over with the time at which it was read.
func (p *Proxy) pump(c *nbio.Conn, e end, out bool) {
	w := e.link()
	w.rmu.Lock()
	defer w.rmu.Unlock()
	b := buffers.Get().(*[]byte)
	defer buffers.Put(b)
	defer func() {
		if x := recover(); x != nil { // a panic costs the connection that met it, no more
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

// room says whether more may be read. Without room reading goes on once the owner has made some.
func (w *wire) room(most int64) bool {
	if w.transit.Load() < most {
		return true
	}
	w.stalled.Store(true)
	return w.transit.Load() < most && w.stalled.CompareAndSwap(true, false)
}

// release makes room for n bytes more to be read.
func (p *Proxy) release(e end, n int64) {
	w := e.link()
	if w.transit.Add(-n) < p.transit.Load() && w.stalled.CompareAndSwap(true, false) && !w.closed {
		go p.pump(w.nb, e, false)
	}
}

// moved notes that n bytes read from one connection were handed to another, or to none. They make room once little of
// them is left unsent there.
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
