// Package upstream holds the connections of a router to hosts and carries one HTTP/1.1 exchange at a time over each.
// It says of every exchange that failed whether the request may have run.
package upstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
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
	dialTimeout       = 150 * time.Millisecond
	longestRest       = 2 * time.Second // for which a connection may rest before its next use
	restShare         = 0.6             // part of the time told in Keep-Alive for which it may rest
	idlePerHost       = 8
	readBuffer        = 4 << 10
	sweepInterval     = time.Second
	unacknowledgedMax = 1500 * time.Millisecond
)

// Verdict says whether the request of a failed exchange may have run at the host.
type Verdict int

// The verdicts.
const (
	NotSent    Verdict = iota // no byte of it left
	NotRun                    // the host said so
	MayHaveRun                // it left, and nothing proves that it did not run
)

// Error is the failure of an exchange.
type Error struct {
	Verdict Verdict
	Err     error
}

func (e *Error) Error() string { return e.Err.Error() }
func (e *Error) Unwrap() error { return e.Err }

// ErrSpoilt says that what came is no answer to the request.
var ErrSpoilt = errors.New("upstream: spoilt answer")

// Conn is one connection to a host, used for one exchange at a time.
type Conn struct {
	raw     net.Conn
	reader  *bufio.Reader
	address string
	rested  time.Time
	rest    time.Duration // for which it may rest
	release func() bool   // ends the bond to the request that it is used for; see bind
	retired bool          // it serves no further request
	served  []string      // ids of the newest requests that it has served
}

// Retire has a connection serve no further request. Only the request that uses it may say so.
func (c *Conn) Retire() { c.retired = true }

// Pool keeps connections at rest, by address. It is safe for concurrent use.
type Pool struct {
	mu   sync.Mutex
	idle map[string][]*Conn
}

// NewPool makes an empty pool.
func NewPool() *Pool { return &Pool{idle: map[string][]*Conn{}} }

// Get gives a connection to a host: one at rest that is still open, else a new one. It ends with the context, until it
// is put back.
func (p *Pool) Get(ctx context.Context, address string) (*Conn, error) {
	for {
		c := p.take(address)
		if c == nil {
			return p.Dial(ctx, address)
		}
		if time.Since(c.rested) < c.rest && c.quiet() {
			return c.bind(ctx), nil
		}
		c.raw.Close()
	}
}

// Dial gives a new connection, which ends with the context until it is put back. That it comes up shows that the host
// is there.
func (p *Pool) Dial(ctx context.Context, address string) (*Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout, KeepAlive: -1}
	raw, err := dialer.DialContext(ctx, "tcp4", address)
	if err != nil {
		return nil, &Error{NotSent, fmt.Errorf("upstream: %w", err)}
	}
	tcp.SetUserTimeout(raw, unacknowledgedMax)
	c := &Conn{raw: raw, reader: bufio.NewReaderSize(raw, readBuffer), address: address, rest: longestRest}
	return c.bind(ctx), nil
}

// bind has a connection end with the context of the request that it is used for, until it is put back.
func (c *Conn) bind(ctx context.Context) *Conn {
	c.release = context.AfterFunc(ctx, c.Close)
	return c
}

func (p *Pool) take(address string) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	all := p.idle[address]
	if len(all) == 0 {
		return nil
	}
	c := all[len(all)-1]
	p.idle[address] = all[:len(all)-1]
	return c
}

// Put gives a connection back after a whole answer. It is closed where the host said so, or sent more than that.
func (p *Pool) Put(c *Conn, answer *http.Response) {
	if !c.release() || c.retired || answer.Close || c.reader.Buffered() > 0 {
		c.raw.Close()
		return
	}
	if told := keepAlive(answer.Header.Get("Keep-Alive")); told > 0 {
		c.rest = min(longestRest, time.Duration(restShare*float64(told)))
	}
	if c.raw.SetDeadline(time.Time{}) != nil {
		c.raw.Close()
		return
	}
	c.rested = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[c.address]) >= idlePerHost {
		c.raw.Close()
		return
	}
	p.idle[c.address] = append(p.idle[c.address], c)
}

// Sweep closes connections that have rested for too long, until the context ends.
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
	for address, all := range p.idle {
		kept := all[:0]
		for _, c := range all {
			if time.Since(c.rested) < c.rest {
				kept = append(kept, c)
			} else {
				c.raw.Close()
			}
		}
		clear(all[len(kept):])
		if p.idle[address] = kept; len(kept) == 0 {
			delete(p.idle, address)
		}
	}
}

// keepAlive reads the time in a Keep-Alive header; 0 where there is none.
func keepAlive(header string) time.Duration {
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

// quiet says whether a connection at rest is open and nothing has come over it.
func (c *Conn) quiet() bool {
	socket, ok := c.raw.(*net.TCPConn)
	if !ok {
		return true
	}
	control, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = control.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, received := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = errors.Is(received, unix.EAGAIN)
		return true
	})
	return err == nil && quiet
}

// Close ends the connection; the host drops what it works on.
func (c *Conn) Close() { c.raw.Close() }
