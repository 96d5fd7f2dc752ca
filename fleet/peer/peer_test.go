package peer

import (
	"bytes"
	"errors"
	"math"
	"reflect"
	"testing"
)

func largestDatagram() Datagram {
	d := Datagram{From: math.MaxInt32, Incarnation: math.MaxUint64, Number: math.MaxUint64, Kind: PingRequest,
		Seq: math.MaxUint32, Subject: math.MaxInt32}
	return d
}

func TestRoundTrip(t *testing.T) {
	d := largestDatagram()
	d.Updates = []MemberUpdate{{Member: 3, State: Suspect, Incarnation: 1 << 50, Origin: 4, Silence: 77}}
	d.Sums = []LoadSum{{Level: 3, Block: 9, Age: 4, Members: 8, Load: []byte{1, 2, 3}}}
	d.Hints = []Hint{{Server: ServerHash("s-1"), Origin: 2, Observation: DispatchesLost, Age: 9}}
	b, err := Encode(FleetHash("f"), &d)
	if err != nil {
		t.Fatal(err)
	}
	got, err := Decode(FleetHash("f"), b)
	if err != nil || !reflect.DeepEqual(got, d) {
		t.Errorf("got %+v, %v, want %+v", got, err, d)
	}
}

// Everything that Room accepts fits, even with the largest numbers.
func TestRoom(t *testing.T) {
	largest := MemberUpdate{Member: math.MaxInt32, State: Left, Incarnation: math.MaxUint64, Origin: math.MaxInt32,
		Silence: math.MaxUint16}
	for name, fill := range map[string]func(*Datagram, *Room) bool{
		"updates": func(d *Datagram, r *Room) bool { d.Updates = append(d.Updates, largest); return r.MemberUpdate() },
		"sums": func(d *Datagram, r *Room) bool {
			d.Sums = append(d.Sums, LoadSum{Level: 31, Block: math.MaxInt32, Incarnation: math.MaxUint64,
				Age: math.MaxUint16, Members: math.MaxInt32, Load: bytes.Repeat([]byte{255}, 20)})
			return r.LoadSum(20)
		},
		"hints": func(d *Datagram, r *Room) bool {
			d.Hints = append(d.Hints, Hint{Server: math.MaxUint32, Origin: math.MaxInt32,
				Observation: ProbeUnanswered, Age: math.MaxUint16})
			return r.Hint()
		},
	} {
		t.Run(name, func(t *testing.T) {
			var d Datagram
			for room := FullRoom(); ; {
				next := largestDatagram()
				next.Updates, next.Sums, next.Hints = d.Updates, d.Sums, d.Hints
				if !fill(&next, &room) {
					break
				}
				d = next
			}
			if b, err := Encode(1, &d); err != nil {
				t.Errorf("%v, %d bytes", err, len(b))
			}
		})
	}
}

// A damaged datagram is dropped as a whole, with the error that says why.
func TestDecodeErrors(t *testing.T) {
	d := largestDatagram()
	b, err := Encode(FleetHash("f"), &d)
	if err != nil {
		t.Fatal(err)
	}
	otherVersion := bytes.Clone(b)
	otherVersion[0]++
	invalid, _ := Encode(FleetHash("f"), &Datagram{From: -1})
	for name, c := range map[string]struct {
		b    []byte
		want error
	}{
		"empty": {nil, ErrLength}, "truncated": {b[:len(b)-3], ErrChecksum},
		"too long":      {make([]byte, MaxDatagramBytes+1), ErrLength},
		"other version": {otherVersion, ErrVersion}, "invalid sender": {invalid, ErrFormat},
	} {
		if _, err := Decode(FleetHash("f"), c.b); !errors.Is(err, c.want) {
			t.Errorf("%s: got %v, want %v", name, err, c.want)
		}
	}
	if _, err := Decode(FleetHash("g"), b); !errors.Is(err, ErrFleet) {
		t.Errorf("other fleet: got %v", err)
	}
	for i := 1; i < len(b); i++ {
		x := bytes.Clone(b)
		x[i] ^= 0x10
		if _, err := Decode(FleetHash("f"), x); err == nil {
			t.Errorf("accepted with a flipped bit in byte %d", i)
		}
	}
}

func FuzzDecode(f *testing.F) {
	d := largestDatagram()
	d.Updates = []MemberUpdate{{Member: 1}}
	b, _ := Encode(1, &d)
	f.Add(b[headerSize : len(b)-trailerSize])
	f.Fuzz(func(t *testing.T, body []byte) {
		// Without the checksum, which would keep the fuzzer away from the content.
		var d Datagram
		if decoder.Unmarshal(body, &d) != nil || !d.valid() {
			return
		}
		b, err := Encode(1, &d)
		if err != nil {
			return
		}
		if got, err := Decode(1, b); err != nil || got.From != d.From || len(got.Updates) != len(d.Updates) {
			t.Errorf("%+v was decoded as %+v, %v", d, got, err)
		}
	})
}

// An age that is forwarded repeatedly never decreases.
func TestHundredths(t *testing.T) {
	for _, ns := range []int64{-5, 0, 1, 1e7 - 1, 1e7, 1e7 + 1, 123456789, 1 << 62} {
		if got := Nanoseconds(Hundredths(ns)); got < min(ns, Nanoseconds(math.MaxUint16)) || got > max(0, ns)+1e7 {
			t.Errorf("%d ns was decoded as %d", ns, got)
		}
	}
}
