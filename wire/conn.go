package wire

import (
	"bufio"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"ivybank/internal/tcp"
)

// Limits of a connection.
const (
	MaxFrame = 16 << 20 // bytes of one frame
	// maxQueuedMessages and maxQueuedBytes bound what waits for a slow peer.
	maxQueuedMessages = 256
	maxQueuedBytes    = 24 << 20
	heartbeatInterval = 300 * time.Millisecond
	// maxSilence is the longest time without a byte from the peer.
	maxSilence = 1200 * time.Millisecond
	// writeChunkBytes is written at a time; a peer has maxSilence to accept that much.
	writeChunkBytes = 32 << 10
)

// Conn is a connection that carries messages in both directions, and closes itself if the peer is silent.
type Conn struct {
	raw    net.Conn
	reader *bufio.Reader
	queue  chan *Message
	queued atomic.Int64 // approximate number of bytes in the queue
	done   chan struct{}
	once   sync.Once
}

// NewConn returns a Conn that owns an open TCP connection.
func NewConn(raw net.Conn) *Conn {
	tcp.SetUserTimeout(raw, maxSilence)
	c := &Conn{raw: raw, queue: make(chan *Message, maxQueuedMessages), done: make(chan struct{})}
	c.reader = bufio.NewReaderSize(progressReader{raw}, 8<<10)
	go c.write()
	return c
}

// Send queues a message. A peer that falls too far behind is disconnected, and Send then returns false.
func (c *Conn) Send(m *Message) bool {
	size := m.size()
	if had := c.queued.Add(size) - size; had > 0 && had+size > maxQueuedBytes {
		c.Close()
		return false
	}
	select {
	case <-c.done:
		return false
	case c.queue <- m:
		return true
	default:
		c.Close()
		return false
	}
}

// size returns the approximate memory use of a message in the queue: its frame, or the only part of it that may be
// large.
func (m *Message) size() int64 {
	switch {
	case m.frame != nil:
		return int64(len(*m.frame))
	case m.Append != nil:
		return m.Append.size()
	case m.Config != nil:
		return int64(len(m.Config.Body))
	default:
		return 0
	}
}

// size returns the size of the states and commands in an Append, in bytes.
func (a *Append) size() int64 {
	size := 0
	if a.Entry != nil {
		size = len(a.Entry.Value)
	}
	for _, step := range a.Steps {
		size += len(step.Commands)
	}
	return int64(size)
}

// Receive waits for the next message that isn't a heartbeat. It closes the connection on an error.
func (c *Conn) Receive() (*Message, error) {
	for {
		m, err := readFrame(c.reader)
		if err != nil {
			c.Close()
			return nil, err
		}
		if *m != (Message{}) {
			return m, nil
		}
	}
}

// Close closes the connection; queued messages are lost.
func (c *Conn) Close() {
	c.once.Do(func() {
		close(c.done)
		c.raw.Close()
	})
}

// Done returns a channel that is closed once the connection is closed.
func (c *Conn) Done() <-chan struct{} { return c.done }

func (c *Conn) write() {
	defer c.Close()
	idle := time.NewTimer(heartbeatInterval)
	defer idle.Stop()
	for {
		var m *Message
		select {
		case <-c.done:
			return
		case m = <-c.queue:
		case <-idle.C:
			m = &Message{}
		}
		c.queued.Add(-m.size())
		idle.Reset(heartbeatInterval)
		frame, err := m.encoded()
		if err != nil || c.writeFrame(frame) != nil {
			return
		}
	}
}

func (c *Conn) writeFrame(frame []byte) error {
	for len(frame) > 0 {
		n := min(len(frame), writeChunkBytes)
		if err := c.raw.SetWriteDeadline(time.Now().Add(maxSilence)); err != nil {
			return err
		}
		if _, err := c.raw.Write(frame[:n]); err != nil {
			return err
		}
		frame = frame[n:]
	}
	return nil
}

// progressReader fails once the peer has been silent for maxSilence, however long a frame is.
type progressReader struct{ net.Conn }

func (r progressReader) Read(b []byte) (int, error) {
	if err := r.SetReadDeadline(time.Now().Add(maxSilence)); err != nil {
		return 0, err
	}
	return r.Conn.Read(b)
}
