package lease

// This file holds the wire format: at most maxItems items in a datagram of at most MaxDatagramBytes bytes. It must
// never interpret items, nor return part of a datagram.

import (
	"encoding/binary"
	"errors"
	"hash/crc32"

	"github.com/fxamacker/cbor/v2"

	"ivybank/internal/strictcbor"
)

const (
	// Version is the first byte of a datagram. Package peer uses another one, so that both share a socket.
	Version = 0x4c
	// MaxDatagramBytes is the length of the longest datagram.
	MaxDatagramBytes = 256

	headerBytes, checksumBytes, maxItems = 5, 4, 5
	maxUnits                             = 1 << 30
)

// The kinds of Item.
const (
	VoteRequest  uint8 = iota + 1 // the sender asks for promises; Seq 0: a pre-vote
	Vote                          // the sender promises
	VoteRefusal                   // the sender does not promise; Term is the highest that it has seen
	VoteRelease                   // the sender returns a promise
	LeaseRequest                  // Want units are wanted, Units may be in use
	LeaseGrant                    // Units are granted, for the duration of a lease from when it was requested
	OwnerHint                     // the owner is the member with index Units
)

// Item is one message about one limit. Term and Epoch (the owner's incarnation) fence it.
type Item struct {
	_           struct{} `cbor:",toarray"`
	Kind        uint8
	Limit       uint32
	Term, Epoch uint64
	Seq         uint64
	Want, Units int
	// Settled, in a LeaseRequest: the sender has run longer than any lease of its earlier incarnation may last. In a
	// LeaseGrant: the owner knows what all members hold.
	Settled bool
}

// Datagram carries items from one member to another.
type Datagram struct {
	From        int    `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
	Items       []Item `cbor:"3,keyasint"`
}

// ErrMalformed is returned for bytes that are no valid datagram of this fleet.
var ErrMalformed = errors.New("malformed lease datagram")

var encoder, decoder = strictcbor.Modes(cbor.DecOptions{MaxNestedLevels: 4, MaxArrayElements: 16, MaxMapPairs: 16})

// Encode encodes a datagram. It returns ErrMalformed if the result would exceed MaxDatagramBytes.
func Encode(fleet uint32, d *Datagram) ([]byte, error) {
	body, err := encoder.Marshal(d)
	if err != nil || headerBytes+len(body)+checksumBytes > MaxDatagramBytes {
		return nil, ErrMalformed
	}
	b := append(binary.BigEndian.AppendUint32([]byte{Version}, fleet), body...)
	return binary.BigEndian.AppendUint32(b, crc32.ChecksumIEEE(b)), nil
}

// Decode decodes and checks a datagram. It returns ErrMalformed if it is not valid.
func Decode(fleet uint32, b []byte) (d Datagram, err error) {
	if len(b) <= headerBytes+checksumBytes || len(b) > MaxDatagramBytes || b[0] != Version ||
		binary.BigEndian.Uint32(b[1:]) != fleet {
		return d, ErrMalformed
	}
	whole := b[:len(b)-checksumBytes]
	sum := crc32.ChecksumIEEE(whole)
	if binary.BigEndian.Uint32(b[len(whole):]) != sum || decoder.Unmarshal(whole[headerBytes:], &d) != nil {
		return Datagram{}, ErrMalformed
	}
	bad := d.From < 0 || d.Incarnation == 0
	for _, it := range d.Items {
		bad = bad || it.Want < 0 || it.Want > maxUnits || it.Units < 0 || it.Units > maxUnits
	}
	if bad {
		return Datagram{}, ErrMalformed
	}
	return d, nil
}
