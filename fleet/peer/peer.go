// Package peer is what client proxies tell one another: one small typed value to a datagram of 256 bytes at most and back. It
// owns the form on the wire and its version. It must never decide what a datagram means, nor hand on one in part.
package peer

import (
	"encoding/binary"
	"errors"
	"hash/crc32"

	"github.com/fxamacker/cbor/v2"

	"ivybank/internal/strictcbor"
)

// Most is the longest datagram, in bytes, that the platform carries between proxies.
const MaxDatagramBytes = 256

// version is that of the form: builds with another one ignore each other. A field more does not change it, as fields that are not
// known are skipped.
const version = 1

const (
	headerSize  = 5 // version and the fleet's name as a number
	trailerSize = 4 // checksum
	// What the parts of a datagram take at the most, in bytes; Pack goes by them.
	baseSize, updateSize, sumSize, hintSize, beliefSize, newestKeySize = 44, 28, 16, 20, 22, 10
)

// Kind is what a datagram asks or answers.
type Kind uint8

// The kinds. All of them may carry news, sums and hints.
const (
	Push        Kind = iota // wants no answer
	Ping                    // wants an Ack with its number
	Ack                     // answers a Ping; with About the one that was pinged on behalf of another
	PingRequest             // asks to ping About on the sender's behalf
	Nack                    // About has not answered the one that was asked
	Leave                   // the sender ends
	Query                   // the sender has just begun, and asks what servers are worth
	Answer                  // answers a Want with what the sender has met itself
	MessagePart             // a piece of something longer than a datagram; Seq numbers the letter, About is the piece's place and how many there are
	kindCount
)

// State is what is said of a member.
type State uint8

// The states, in the order in which one of a life overrules another.
const (
	Alive State = iota
	Suspect
	Dead
	Left
	stateCount
)

// News is one thing said of a member.
type MemberUpdate struct {
	_           struct{} `cbor:",toarray"`
	Member      int
	State       State
	Incarnation uint64 // of Who: its start in Unix milliseconds, more where it had to refute
	Origin      int    // who says so first
	Silence     uint16 // Suspect: for so many hundredths of a second By has heard nothing of Who
}

// Sum is the load of a block of members, folded.
type LoadSum struct {
	_           struct{} `cbor:",toarray"`
	Level       uint8    // a block of 2^Level members
	Block       int      // which
	Incarnation uint64   // Level 0: of the member
	Age         uint16   // hundredths of a second since it was measured
	Members     int      // members counted
	Load        []byte
}

// Hint is what one member has met at a server.
type Hint struct {
	_           struct{} `cbor:",toarray"`
	Server      uint32   // hash of its id
	Origin      int
	Observation Observation
	Age         uint16 // hundredths of a second
}

// Seen is what a hint says.
type Observation uint8

// What may have been seen.
const (
	DispatchesLost  Observation = iota // several dispatches in a short time were lost or turned away
	ProbeAnswered                      // a probe was answered
	ProbeUnanswered                    // a probe was not answered
	observationCount
)

// Belief is what one member holds of a server's process, by what it has met there itself.
type Belief struct {
	_            struct{} `cbor:",toarray"`
	Server       uint32   // hash of its id
	Since        uint32   // the low bits of its start in milliseconds, see Start
	Health       uint8    // in hundredths
	EjectionLeft uint16   // hundredths of a second of its ejection; 0: it is in use
	Draining     bool     // as the list told it
	Age          uint16   // hundredths of a second since it was last met
}

// Start is a server's start as it stands on the wire.
func StartTime(since int64) uint32 { return uint32(since / 1e6) }

// Datagram is one message.
type Datagram struct {
	From        int            `cbor:"1,keyasint"`
	Incarnation uint64         `cbor:"2,keyasint"`
	Number      uint64         `cbor:"3,keyasint"` // of this life; no two are the same
	Kind        Kind           `cbor:"4,keyasint,omitempty"`
	Seq         uint32         `cbor:"5,keyasint,omitempty"`
	Subject     int            `cbor:"6,keyasint,omitempty"`
	Updates     []MemberUpdate `cbor:"7,keyasint,omitempty"`
	Sums        []LoadSum      `cbor:"8,keyasint,omitempty"`
	Hints       []Hint         `cbor:"9,keyasint,omitempty"`

	Beliefs   []Belief `cbor:"10,keyasint,omitempty"` // Teach
	Piece     []byte   `cbor:"12,keyasint,omitempty"` // Letter
	NewestKey uint64   `cbor:"11,keyasint,omitempty"` // Unix ms of the newest idempotency key; Teach: as the one that asks had told it
}

// The reasons for which a datagram is dropped.
var (
	ErrLength   = errors.New("cut short or too long")
	ErrChecksum = errors.New("garbled")
	ErrVersion  = errors.New("of another version")
	ErrFleet    = errors.New("of another fleet")
	ErrFormat   = errors.New("not of the form")
)

var encoder, decoder = strictcbor.Modes(cbor.DecOptions{MaxNestedLevels: 4, MaxArrayElements: 64, MaxMapPairs: 32})

// Fleet is a fleet's name as it stands on the wire.
func FleetHash(name string) uint32 { return crc32.ChecksumIEEE([]byte(name)) }

// Server is a server's id as it stands on the wire.
func ServerHash(id string) uint32 { return crc32.ChecksumIEEE([]byte(id)) }

// Encode gives the bytes of a datagram, ErrShort where they would be too many.
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

// Decode reads a datagram whole, or says why it is dropped.
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

// Room is what a datagram still has room for, in bytes.
type Room int

// Whole is the room of a datagram that carries nothing yet.
func FullRoom() Room { return MaxDatagramBytes - headerSize - trailerSize - baseSize }

// Take says whether so many bytes fit, and takes them.
func (r *Room) Take(n int) bool {
	if Room(n) > *r {
		return false
	}
	*r -= Room(n)
	return true
}

// News says whether one thing more said of a member fits, and takes its room.
func (r *Room) MemberUpdate() bool { return r.Take(updateSize) }

// Sum is the same for a sum with so many bytes of load.
func (r *Room) LoadSum(load int) bool { return r.Take(sumSize + 10 + load) }

// Hint is the same for a hint.
func (r *Room) Hint() bool { return r.Take(hintSize) }

// Belief is the same for a belief.
func (r *Room) Belief() bool { return r.Take(beliefSize) }

// Mark is the same for a mark.
func (r *Room) NewestKey() bool { return r.Take(newestKeySize) }

// PieceMost is the longest piece of a letter, in bytes, and MostPieces how many a letter may have.
const (
	MaxPartBytes = MaxDatagramBytes - headerSize - trailerSize - baseSize - 4
	MaxParts     = 255
)

// Hundredths gives a time in ns as it stands on the wire, the longest where it is longer. It is rounded up: what is passed on from one to
// another must not look fresher each time.
func Hundredths(ns int64) uint16 { return uint16(min(max(0, (ns+1e7-1)/1e7), 1<<16-1)) }

// Ns is the time that Hundredths stands for.
func Nanoseconds(h uint16) int64 { return int64(h) * 1e7 }
