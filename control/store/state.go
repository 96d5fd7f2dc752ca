package store

import (
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"fmt"
	"slices"

	"github.com/fxamacker/cbor/v2"
)

// maxOrders is how many accepted orders are remembered.
const maxOrders = 4096

// ErrConflict says that an order is based on a version that isn't the current one.
var ErrConflict = errors.New("another version is in place")

// Digest recognises an order by what it is.
type Digest [16]byte

// DigestOf gives the digest of an order: the version that it is based on, and its body.
func DigestOf(base int64, body []byte) Digest {
	h := sha256.New()
	h.Write(binary.BigEndian.AppendUint64(nil, uint64(base)))
	h.Write(body)
	var d Digest
	copy(d[:], h.Sum(nil))
	return d
}

// State is what the configuration shard replicates.
type State struct {
	Revision int64    `cbor:"1,keyasint"` // 0 before the first configuration
	Body     []byte   `cbor:"2,keyasint"` // as the operator sent it
	Orders   []Digest `cbor:"3,keyasint"` // accepted orders, oldest first
}

// Decode reads a replicated value; an empty one is the state before the first configuration.
func Decode(value []byte) (*State, error) {
	s := &State{}
	if len(value) == 0 {
		return s, nil
	}
	if err := cbor.Unmarshal(value, s); err != nil {
		return nil, fmt.Errorf("store: state: %w", err)
	}
	return s, nil
}

// Encode writes a state as a replicated value.
func (s *State) Encode() ([]byte, error) { return cbor.Marshal(s) }

// Accepted says whether exactly this order was taken before.
func (s *State) Accepted(d Digest) bool { return slices.Contains(s.Orders, d) }

// Next gives the state after an order for a configuration that was found valid.
func (s *State) Next(base, revision int64, body []byte) (*State, error) {
	if base != s.Revision {
		return nil, ErrConflict
	}
	if revision <= s.Revision {
		return nil, fmt.Errorf("revision %d is not above the current one, %d", revision, s.Revision)
	}
	orders := s.Orders[max(0, len(s.Orders)+1-maxOrders):]
	orders = append(slices.Clone(orders), DigestOf(base, body))
	return &State{Revision: revision, Body: body, Orders: orders}, nil
}
