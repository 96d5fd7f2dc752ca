package fleet

import (
	"bytes"
	"testing"

	"ivybank/fleet/peer"
)

// partsOf sends a message and returns its datagrams.
func partsOf(f *Fleet, to int, body []byte, now int64) (all []peer.Datagram) {
	f.SendMessage(to, body, now)
	for _, a := range f.actions {
		if a.Kind == Send {
			all = append(all, a.Datagram)
		}
	}
	f.actions = nil
	return all
}

// receivedMessages returns the messages that a member has received.
func receivedMessages(f *Fleet) (all [][]byte) {
	for _, a := range f.actions {
		if a.Kind == Deliver {
			all = append(all, a.Message)
		}
	}
	f.actions = nil
	return all
}

func TestMessages(t *testing.T) {
	sender, receiver := New(testConfig(0, 2), start), New(testConfig(1, 2), start)
	for name, size := range map[string]int{"short": 3, "one part": peer.MaxPartBytes,
		"one part and a byte": peer.MaxPartBytes + 1, "long": 7 * peer.MaxPartBytes} {
		t.Run(name, func(t *testing.T) {
			body := bytes.Repeat([]byte("abcdefg"), size/7+1)[:size]
			all := partsOf(sender, 1, body, start+sec)
			for i := range all { // in reverse order, each twice
				d := all[len(all)-1-i]
				if b, err := peer.Encode(0, &d); err != nil || len(b) > peer.MaxDatagramBytes {
					t.Fatalf("%d bytes, %v", len(b), err)
				}
				receiver.receivePart(&d)
				receiver.receivePart(&d)
			}
			got := receivedMessages(receiver)
			// The copy of a single part is another message, which Raft tolerates.
			if size == 3 || size == peer.MaxPartBytes {
				got = got[:1]
			}
			if len(got) != 1 || !bytes.Equal(got[0], body) {
				t.Errorf("got %d messages", len(got))
			}
		})
	}
	t.Run("part lost", func(t *testing.T) {
		receiver.messages.incomplete = nil
		for range 20 {
			for _, d := range partsOf(sender, 1, make([]byte, 3*peer.MaxPartBytes), start+5*sec)[1:] {
				receiver.receivePart(&d)
			}
		}
		if len(receivedMessages(receiver)) > 0 || len(receiver.messages.incomplete) > maxIncomplete {
			t.Errorf("%d incomplete messages are kept", len(receiver.messages.incomplete))
		}
	})
	t.Run("over the limit", func(t *testing.T) {
		sent := 0
		for range 1000 {
			sent += len(partsOf(sender, 1, []byte("x"), start+9*sec))
		}
		if limit := partRateFactor * sender.cfg.DatagramsPerSecond; float64(sent) > limit ||
			sender.messages.dropped == 0 {
			t.Errorf("%d parts at once, want at most %.0f", sent, limit)
		}
	})
	t.Run("malformed", func(t *testing.T) {
		for _, d := range []peer.Datagram{{Kind: peer.MessagePart},
			{Kind: peer.MessagePart, Subject: 3<<8 | 2, Part: []byte("x")}, {Kind: peer.MessagePart, Subject: 2,
				Part: []byte("x")}} {
			receiver.receivePart(&d)
		}
		if len(receivedMessages(receiver)) > 0 {
			t.Error("a malformed part was accepted")
		}
	})
}
