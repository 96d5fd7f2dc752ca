package wire

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"

	"ivybank/internal/tcp"
)

// Limits of a connection.
const (
	MaxFrame          = 16 << 20 // bytes of one frame
	sendQueue         = 256      // messages that wait for a slow peer,
	sendQueueBytes    = 24 << 20 // and bytes of them
	heartbeatInterval = 300 * time.Millisecond
	silenceLimit      = 1200 * time.Millisecond // without a byte from the peer
	writeChunk        = 32 << 10                // bytes for which a peer has silenceLimit
	frameHeader       = 4
)

// What a peer can send that is no frame of this protocol. Each is an ErrFrame.
var (
	ErrFrame       = errors.New("wire: malformed frame")
	ErrOversized   = fmt.Errorf("%w: oversized", ErrFrame)
	ErrUnknownKind = fmt.Errorf("%w: unknown kind", ErrFrame)
	ErrNoGreeting  = fmt.Errorf("%w: no greeting", ErrFrame)
)

// emptyFrame is the size of a heartbeat's body, an empty CBOR map.
const emptyFrame = 1

// decoder refuses deep nesting and duplicate keys, which no peer of ours sends.
var decoder = func() cbor.DecMode {
	mode, err := cbor.DecOptions{DupMapKey: cbor.DupMapKeyEnforcedAPF, MaxNestedLevels: 8}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

// Conn is a connection that carries messages both ways and closes itself once the peer is silent.
type Conn struct {
	raw    net.Conn
	reader *bufio.Reader
	queue  chan *Message
	queued atomic.Int64 // bytes in the queue, about
	done   chan struct{}
	once   sync.Once
}

// NewConn takes over an open TCP connection.
func NewConn(raw net.Conn) *Conn {
	tcp.SetUserTimeout(raw, silenceLimit)
	c := &Conn{raw: raw, queue: make(chan *Message, sendQueue), done: make(chan struct{})}
	c.reader = bufio.NewReaderSize(progressReader{raw}, 8<<10)
	go c.write()
	return c
}

// Send queues a message. A peer that falls too far behind is disconnected; Send then reports false.
func (c *Conn) Send(m *Message) bool {
	size := m.size()
	if had := c.queued.Add(size) - size; had > 0 && had+size > sendQueueBytes {
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

// size is about what a message takes while it waits: that of its frame, or of the one part that may be large.
func (m *Message) size() int64 {
	switch {
	case m.frame != nil:
		return int64(len(*m.frame))
	case m.Append != nil && m.Append.Entry != nil:
		return int64(len(m.Append.Entry.Value))
	case m.Config != nil:
		return int64(len(m.Config.Body))
	default:
		return 0
	}
}

// Receive waits for the next message that isn't a heartbeat.
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

// Close ends the connection; what is queued is lost.
func (c *Conn) Close() {
	c.once.Do(func() {
		close(c.done)
		c.raw.Close()
	})
}

// Done is closed once the connection has ended.
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
		n := min(len(frame), writeChunk)
		if err := c.raw.SetWriteDeadline(time.Now().Add(silenceLimit)); err != nil {
			return err
		}
		if _, err := c.raw.Write(frame[:n]); err != nil {
			return err
		}
		frame = frame[n:]
	}
	return nil
}

// Prepare encodes a message that goes to many peers once for all of them. It must not change afterwards.
func (m *Message) Prepare() *Message {
	if frame, err := m.encoded(); err == nil {
		m.frame = &frame
	}
	return m
}

// encoded gives a message as it goes over a connection.
func (m *Message) encoded() ([]byte, error) {
	if m.frame != nil {
		return *m.frame, nil
	}
	body, err := cbor.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("wire: %w", err)
	}
	frame := make([]byte, 0, frameHeader+len(body))
	frame = binary.BigEndian.AppendUint32(frame, uint32(len(body)))
	return append(frame, body...), nil
}

func readFrame(r io.Reader) (*Message, error) {
	var header [frameHeader]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return nil, err
	}
	size := binary.BigEndian.Uint32(header[:])
	if size > MaxFrame {
		return nil, fmt.Errorf("%w: %d bytes", ErrOversized, size)
	}
	body := make([]byte, size)
	if _, err := io.ReadFull(r, body); err != nil {
		return nil, err
	}
	m := &Message{}
	if err := decoder.Unmarshal(body, m); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrFrame, err)
	}
	if *m == (Message{}) && size > emptyFrame {
		return nil, ErrUnknownKind
	}
	return m, nil
}

// progressReader fails once the peer has been silent for too long, however long a frame is.
type progressReader struct{ net.Conn }

func (r progressReader) Read(b []byte) (int, error) {
	if err := r.SetReadDeadline(time.Now().Add(silenceLimit)); err != nil {
		return 0, err
	}
	return r.Conn.Read(b)
}
