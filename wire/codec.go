package wire

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"github.com/fxamacker/cbor/v2"
)

const (
	frameHeaderSize   = 4 // bytes: the length of the body
	heartbeatBodySize = 1 // bytes of a heartbeat's body, an empty CBOR map
)

// Errors of received data that doesn't follow the protocol. Each of them is an ErrFrame.
var (
	ErrFrame       = errors.New("wire: malformed frame")
	ErrOversized   = fmt.Errorf("%w: oversized", ErrFrame)
	ErrUnknownKind = fmt.Errorf("%w: unknown kind", ErrFrame)
	ErrNoGreeting  = fmt.Errorf("%w: no greeting", ErrFrame)
)

// decoder rejects deep nesting and duplicate keys, which our processes never send.
var decoder = func() cbor.DecMode {
	mode, err := cbor.DecOptions{DupMapKey: cbor.DupMapKeyEnforcedAPF, MaxNestedLevels: 8}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

// Encode returns a message as CBOR, without the frame header.
func (m *Message) Encode() ([]byte, error) {
	body, err := cbor.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("wire: %w", err)
	}
	return body, nil
}

// Decode decodes what Encode returned. Any error is an ErrFrame.
func Decode(body []byte) (*Message, error) {
	m := &Message{}
	if err := decoder.Unmarshal(body, m); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrFrame, err)
	}
	if *m == (Message{}) && len(body) > heartbeatBodySize {
		return nil, ErrUnknownKind
	}
	return m, nil
}

// Prepare encodes a message once for many peers. The message must not change afterwards.
func (m *Message) Prepare() *Message {
	if frame, err := m.encoded(); err == nil {
		m.frame = &frame
	}
	return m
}

// encoded returns a message as a frame.
func (m *Message) encoded() ([]byte, error) {
	if m.frame != nil {
		return *m.frame, nil
	}
	body, err := m.Encode()
	if err != nil {
		return nil, err
	}
	frame := make([]byte, 0, frameHeaderSize+len(body))
	frame = binary.BigEndian.AppendUint32(frame, uint32(len(body)))
	return append(frame, body...), nil
}

func readFrame(r io.Reader) (*Message, error) {
	var header [frameHeaderSize]byte
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
	return Decode(body)
}
