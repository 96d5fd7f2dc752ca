// Package upstream keeps the connections of a router to hosts and runs one HTTP/1.1 exchange at a time over each. For
// every failed exchange it reports whether the request may have been executed.
package upstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"ivybank/internal/tcp"
)

const (
	dialTimeout           = 150 * time.Millisecond
	maxIdleTime           = 2 * time.Second // longest time that a connection may be idle before its next use
	keepAliveShare        = 0.6             // part of the timeout in a Keep-Alive header for which a connection may be idle
	maxIdlePerHost        = 8
	readBufferBytes       = 4 << 10
	sweepInterval         = time.Second
	maxUnacknowledgedTime = 1500 * time.Millisecond
	maxDrainTime          = 20 * time.Millisecond
	maxDrainBytes         = 64 << 10
)

// Execution says whether the host may have executed the request of a failed exchange.
type Execution int

// The possible values of Execution.
const (
	NotSent       Execution = iota // no byte of the request was sent
	NotExecuted                    // the host reported that it did not execute the request
	MaybeExecuted                  // the request was sent, and nothing proves that it was not executed
)

// Error is the error of an exchange that failed.
type Error struct {
	Execution Execution
	Err       error
}

func (e *Error) Error() string { return e.Err.Error() }
func (e *Error) Unwrap() error { return e.Err }

// ErrInvalidResponse reports that the received bytes are not a response to the request.
var ErrInvalidResponse = errors.New("upstream: invalid response")

// Conn is one connection to a host, used for one exchange at a time.
type Conn struct {
	raw       net.Conn
	received  *headerLimitedConn // what reader reads from
	reader    *bufio.Reader
	address   string
	idleSince time.Time     // start of the idle time
	maxIdle   time.Duration // how long the connection may be idle
	unbind    func() bool   // ends the binding to a context; see bind
	retired   bool          // the connection serves no further request
	recentIDs []string      // IDs of the most recent requests on this connection
}

// Retire marks the connection so that it serves no further request. Only the request that uses the connection may
// call it.
func (c *Conn) Retire() { c.retired = true }

// Pool keeps idle connections by address. It is safe for concurrent use.
type Pool struct {
	mu   sync.Mutex
	idle map[string][]*Conn
}

// NewPool returns an empty pool.
func NewPool() *Pool { return &Pool{idle: map[string][]*Conn{}} }

// Get returns a connection to a host: an idle one that is still open, otherwise a new one. The connection is closed
// when the context ends, until it is put back. An error is an *Error.
func (p *Pool) Get(ctx context.Context, address string) (*Conn, error) {
	for {
		c := p.takeIdle(address)
		if c == nil {
			return p.Dial(ctx, address)
		}
		if time.Since(c.idleSince) < c.maxIdle && c.isUsable() {
			return c.bind(ctx), nil
		}
		c.raw.Close()
	}
}

// Dial returns a new connection, which is closed when the context ends until it is put back. A successful dial shows
// that the host is reachable. An error is an *Error.
func (p *Pool) Dial(ctx context.Context, address string) (*Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout, KeepAlive: -1}
	raw, err := dialer.DialContext(ctx, "tcp4", address)
	if err != nil {
		return nil, &Error{NotSent, fmt.Errorf("upstream: %w", err)}
	}
	tcp.SetUserTimeout(raw, maxUnacknowledgedTime)
	return newConn(raw, address).bind(ctx), nil
}

func newConn(raw net.Conn, address string) *Conn {
	received := &headerLimitedConn{Conn: raw}
	return &Conn{raw: raw, received: received, reader: bufio.NewReaderSize(received, readBufferBytes), address: address,
		maxIdle: maxIdleTime}
}

// bind closes the connection when the context of the request that uses it ends, until the connection is put back.
func (c *Conn) bind(ctx context.Context) *Conn {
	c.unbind = context.AfterFunc(ctx, c.Close)
	return c
}

func (p *Pool) takeIdle(address string) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.idle[address]
	if len(conns) == 0 {
		return nil
	}
	c := conns[len(conns)-1]
	p.idle[address] = conns[:len(conns)-1]
	return c
}

// Put returns a connection to the pool after a complete response. It closes the connection if the host asked for that
// or sent surplus bytes.
func (p *Pool) Put(c *Conn, response *http.Response) {
	if !c.unbind() || c.retired || response.Close || c.reader.Buffered() > 0 {
		c.raw.Close()
		return
	}
	if timeout := keepAliveTimeout(response.Header.Get("Keep-Alive")); timeout > 0 {
		c.maxIdle = min(maxIdleTime, time.Duration(keepAliveShare*float64(timeout)))
	}
	if c.raw.SetDeadline(time.Time{}) != nil {
		c.raw.Close()
		return
	}
	c.idleSince = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[c.address]) >= maxIdlePerHost {
		c.raw.Close()
		return
	}
	p.idle[c.address] = append(p.idle[c.address], c)
}

// Drain returns a connection to the pool after a response whose body is not needed. It closes the connection if the
// body has not arrived after maxDrainTime, or is larger than maxDrainBytes: a new connection costs less than the wait.
func (p *Pool) Drain(c *Conn, response *http.Response) {
	if c.raw.SetReadDeadline(time.Now().Add(maxDrainTime)) != nil {
		c.raw.Close()
		return
	}
	if _, err := io.CopyN(io.Discard, response.Body, maxDrainBytes); !errors.Is(err, io.EOF) {
		c.raw.Close()
		return
	}
	p.Put(c, response)
}

// Sweep closes connections that have been idle for too long, until the context ends.
func (p *Pool) Sweep(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			p.sweep()
		}
	}
}

func (p *Pool) sweep() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, conns := range p.idle {
		kept := conns[:0]
		for _, c := range conns {
			if time.Since(c.idleSince) < c.maxIdle {
				kept = append(kept, c)
			} else {
				c.raw.Close()
			}
		}
		clear(conns[len(kept):])
		if p.idle[address] = kept; len(kept) == 0 {
			delete(p.idle, address)
		}
	}
}

// keepAliveTimeout parses the timeout of a Keep-Alive header; 0 if there is none.
func keepAliveTimeout(header string) time.Duration {
	for _, part := range strings.Split(header, ",") {
		name, value, ok := strings.Cut(strings.TrimSpace(part), "=")
		if ok && strings.EqualFold(name, "timeout") {
			if seconds, err := strconv.Atoi(value); err == nil && seconds > 0 {
				return time.Duration(seconds) * time.Second
			}
		}
	}
	return 0
}

// isUsable reports whether an idle connection is still open and no bytes have arrived on it.
func (c *Conn) isUsable() bool {
	socket, ok := c.raw.(*net.TCPConn)
	if !ok {
		return true
	}
	control, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	usable := false
	err = control.Read(func(fd uintptr) bool {
		var buf [1]byte
		_, _, recvErr := unix.Recvfrom(int(fd), buf[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		usable = errors.Is(recvErr, unix.EAGAIN)
		return true
	})
	return err == nil && usable
}

// Close closes the connection. The host then drops the request that it works on.
func (c *Conn) Close() { c.raw.Close() }
