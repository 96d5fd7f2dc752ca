package fleet

// This file splits messages that are longer than a datagram into parts and reassembles them. If a part is lost the
// message is lost, and its sender has to send it again. No more than maxIncomplete incomplete messages are kept
// per sender.

import (
	"slices"

	"ivybank/fleet/peer"
)

const (
	partRateFactor = 8.0 // parts per second, as a multiple of the datagram limit
	maxIncomplete  = 4   // incomplete messages kept per sender
)

// messageQueue holds the messages that are being sent and received.
type messageQueue struct {
	seq        uint32
	tokens     tokenBucket
	incomplete []partialMessage // removed when complete, or replaced by newer ones
	dropped    int              // messages not sent because of the limit
}

// partialMessage is a message of which parts are missing.
type partialMessage struct {
	from        int
	incarnation uint64
	seq         uint32
	parts       [][]byte
	missing     int
}

// SendMessage sends a message to a member. A message beyond the limit is dropped whole.
func (f *Fleet) SendMessage(to int, body []byte, now int64) {
	m := &f.messages
	rate := partRateFactor * f.cfg.DatagramsPerSecond
	m.tokens.fill(rate, rate, now)
	n := max(1, (len(body)+peer.MaxPartBytes-1)/peer.MaxPartBytes)
	if to < 0 || to >= f.cfg.Members || to == f.cfg.Index || n > peer.MaxParts || m.tokens.tokens < float64(n) {
		m.dropped++
		return
	}
	m.tokens.tokens -= float64(n)
	m.seq++
	for i := range n {
		d, _ := f.swim.Datagram(peer.MessagePart)
		d.Seq, d.Subject, d.Part = m.seq, i<<8|n, body[i*peer.MaxPartBytes:min(len(body), (i+1)*peer.MaxPartBytes)]
		f.actions = append(f.actions, Action{Kind: Send, To: to, Datagram: d, due: true})
	}
}

// receivePart handles one part of a message.
func (f *Fleet) receivePart(d *peer.Datagram) {
	if d.Kind != peer.MessagePart {
		return
	}
	index, count := d.Subject>>8, d.Subject&255
	if count == 0 || index >= count || len(d.Part) > peer.MaxPartBytes ||
		index < count-1 && len(d.Part) != peer.MaxPartBytes {
		return
	}
	m := &f.messages
	i := slices.IndexFunc(m.incomplete, func(partial partialMessage) bool {
		return partial.from == d.From && partial.incarnation == d.Incarnation && partial.seq == d.Seq &&
			len(partial.parts) == count
	})
	if i < 0 {
		fromSender := 0
		for j := len(m.incomplete) - 1; j >= 0; j-- { // remove the sender's oldest
			if m.incomplete[j].from == d.From {
				if fromSender++; fromSender >= maxIncomplete {
					m.incomplete = slices.Delete(m.incomplete, j, j+1)
				}
			}
		}
		m.incomplete = append(m.incomplete, partialMessage{d.From, d.Incarnation, d.Seq, make([][]byte, count), count})
		i = len(m.incomplete) - 1
	}
	partial := &m.incomplete[i]
	if partial.parts[index] != nil {
		return
	}
	partial.parts[index] = append([]byte{}, d.Part...)
	if partial.missing--; partial.missing > 0 {
		return
	}
	body := slices.Concat(partial.parts...)
	m.incomplete = slices.Delete(m.incomplete, i, i+1)
	f.actions = append(f.actions, Action{Kind: Deliver, To: d.From, Message: body})
}
