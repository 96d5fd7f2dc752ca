package membership

import (
	"context"
	"fmt"
	"net"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// TestMessagesGoBetweenProcesses sends messages between two processes on the port that also carries peer samples.
func TestMessagesGoBetweenProcesses(t *testing.T) {
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	ip := func(i int) string { return fmt.Sprintf("127.%d.%d.%d", 128+os.Getpid()>>8&63, os.Getpid()&255, i) }
	port := 23000 + os.Getpid()%1000
	one, err := Listen(Peer{IP: ip(1)}, port)
	assert.NilError(t, err)
	two, err := Listen(Peer{IP: ip(2)}, port)
	assert.NilError(t, err)
	received := make(chan string, 8)
	two.OnMessage(func(from string, message []byte) bool {
		received <- from + " " + string(message)
		return len(message) > 1
	})
	go one.Run(ctx)
	go two.Run(ctx)
	one.Send(ip(2), []byte("hello"))
	assert.Equal(t, <-received, ip(1)+" hello")
	one.Send(ip(2), []byte("x"))
	assert.Equal(t, <-received, ip(1)+" x")
	two.Send(ip(1), []byte("nobody takes it"))
	one.Send("no address", []byte("lost"))
	counted := func(s *Service, n int64) func(poll.LogT) poll.Result {
		return func(poll.LogT) poll.Result {
			if s.Malformed.Load() == n {
				return poll.Success()
			}
			return poll.Continue("%d counted", s.Malformed.Load())
		}
	}
	poll.WaitOn(t, counted(two, 1), poll.WithTimeout(5*time.Second), poll.WithDelay(time.Millisecond))
	poll.WaitOn(t, counted(one, 1), poll.WithTimeout(5*time.Second), poll.WithDelay(time.Millisecond))
	raw, err := net.Dial("udp4", net.JoinHostPort(ip(2), fmt.Sprint(port)))
	assert.NilError(t, err)
	defer raw.Close()
	_, err = raw.Write([]byte("no CBOR"))
	assert.NilError(t, err)
	poll.WaitOn(t, counted(two, 2), poll.WithTimeout(5*time.Second), poll.WithDelay(time.Millisecond))
}
