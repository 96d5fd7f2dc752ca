package wire

import (
	"net"
	"testing"

	"gotest.tools/v3/assert"
)

func pair(t *testing.T) (*Conn, net.Conn) {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	peer, err := net.Dial("tcp4", listener.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() { peer.Close() })
	raw, err := listener.Accept()
	assert.NilError(t, err)
	c := NewConn(raw)
	t.Cleanup(c.Close)
	return c, peer
}

func TestMessagesArriveUnchanged(t *testing.T) {
	c, peer := pair(t)
	other := NewConn(peer)
	defer other.Close()
	prepared := (&Message{Hosts: &Hosts{Shard: 1, Full: true, Updated: []Host{{ID: "a", Draining: true}}}}).Prepare()
	for range 3 {
		assert.Assert(t, c.Send(prepared))
	}
	assert.Assert(t, c.Send(&Message{Config: &Config{Revision: 7, Body: make([]byte, 1<<20)}}))
	for range 3 {
		m, err := other.Receive()
		assert.NilError(t, err)
		assert.DeepEqual(t, m.Hosts, prepared.Hosts)
	}
	m, err := other.Receive()
	assert.NilError(t, err)
	assert.Equal(t, len(m.Config.Body), 1<<20)
}

func TestMalformedFrameClosesItsConnectionOnly(t *testing.T) {
	for name, bytes := range map[string][]byte{
		"too long":     {0xff, 0xff, 0xff, 0xff},
		"no cbor":      {0, 0, 0, 2, 0xff, 0xff},
		"no map":       {0, 0, 0, 1, 0x07},
		"cut":          {0, 0, 0, 9, 1},
		"odd types":    {0, 0, 0, 4, 0xa1, 0x01, 0x61, 0x61},
		"unknown kind": {0, 0, 0, 4, 0xa1, 0x18, 0x63, 0x01},
	} {
		t.Run(name, func(t *testing.T) {
			c, peer := pair(t)
			_, err := peer.Write(bytes)
			assert.NilError(t, err)
			if name == "cut" {
				peer.Close()
			}
			_, err = c.Receive()
			assert.Assert(t, err != nil)
			<-c.Done()
		})
	}
}

func TestBodiesSurviveCompression(t *testing.T) {
	body := []byte(`{"revision":1,"routes":[]}`)
	got, err := Inflate(Deflate(body))
	assert.NilError(t, err)
	assert.DeepEqual(t, got, body)
	_, err = Inflate([]byte("spoilt"))
	assert.Assert(t, err != nil)
}

// A peer that doesn't read is disconnected before its queue takes much memory; one that reads gets everything.
func TestQueueOfASlowPeerIsBoundedInBytes(t *testing.T) {
	c, _ := pair(t)
	large := &Message{Config: &Config{Revision: 1, Body: make([]byte, 8<<20)}}
	sent := 0
	for c.Send(large) {
		sent++
		assert.Assert(t, sent < 10, "%d messages of 8 MB are queued for a peer that doesn't read", sent)
	}
	reader, peer := pair(t)
	other := NewConn(peer)
	defer other.Close()
	for range 8 {
		assert.Assert(t, reader.Send(large))
		m, err := other.Receive()
		assert.NilError(t, err)
		assert.Equal(t, len(m.Config.Body), 8<<20)
	}
}

// Each cause of a malformed frame has its own error.
func TestCausesOfMalformedFrames(t *testing.T) {
	for want, bytes := range map[error][]byte{
		ErrOversized:   {0xff, 0xff, 0xff, 0xff},
		ErrUnknownKind: {0, 0, 0, 4, 0xa1, 0x18, 0x63, 0x01},
		ErrFrame:       {0, 0, 0, 2, 0xff, 0xff},
	} {
		c, peer := pair(t)
		_, err := peer.Write(bytes)
		assert.NilError(t, err)
		_, err = c.Receive()
		assert.ErrorIs(t, err, want)
	}
}
