package fleet

// This file owns letters: what is longer than a datagram goes out in pieces and is put together again. A letter of which a piece is lost is
// lost; who needs it sends it again. It must never keep more than a few unfinished letters of a member.

import (
	"slices"

	"ivybank/fleet/peer"
)

const (
	letterTimes = 8.0 // pieces a second, as a multiple of the datagrams that a member sends without letters
	unfinished  = 4   // letters of one member that are waited for
)

// post is the letters of one member.
type post struct {
	seq    uint32
	tokens bucket
	halves []half // emptied as they are whole, or by newer ones
	Lost   int    // letters not sent as there were too many
}

// half is a letter that is not whole yet.
type half struct {
	from   int
	life   uint64
	seq    uint32
	pieces [][]byte
	left   int
}

// Post sends a letter; one past what letters may take is dropped whole.
func (f *Fleet) SendMessage(to int, body []byte, now int64) {
	x := &f.post
	rate := letterTimes * f.t.DatagramsPerSecond
	x.tokens.fill(rate, rate, now)
	n := max(1, (len(body)+peer.MaxPartBytes-1)/peer.MaxPartBytes)
	if to < 0 || to >= f.t.Members || to == f.t.Index || n > peer.MaxParts || x.tokens.n < float64(n) {
		x.Lost++
		return
	}
	x.tokens.n -= float64(n)
	x.seq++
	for i := range n {
		d, _ := f.swim.Datagram(peer.MessagePart)
		d.Seq, d.Subject, d.Piece = x.seq, i<<8|n, body[i*peer.MaxPartBytes:min(len(body), (i+1)*peer.MaxPartBytes)]
		f.todo = append(f.todo, Action{Kind: Send, To: to, Datagram: d, due: true})
	}
}

// piece takes a piece of a letter.
func (f *Fleet) piece(d *peer.Datagram) {
	if d.Kind != peer.MessagePart {
		return
	}
	at, of := d.Subject>>8, d.Subject&255
	if of == 0 || at >= of || len(d.Piece) > peer.MaxPartBytes || at < of-1 && len(d.Piece) != peer.MaxPartBytes {
		return
	}
	x := &f.post
	i := slices.IndexFunc(x.halves, func(h half) bool {
		return h.from == d.From && h.life == d.Incarnation && h.seq == d.Seq && len(h.pieces) == of
	})
	if i < 0 {
		mine := 0
		for j := len(x.halves) - 1; j >= 0; j-- { // the oldest of this member's go
			if x.halves[j].from == d.From {
				if mine++; mine >= unfinished {
					x.halves = slices.Delete(x.halves, j, j+1)
				}
			}
		}
		x.halves = append(x.halves, half{d.From, d.Incarnation, d.Seq, make([][]byte, of), of})
		i = len(x.halves) - 1
	}
	h := &x.halves[i]
	if h.pieces[at] != nil {
		return
	}
	h.pieces[at] = append([]byte{}, d.Piece...)
	if h.left--; h.left > 0 {
		return
	}
	body := slices.Concat(h.pieces...)
	x.halves = slices.Delete(x.halves, i, i+1)
	f.todo = append(f.todo, Action{Kind: Deliver, To: d.From, Message: body})
}
