// Package membership lets the processes of a fleet discover each other without a complete list of them: each keeps a
// small partial view of the others, and exchanges part of it with one of them at a time (peer sampling by shuffling).
// The view does no I/O; Service runs it over UDP.
package membership

import (
	"cmp"
	"math/rand/v2"
	"slices"
)

const (
	viewSize    = 24 // peers that one process knows
	shuffleSize = 8  // peers in one datagram, the sender included
)

// Peer is one machine of the fleet.
type Peer struct {
	IP      string `cbor:"1,keyasint"`
	Control bool   `cbor:"2,keyasint,omitempty"` // the machine runs a control process
	Age     uint32 `cbor:"3,keyasint,omitempty"` // shuffles since this information came from the peer itself
}

// View is one process's partial view of the fleet. It is not safe for concurrent use.
type View struct {
	self    Peer
	peers   []Peer
	random  *rand.Rand
	pending string // IP of the peer of the exchange in progress; "" for none
	sent    []Peer
}

// NewView returns an empty view.
func NewView(self Peer, random *rand.Rand) *View { return &View{self: self, random: random} }

// Peers returns a copy of the current view.
func (v *View) Peers() []Peer { return slices.Clone(v.peers) }

// AddPeer adds a peer that is known from elsewhere, such as a seed.
func (v *View) AddPeer(p Peer) {
	if p.IP != v.self.IP && !v.knows(p.IP) {
		v.add(p)
	}
}

func (v *View) knows(ip string) bool {
	return slices.ContainsFunc(v.peers, func(p Peer) bool { return p.IP == ip })
}

// Shuffle begins an exchange with the peer whose information is oldest. A peer that didn't reply in the previous
// exchange is removed. ok is false if no peer is known.
func (v *View) Shuffle() (to string, sample []Peer, ok bool) {
	if v.pending != "" {
		v.remove(v.pending)
		v.pending = ""
	}
	if len(v.peers) == 0 {
		return "", nil, false
	}
	for i := range v.peers {
		v.peers[i].Age++
	}
	oldest := slices.MaxFunc(v.peers, func(a, b Peer) int { return cmp.Compare(a.Age, b.Age) })
	v.pending = oldest.IP
	v.sent = v.sample(oldest.IP)
	return oldest.IP, append([]Peer{v.self}, v.sent...), true
}

// HandleRequest merges the sample of a peer that began an exchange, and returns the sample to reply with.
func (v *View) HandleRequest(from string, sample []Peer) []Peer {
	answer := append([]Peer{v.self}, v.sample(from)...)
	v.merge(sample, answer)
	return answer
}

// HandleReply merges the reply to the exchange that this process began.
func (v *View) HandleReply(from string, sample []Peer) {
	if from != v.pending {
		return
	}
	v.pending = ""
	v.merge(sample, v.sent)
}

// sample draws random peers for a datagram to one of them.
func (v *View) sample(to string) []Peer {
	others := slices.DeleteFunc(slices.Clone(v.peers), func(p Peer) bool { return p.IP == to })
	v.random.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	return others[:min(len(others), shuffleSize-1)]
}

// merge adds received peers; those that were sent to the other side make room for them.
func (v *View) merge(received, sentPeers []Peer) {
	for _, p := range received {
		if p.IP == v.self.IP || p.IP == "" {
			continue
		}
		at := slices.IndexFunc(v.peers, func(q Peer) bool { return q.IP == p.IP })
		if at >= 0 {
			if p.Age <= v.peers[at].Age {
				v.peers[at] = p
			}
			continue
		}
		if len(v.peers) >= viewSize && len(sentPeers) > 0 {
			v.remove(sentPeers[0].IP)
			sentPeers = sentPeers[1:]
		}
		v.add(p)
	}
}

func (v *View) add(p Peer) {
	if len(v.peers) >= viewSize {
		oldest := slices.MaxFunc(v.peers, func(a, b Peer) int { return cmp.Compare(a.Age, b.Age) })
		v.remove(oldest.IP)
	}
	v.peers = append(v.peers, p)
}

func (v *View) remove(ip string) {
	v.peers = slices.DeleteFunc(v.peers, func(p Peer) bool { return p.IP == ip })
}
