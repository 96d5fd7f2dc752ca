package fleet

import (
	"bytes"
	"testing"

	"ivybank/fleet/peer"
)

// pieces posts a letter and gives its datagrams.
func pieces(f *Fleet, to int, body []byte, now int64) (all []peer.Datagram) {
	f.SendMessage(to, body, now)
	for _, a := range f.actions {
		if a.Kind == Send {
			all = append(all, a.Datagram)
		}
	}
	f.actions = nil
	return all
}

// letters are those that a member was handed.
func letters(f *Fleet) (all [][]byte) {
	for _, a := range f.actions {
		if a.Kind == Deliver {
			all = append(all, a.Message)
		}
	}
	f.actions = nil
	return all
}

func TestLetters(t *testing.T) {
	one, other := New(terms(0, 2), begun), New(terms(1, 2), begun)
	for name, size := range map[string]int{"short": 3, "a piece": peer.MaxPartBytes, "a byte more": peer.MaxPartBytes + 1, "long": 7 * peer.MaxPartBytes} {
		t.Run(name, func(t *testing.T) {
			body := bytes.Repeat([]byte("abcdefg"), size/7+1)[:size]
			all := pieces(one, 1, body, begun+sec)
			for i := range all { // the last first, some twice
				d := all[len(all)-1-i]
				if b, err := peer.Encode(0, &d); err != nil || len(b) > peer.MaxDatagramBytes {
					t.Fatalf("%d bytes, %v", len(b), err)
				}
				other.receivePart(&d)
				other.receivePart(&d)
			}
			got := letters(other)
			if size == 3 || size == peer.MaxPartBytes { // of one piece: a copy of it is another letter, which Raft bears
				got = got[:1]
			}
			if len(got) != 1 || !bytes.Equal(got[0], body) {
				t.Errorf("got %d letters", len(got))
			}
		})
	}
	t.Run("a piece lost", func(t *testing.T) {
		other.messages.incomplete = nil
		for range 20 {
			for _, d := range pieces(one, 1, make([]byte, 3*peer.MaxPartBytes), begun+5*sec)[1:] {
				other.receivePart(&d)
			}
		}
		if len(letters(other)) > 0 || len(other.messages.incomplete) > maxIncomplete {
			t.Errorf("%d letters wait for their pieces", len(other.messages.incomplete))
		}
	})
	t.Run("too many", func(t *testing.T) {
		sent := 0
		for range 1000 {
			sent += len(pieces(one, 1, []byte("x"), begun+9*sec))
		}
		if most := partRateFactor * one.cfg.DatagramsPerSecond; float64(sent) > most || one.messages.dropped == 0 {
			t.Errorf("%d pieces at once, want %.0f at the most", sent, most)
		}
	})
	t.Run("not of the form", func(t *testing.T) {
		for _, d := range []peer.Datagram{{Kind: peer.MessagePart}, {Kind: peer.MessagePart, Subject: 3<<8 | 2, Part: []byte("x")}, {Kind: peer.MessagePart, Subject: 2, Part: []byte("x")}} {
			other.receivePart(&d)
		}
		if len(letters(other)) > 0 {
			t.Error("taken")
		}
	})
}
