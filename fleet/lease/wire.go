package lease

// This file owns the form on the wire: up to six items to a datagram of 256 bytes. It must never decide what
// an item means, nor hand on a datagram in part.

import (
	"encoding/binary"
	"errors"
	"hash/crc32"

	"github.com/fxamacker/cbor/v2"

	"ivybank/internal/strictcbor"
)

const (
	// Version is a datagram's first byte; that of package peer has another, so that both share a socket.
	Version = 0x4c
	// MaxDatagramBytes is the longest datagram, in bytes.
	MaxDatagramBytes = 256

	head, tail, mostItems = 5, 4, 5
	mostUnits             = 1 << 30
)

// The kinds of item.
const (
	Stand  uint8 = iota + 1 // would own, or go on owning
	Vote                    // promises that
	Refuse                  // does not; Term is the highest that was seen
	Free                    // gives a promise back
	Ask                     // Want units are wanted, Use may be in use
	Grant                   // Use are granted, for the lease's time from when it was asked
	Hint                    // the member at place Use owns
)

// Item is one thing said of one limit. Term and Epoch (the owner's life) fence it.
type Item struct {
	_           struct{} `cbor:",toarray"`
	Kind        uint8
	Limit       uint32
	Term, Epoch uint64
	Count       uint64
	Want, Use   int
	// Settled, of an Ask: the sender has lived longer than any lease of its place's earlier life. Of a Grant:
	// the owner knows what all hold.
	Settled bool
}

// Datagram is one message.
type Datagram struct {
	From  int    `cbor:"1,keyasint"`
	Life  uint64 `cbor:"2,keyasint"`
	Items []Item `cbor:"3,keyasint"`
}

// ErrMalformed is told of what is no datagram of this fleet.
var ErrMalformed = errors.New("not a datagram of leases")

var encoder, decoder = strictcbor.Modes(cbor.DecOptions{MaxNestedLevels: 4, MaxArrayElements: 16, MaxMapPairs: 16})

// Encode gives a datagram's bytes, ErrForm where they would be too many.
func Encode(fleet uint32, d *Datagram) ([]byte, error) {
	body, err := encoder.Marshal(d)
	if err != nil || head+len(body)+tail > MaxDatagramBytes {
		return nil, ErrMalformed
	}
	b := append(binary.BigEndian.AppendUint32([]byte{Version}, fleet), body...)
	return binary.BigEndian.AppendUint32(b, crc32.ChecksumIEEE(b)), nil
}

// Decode reads one whole, or ErrForm.
func Decode(fleet uint32, b []byte) (d Datagram, err error) {
	if len(b) <= head+tail || len(b) > MaxDatagramBytes || b[0] != Version || binary.BigEndian.Uint32(b[1:]) != fleet {
		return d, ErrMalformed
	}
	whole := b[:len(b)-tail]
	sum := crc32.ChecksumIEEE(whole)
	if binary.BigEndian.Uint32(b[len(whole):]) != sum || decoder.Unmarshal(whole[head:], &d) != nil {
		return Datagram{}, ErrMalformed
	}
	bad := d.From < 0 || d.Life == 0
	for _, it := range d.Items {
		bad = bad || it.Want < 0 || it.Want > mostUnits || it.Use < 0 || it.Use > mostUnits
	}
	if bad {
		return Datagram{}, ErrMalformed
	}
	return d, nil
}
