package wire

import (
	"context"
	"math/rand/v2"
	"net"
	"sync/atomic"
	"time"

	"ivybank/internal/tcp"
)

// Times of connection attempts.
const (
	dialTimeout    = 150 * time.Millisecond
	minRedialDelay = 50 * time.Millisecond
	maxRedialDelay = 200 * time.Millisecond
)

// Link maintains a connection to one address until its context ends.
type Link struct {
	address   string
	hello     Hello
	events    LinkEvents
	dispatch  func(event func())
	stop      context.CancelFunc
	after     func(time.Duration) <-chan time.Time
	redialNow chan struct{} // signals a call of Redial
	// attempt cancels the connection attempt in progress; it may be nil, or the attempt may have ended.
	attempt atomic.Pointer[context.CancelFunc]
	current atomic.Pointer[Conn]
}

// Open starts a link. Its events are passed to dispatch, one after the other, until the context ends or the link is
// closed.
func Open(ctx context.Context, address string, hello Hello, events LinkEvents, dispatch func(event func())) *Link {
	ctx, stop := context.WithCancel(ctx)
	l := newLink(address, hello, events, dispatch)
	l.stop = stop
	go l.run(ctx)
	return l
}

func newLink(address string, hello Hello, events LinkEvents, dispatch func(event func())) *Link {
	return &Link{address: address, hello: hello, events: events, dispatch: dispatch, stop: func() {}, after: time.After,
		redialNow: make(chan struct{}, 1)}
}

// Close closes the link.
func (l *Link) Close() { l.stop() }

// Send sends a message on the current connection. Without one the message is dropped and Send returns false.
func (l *Link) Send(m *Message) bool {
	c := l.current.Load()
	return c != nil && c.Send(m)
}

// Up reports whether there is a connection.
func (l *Link) Up() bool { return l.current.Load() != nil }

// Redial makes a link without a connection reconnect at once, even if an attempt is in progress: that one may have
// begun before the other end was listening.
func (l *Link) Redial() {
	if l.Up() {
		return
	}
	select {
	case l.redialNow <- struct{}{}:
	default:
	}
	if end := l.attempt.Load(); end != nil {
		(*end)()
	}
}

// run reconnects until the context ends.
func (l *Link) run(ctx context.Context) {
	pause := minRedialDelay
	for ctx.Err() == nil {
		if l.session(ctx) {
			pause = minRedialDelay
		}
		jittered := time.Duration(float64(pause) * (0.5 + rand.Float64()))
		pause = min(2*pause, maxRedialDelay)
		select {
		case <-ctx.Done():
		case <-l.redialNow:
			pause = minRedialDelay
		case <-l.after(jittered):
		}
	}
}

// dial connects. Redial cancels the attempt.
func (l *Link) dial(ctx context.Context) (net.Conn, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	l.attempt.Store(&cancel)
	dialer := net.Dialer{Timeout: dialTimeout, KeepAlive: -1}
	return dialer.DialContext(ctx, "tcp4", l.address)
}

// session runs one connection, and reports whether it was established.
func (l *Link) session(ctx context.Context) bool {
	raw, err := l.dial(ctx)
	if err != nil {
		return false
	}
	conn := NewConn(raw)
	defer conn.Close()
	stop := context.AfterFunc(ctx, conn.Close)
	defer stop()
	hello := l.hello
	conn.Send(&Message{Hello: &hello})
	if l.events.Subscribe != nil {
		l.subscribe(conn)
	}
	l.current.Store(conn)
	defer l.current.Store(nil)
	if l.events.Connected != nil {
		l.dispatch(l.events.Connected)
	}
	for {
		m, err := conn.Receive()
		if err != nil {
			return true
		}
		l.dispatch(func() { l.events.Received(m) })
	}
}

// subscribe sends the first message, which the owner's loop produces.
func (l *Link) subscribe(conn *Conn) {
	first := make(chan *Message, 1)
	l.dispatch(func() { first <- l.events.Subscribe() })
	conn.Send(<-first)
}

// Serve accepts connections until the context ends, and then closes them all. handle is called for each one in its
// own goroutine, once the peer has sent its Hello; rejected is called with the error of a connection that hasn't sent
// one.
func Serve(ctx context.Context, listener net.Listener, handle func(*Conn, Hello), rejected func(error)) {
	defer context.AfterFunc(ctx, func() { listener.Close() })()
	listener = tcp.RetryAccept(listener)
	for {
		raw, err := listener.Accept()
		if err != nil {
			return
		}
		go func() {
			conn := NewConn(raw)
			defer conn.Close()
			defer context.AfterFunc(ctx, conn.Close)()
			m, err := conn.Receive()
			if err == nil && m.Hello == nil {
				err = ErrNoGreeting
			}
			if err != nil {
				rejected(err)
				return
			}
			handle(conn, *m.Hello)
		}()
	}
}
