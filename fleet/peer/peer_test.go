package peer

import (
	"bytes"
	"errors"
	"math"
	"reflect"
	"testing"
)

func full() Datagram {
	d := Datagram{From: math.MaxInt32, Life: math.MaxUint64, Count: math.MaxUint64, Kind: Ask, Seq: math.MaxUint32, About: math.MaxInt32}
	return d
}

func TestRoundTrip(t *testing.T) {
	d := full()
	d.News = []News{{Who: 3, State: Suspect, Life: 1 << 50, By: 4, Quiet: 77}}
	d.Sums = []Sum{{Level: 3, Block: 9, Age: 4, Of: 8, Load: []byte{1, 2, 3}}}
	d.Hints = []Hint{{Server: Server("s-1"), By: 2, What: Lost, Age: 9}}
	b, err := Encode(Fleet("f"), &d)
	if err != nil {
		t.Fatal(err)
	}
	got, err := Decode(Fleet("f"), b)
	if err != nil || !reflect.DeepEqual(got, d) {
		t.Errorf("got %+v, %v, want %+v", got, err, d)
	}
}

// What Room gives fits whatever the numbers are.
func TestRoom(t *testing.T) {
	most := News{Who: math.MaxInt32, State: Left, Life: math.MaxUint64, By: math.MaxInt32, Quiet: math.MaxUint16}
	for name, fill := range map[string]func(*Datagram, *Room) bool{
		"news": func(d *Datagram, r *Room) bool { d.News = append(d.News, most); return r.News() },
		"sums": func(d *Datagram, r *Room) bool {
			d.Sums = append(d.Sums, Sum{Level: 31, Block: math.MaxInt32, Life: math.MaxUint64, Age: math.MaxUint16, Of: math.MaxInt32, Load: bytes.Repeat([]byte{255}, 20)})
			return r.Sum(20)
		},
		"hints": func(d *Datagram, r *Room) bool {
			d.Hints = append(d.Hints, Hint{Server: math.MaxUint32, By: math.MaxInt32, What: Absent, Age: math.MaxUint16})
			return r.Hint()
		},
	} {
		t.Run(name, func(t *testing.T) {
			var d Datagram
			for room := Whole(); ; {
				next := full()
				next.News, next.Sums, next.Hints = d.News, d.Sums, d.Hints
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
	b, err := Encode(Fleet("f"), &d)
	if err != nil {
		t.Fatal(err)
	}
	other := bytes.Clone(b)
	other[0]++
	strange, _ := Encode(Fleet("f"), &Datagram{From: -1})
	for name, c := range map[string]struct {
		b    []byte
		want error
	}{
		"none": {nil, ErrShort}, "cut": {b[:len(b)-3], ErrGarbled}, "too long": {make([]byte, Most+1), ErrShort},
		"another build": {other, ErrVersion}, "nobody's": {strange, ErrForm},
	} {
		if _, err := Decode(Fleet("f"), c.b); !errors.Is(err, c.want) {
			t.Errorf("%s: got %v, want %v", name, err, c.want)
		}
	}
	if _, err := Decode(Fleet("g"), b); !errors.Is(err, ErrFleet) {
		t.Errorf("another fleet's: got %v", err)
	}
	for i := 1; i < len(b); i++ {
		x := bytes.Clone(b)
		x[i] ^= 0x10
		if _, err := Decode(Fleet("f"), x); err == nil {
			t.Errorf("byte %d flipped: taken", i)
		}
	}
}

func FuzzDecode(f *testing.F) {
	d := full()
	d.News = []News{{Who: 1}}
	b, _ := Encode(1, &d)
	f.Add(b[head : len(b)-tail])
	f.Fuzz(func(t *testing.T, body []byte) {
		// The checksum would keep the fuzzer out of what stands behind it.
		var d Datagram
		if decoder.Unmarshal(body, &d) != nil || !d.sound() {
			return
		}
		b, err := Encode(1, &d)
		if err != nil {
			return
		}
		if got, err := Decode(1, b); err != nil || got.From != d.From || len(got.News) != len(d.News) {
			t.Errorf("%+v came back as %+v, %v", d, got, err)
		}
	})
}

// A time that is told and told again never gets shorter.
func TestHundredths(t *testing.T) {
	for _, ns := range []int64{-5, 0, 1, 1e7 - 1, 1e7, 1e7 + 1, 123456789, 1 << 62} {
		if got := Ns(Hundredths(ns)); got < min(ns, Ns(math.MaxUint16)) || got > max(0, ns)+1e7 {
			t.Errorf("%d ns came back as %d", ns, got)
		}
	}
}
