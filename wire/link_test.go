package wire

import (
	"context"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A link that is waiting between two attempts connects as soon as it is told that the other end is available, and
// reports that. The wait in this test never ends by itself.
func TestRedialEndsTheWait(t *testing.T) {
	reserved, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	address := reserved.Addr().String()
	assert.NilError(t, reserved.Close())

	pauses, connected := make(chan time.Duration, 16), make(chan struct{}, 16)
	events := LinkEvents{Connected: func() { connected <- struct{}{} }, Received: func(*Message) {}}
	l := newLink(address, Hello{Node: "a"}, events, func(event func()) { event() })
	l.after = func(pause time.Duration) <-chan time.Time {
		pauses <- pause
		return nil
	}
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		l.run(ctx)
	}()
	<-pauses // nobody listens
	assert.Assert(t, !l.Up())

	listener, err := net.Listen("tcp4", address)
	assert.NilError(t, err)
	defer listener.Close()
	l.Redial()
	<-connected
	assert.Assert(t, l.Up())
	stop()
	<-ended
}
