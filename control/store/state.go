package store

import (
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"fmt"
	"slices"

	"github.com/fxamacker/cbor/v2"
)

// maxRememberedUpdates is how many accepted updates are remembered.
const maxRememberedUpdates = 4096

// ErrConflict reports an update that is based on a version that isn't the current one. Its text is sent in an
// HTTP body.
var ErrConflict = errors.New("another version is in place")

// Digest identifies an update by its content.
type Digest [16]byte

// DigestOf returns the digest of an update: of the version that it is based on, and its body.
func DigestOf(base int64, body []byte) Digest {
	h := sha256.New()
	h.Write(binary.BigEndian.AppendUint64(nil, uint64(base)))
	h.Write(body)
	var d Digest
	copy(d[:], h.Sum(nil))
	return d
}

// State is the replicated state of the configuration group.
type State struct {
	Revision        int64    `cbor:"1,keyasint"` // 0 before the first configuration
	Body            []byte   `cbor:"2,keyasint"` // configuration as the operator sent it
	AcceptedUpdates []Digest `cbor:"3,keyasint"` // accepted updates, oldest first
}

// Decode decodes a replicated value; an empty one is the state before the first configuration.
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

// Encode encodes a state as a replicated value.
func (s *State) Encode() ([]byte, error) { return cbor.Marshal(s) }

// Accepted reports whether exactly this update was accepted before.
func (s *State) Accepted(d Digest) bool { return slices.Contains(s.AcceptedUpdates, d) }

// Next returns the state after an update to a configuration that was found valid. It fails with ErrConflict if base
// isn't the current revision.
func (s *State) Next(base, revision int64, body []byte) (*State, error) {
	if base != s.Revision {
		return nil, ErrConflict
	}
	if revision <= s.Revision {
		return nil, fmt.Errorf("revision %d is not above the current one, %d", revision, s.Revision)
	}
	updates := s.AcceptedUpdates[max(0, len(s.AcceptedUpdates)+1-maxRememberedUpdates):]
	updates = append(slices.Clone(updates), DigestOf(base, body))
	return &State{Revision: revision, Body: body, AcceptedUpdates: updates}, nil
}
