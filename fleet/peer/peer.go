// Package peer defines the datagrams that client proxies exchange: their content, encoding and version. A datagram
// is at most 256 bytes long. This package never decides what a datagram means, and never returns part of one.
package peer

import (
	"encoding/binary"
	"errors"
	"hash/crc32"

	"github.com/fxamacker/cbor/v2"

	"ivybank/internal/strictcbor"
)

// MaxDatagramBytes is the size of the longest datagram that the platform carries between proxies.
const MaxDatagramBytes = 256

// version is the version of the encoding; builds with different versions ignore each other. An additional field
// does not change it, because unknown fields are skipped.
const version = 1

const (
	headerSize  = 5 // version and hash of the fleet's name
	trailerSize = 4 // checksum
	// Upper bounds of the encoded size of each part, in bytes. Room counts with them.
	baseSize, updateSize, sumSize, hintSize, beliefSize, newestKeySize = 44, 28, 16, 20, 22, 10
)

// Kind says what a datagram asks or answers.
type Kind uint8

// The kinds of datagrams. All of them may carry updates, load sums and hints.
const (
	Push        Kind = iota // needs no answer
	Ping                    // to be answered by an Ack with the same Seq
	Ack                     // answers a Ping; for an indirect ping, Subject is the member that was pinged
	PingRequest             // asks the receiver to ping Subject on the sender's behalf
	Nack                    // Subject has not answered an indirect ping
	Leave                   // the sender ends
	Query                   // the sender has just started and asks for observations of servers
	Answer                  // answers a Query with the sender's own observations
	// Part of a message that is longer than a datagram. Seq numbers the message; Subject holds the index of the
	// part and the number of parts.
	MessagePart
	kindCount
)

// State is the state of a member.
type State uint8

// The states. Within one incarnation a later one overrides an earlier one.
const (
	Alive State = iota
	Suspect
	Dead
	Left
	stateCount
)

// MemberUpdate reports the state of one member.
type MemberUpdate struct {
	_           struct{} `cbor:",toarray"`
	Member      int
	State       State
	Incarnation uint64 // of Member: its start in Unix milliseconds and its number of refutations
	Origin      int    // member that reported it first
	Silence     uint16 // Suspect: time for which Origin has not heard Member, in hundredths of a second
}

// LoadSum is the load of a block of members.
type LoadSum struct {
	_           struct{} `cbor:",toarray"`
	Level       uint8    // the block has 2^Level members
	Block       int      // index of the block
	Incarnation uint64   // Level 0: of the member
	Age         uint16   // time since the measurement, in hundredths of a second
	Members     int      // number of members counted
	Load        []byte
}

// Hint is one member's observation of a server.
type Hint struct {
	_           struct{} `cbor:",toarray"`
	Server      uint32   // hash of its id
	Origin      int
	Observation Observation
	Age         uint16 // hundredths of a second
}

// Observation is the content of a hint.
type Observation uint8

// The observations.
const (
	DispatchesLost Observation = iota // several dispatches in a short time were lost or refused
	ProbeAnswered
	ProbeUnanswered
	observationCount
)

// Belief is what one member knows of a server's process from its own observations.
type Belief struct {
	_            struct{} `cbor:",toarray"`
	Server       uint32   // hash of its id
	Since        uint32   // low bits of its start in milliseconds, see StartTime
	Health       uint8    // in hundredths
	EjectionLeft uint16   // rest of its ejection in hundredths of a second; 0: it is in use
	Draining     bool     // as reported by discovery
	Age          uint16   // time since the latest outcome, in hundredths of a second
}

// StartTime encodes a server's start, given in ns.
func StartTime(since int64) uint32 { return uint32(since / 1e6) }

// Datagram is one message between members.
type Datagram struct {
	From        int            `cbor:"1,keyasint"`
	Incarnation uint64         `cbor:"2,keyasint"`
	Number      uint64         `cbor:"3,keyasint"` // unique within the incarnation
	Kind        Kind           `cbor:"4,keyasint,omitempty"`
	Seq         uint32         `cbor:"5,keyasint,omitempty"`
	Subject     int            `cbor:"6,keyasint,omitempty"`
	Updates     []MemberUpdate `cbor:"7,keyasint,omitempty"`
	Sums        []LoadSum      `cbor:"8,keyasint,omitempty"`
	Hints       []Hint         `cbor:"9,keyasint,omitempty"`

	Beliefs []Belief `cbor:"10,keyasint,omitempty"` // of an Answer
	Part    []byte   `cbor:"12,keyasint,omitempty"` // of a MessagePart
	// Unix ms of the newest idempotency key. In an Answer: the newest key that the querying member reported
	// before.
	NewestKey uint64 `cbor:"11,keyasint,omitempty"`
}

