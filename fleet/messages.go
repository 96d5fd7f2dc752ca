package fleet

// This file owns letters: what is longer than a datagram goes out in pieces and is put together again. A letter of which a piece is lost is
// lost; who needs it sends it again. It must never keep more than a few unfinished letters of a member.

import (
	"slices"

	"ivybank/fleet/peer"
)

const (
	partRateFactor = 8.0 // pieces a second, as a multiple of the datagrams that a member sends without letters
	maxIncomplete  = 4   // letters of one member that are waited for
)

// post is the letters of one member.
type messageQueue struct {
	seq        uint32
	tokens     tokenBucket
	incomplete []partialMessage // emptied as they are whole, or by newer ones
	dropped    int              // letters not sent as there were too many
}

// half is a letter that is not whole yet.
type partialMessage struct {
	from        int
	incarnation uint64
	seq         uint32
	parts       [][]byte
	missing     int
}

// Post sends a letter; one past what letters may take is dropped whole.
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
		d.Seq, d.Subject, d.Piece = m.seq, i<<8|n, body[i*peer.MaxPartBytes:min(len(body), (i+1)*peer.MaxPartBytes)]
		f.actions = append(f.actions, Action{Kind: Send, To: to, Datagram: d, due: true})
	}
}

// piece takes a piece of a letter.
func (f *Fleet) receivePart(d *peer.Datagram) {
	if d.Kind != peer.MessagePart {
		return
	}
	index, count := d.Subject>>8, d.Subject&255
	if count == 0 || index >= count || len(d.Piece) > peer.MaxPartBytes || index < count-1 && len(d.Piece) != peer.MaxPartBytes {
		return
	}
	m := &f.messages
	i := slices.IndexFunc(m.incomplete, func(partial partialMessage) bool {
		return partial.from == d.From && partial.incarnation == d.Incarnation && partial.seq == d.Seq && len(partial.parts) == count
	})
	if i < 0 {
		fromSender := 0
		for j := len(m.incomplete) - 1; j >= 0; j-- { // the oldest of this member's go
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
	partial.parts[index] = append([]byte{}, d.Piece...)
	if partial.missing--; partial.missing > 0 {
		return
	}
	body := slices.Concat(partial.parts...)
	m.incomplete = slices.Delete(m.incomplete, i, i+1)
	f.actions = append(f.actions, Action{Kind: Deliver, To: d.From, Message: body})
}
