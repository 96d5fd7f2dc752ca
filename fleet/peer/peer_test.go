package peer

import (
	"bytes"
	"errors"
	"math"
	"reflect"
	"testing"
)

func full() Datagram {
	d := Datagram{From: math.MaxInt32, Incarnation: math.MaxUint64, Number: math.MaxUint64, Kind: PingRequest, Seq: math.MaxUint32, Subject: math.MaxInt32}
	return d
}

func TestRoundTrip(t *testing.T) {
	d := full()
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

// What Room gives fits whatever the numbers are.
func TestRoom(t *testing.T) {
	most := MemberUpdate{Member: math.MaxInt32, State: Left, Incarnation: math.MaxUint64, Origin: math.MaxInt32, Silence: math.MaxUint16}
	for name, fill := range map[string]func(*Datagram, *Room) bool{
		"news": func(d *Datagram, r *Room) bool { d.Updates = append(d.Updates, most); return r.MemberUpdate() },
		"sums": func(d *Datagram, r *Room) bool {
			d.Sums = append(d.Sums, LoadSum{Level: 31, Block: math.MaxInt32, Incarnation: math.MaxUint64, Age: math.MaxUint16, Members: math.MaxInt32, Load: bytes.Repeat([]byte{255}, 20)})
			return r.LoadSum(20)
		},
		"hints": func(d *Datagram, r *Room) bool {
			d.Hints = append(d.Hints, Hint{Server: math.MaxUint32, Origin: math.MaxInt32, Observation: ProbeUnanswered, Age: math.MaxUint16})
			return r.Hint()
		},
	} {
		t.Run(name, func(t *testing.T) {
			var d Datagram
			for room := FullRoom(); ; {
				next := full()
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

// Whatever was done to a datagram, it is dropped whole and by its cause.
func TestDropped(t *testing.T) {
	d := full()
	b, err := Encode(FleetHash("f"), &d)
	if err != nil {
		t.Fatal(err)
	}
	other := bytes.Clone(b)
	other[0]++
	strange, _ := Encode(FleetHash("f"), &Datagram{From: -1})
	for name, c := range map[string]struct {
		b    []byte
		want error
	}{
		"none": {nil, ErrLength}, "cut": {b[:len(b)-3], ErrChecksum}, "too long": {make([]byte, MaxDatagramBytes+1), ErrLength},
		"another build": {other, ErrVersion}, "nobody's": {strange, ErrFormat},
	} {
		if _, err := Decode(FleetHash("f"), c.b); !errors.Is(err, c.want) {
			t.Errorf("%s: got %v, want %v", name, err, c.want)
		}
	}
	if _, err := Decode(FleetHash("g"), b); !errors.Is(err, ErrFleet) {
		t.Errorf("another fleet's: got %v", err)
	}
	for i := 1; i < len(b); i++ {
		x := bytes.Clone(b)
		x[i] ^= 0x10
		if _, err := Decode(FleetHash("f"), x); err == nil {
			t.Errorf("byte %d flipped: taken", i)
		}
	}
}

func FuzzDecode(f *testing.F) {
	d := full()
	d.Updates = []MemberUpdate{{Member: 1}}
	b, _ := Encode(1, &d)
	f.Add(b[headerSize : len(b)-trailerSize])
	f.Fuzz(func(t *testing.T, body []byte) {
		// The checksum would keep the fuzzer out of what stands behind it.
		var d Datagram
		if decoder.Unmarshal(body, &d) != nil || !d.valid() {
			return
		}
		b, err := Encode(1, &d)
		if err != nil {
			return
		}
		if got, err := Decode(1, b); err != nil || got.From != d.From || len(got.Updates) != len(d.Updates) {
			t.Errorf("%+v came back as %+v, %v", d, got, err)
		}
	})
}

// A time that is told and told again never gets shorter.
func TestHundredths(t *testing.T) {
	for _, ns := range []int64{-5, 0, 1, 1e7 - 1, 1e7, 1e7 + 1, 123456789, 1 << 62} {
		if got := Nanoseconds(Hundredths(ns)); got < min(ns, Nanoseconds(math.MaxUint16)) || got > max(0, ns)+1e7 {
			t.Errorf("%d ns came back as %d", ns, got)
		}
	}
}