// Reasons for which a datagram is dropped.
var (
	ErrLength   = errors.New("length is out of bounds")
	ErrChecksum = errors.New("garbled")
	ErrVersion  = errors.New("unknown version")
	ErrFleet    = errors.New("belongs to another fleet")
	ErrFormat   = errors.New("content is malformed")
)

var encoder, decoder = strictcbor.Modes(cbor.DecOptions{MaxNestedLevels: 4, MaxArrayElements: 64, MaxMapPairs: 32})

// FleetHash encodes a fleet's name.
func FleetHash(name string) uint32 { return crc32.ChecksumIEEE([]byte(name)) }

// ServerHash encodes a server's id.
func ServerHash(id string) uint32 { return crc32.ChecksumIEEE([]byte(id)) }

// Encode returns the bytes of a datagram, or ErrLength if it is too long.
func Encode(fleet uint32, d *Datagram) ([]byte, error) {
	body, err := encoder.Marshal(d)
	if err != nil {
		return nil, err
	}
	if headerSize+len(body)+trailerSize > MaxDatagramBytes {
		return nil, ErrLength
	}
	b := binary.BigEndian.AppendUint32([]byte{version}, fleet)
	b = append(b, body...)
	return binary.BigEndian.AppendUint32(b, crc32.ChecksumIEEE(b)), nil
}

// Decode decodes a datagram as a whole, or returns the reason for which it is dropped.
func Decode(fleet uint32, b []byte) (d Datagram, err error) {
	if len(b) < headerSize+trailerSize+1 || len(b) > MaxDatagramBytes {
		return d, ErrLength
	}
	covered := b[:len(b)-trailerSize]
	switch {
	case b[0] != version:
		return d, ErrVersion
	case binary.BigEndian.Uint32(b[len(covered):]) != crc32.ChecksumIEEE(covered):
		return d, ErrChecksum
	case binary.BigEndian.Uint32(b[1:]) != fleet:
		return d, ErrFleet
	}
	if decoder.Unmarshal(covered[headerSize:], &d) != nil || !d.valid() {
		return Datagram{}, ErrFormat
	}
	return d, nil
}

func (d *Datagram) valid() bool {
	ok := d.From >= 0 && d.Subject >= 0 && d.Kind < kindCount
	for _, n := range d.Updates {
		ok = ok && n.Member >= 0 && n.Origin >= 0 && n.State < stateCount
	}
	for _, s := range d.Sums {
		ok = ok && s.Block >= 0 && s.Members > 0 && s.Level < 32
	}
	for _, b := range d.Beliefs {
		ok = ok && b.Health <= 100
	}
	for _, h := range d.Hints {
		ok = ok && h.Origin >= 0 && h.Observation < observationCount
	}
	return ok
}

// Room is the room left in a datagram, in bytes.
type Room int

// FullRoom returns the room of a datagram without content.
func FullRoom() Room { return MaxDatagramBytes - headerSize - trailerSize - baseSize }

// Take reports whether n bytes fit, and reserves them.
func (r *Room) Take(n int) bool {
	if Room(n) > *r {
		return false
	}
	*r -= Room(n)
	return true
}

// MemberUpdate reports whether another update fits, and reserves its room.
func (r *Room) MemberUpdate() bool { return r.Take(updateSize) }

// LoadSum reports whether a sum with so many bytes of load fits, and reserves its room.
func (r *Room) LoadSum(load int) bool { return r.Take(sumSize + 10 + load) }

// Hint reports whether a hint fits, and reserves its room.
func (r *Room) Hint() bool { return r.Take(hintSize) }

// Belief reports whether a belief fits, and reserves its room.
func (r *Room) Belief() bool { return r.Take(beliefSize) }

// NewestKey reports whether the newest key fits, and reserves its room.
func (r *Room) NewestKey() bool { return r.Take(newestKeySize) }

// MaxPartBytes is the size of the longest part of a message, and MaxParts the number of parts that a message may
// have.
const (
	MaxPartBytes = MaxDatagramBytes - headerSize - trailerSize - baseSize - 4
	MaxParts     = 255
)

// Hundredths encodes a time in ns; times that are too long become the longest. It rounds up, because an age that
// is forwarded from member to member must not become smaller.
func Hundredths(ns int64) uint16 { return uint16(min(max(0, (ns+1e7-1)/1e7), 1<<16-1)) }

// Nanoseconds decodes the result of Hundredths.
func Nanoseconds(h uint16) int64 { return int64(h) * 1e7 }
