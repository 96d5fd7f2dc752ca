package membership

import (
	"net"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"
)

// failingConn fails once before it receives.
type failingConn struct {
	*net.UDPConn
	failed bool
}

func (c *failingConn) ReadFromUDP(b []byte) (int, *net.UDPAddr, error) {
	if !c.failed {
		c.failed = true
		return 0, nil, &net.OpError{Op: "read", Net: "udp", Err: syscall.ENOBUFS}
	}
	return c.UDPConn.ReadFromUDP(b)
}

// Guards against a process that no longer hears its peers after one error of its socket.
func TestReceiveOutlivesAnError(t *testing.T) {
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	assert.NilError(t, err)
	received := make(chan string, 1)
	s := &Service{conn: &failingConn{UDPConn: conn}, port: conn.LocalAddr().(*net.UDPAddr).Port}
	s.OnMessage(func(_ string, message []byte) bool {
		received <- string(message)
		return true
	})
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		s.receive()
	}()
	s.Send("127.0.0.1", []byte("hello"))
	select {
	case message := <-received:
		assert.Equal(t, message, "hello")
	case <-ended:
		t.Fatal("nothing is received any more")
	}
	s.Close()
	<-ended
}
