package lab

// This file owns the links between proxies: a relay for each direction of each pair, on loopback. A datagram may be lost, late, doubled,
// overtaken or garbled there, by seed. It must never make one up.

import (
	"context"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"ivybank/internal/rng"
	"ivybank/rehearse/emu"
)

// links are those of all pairs.
type links struct {
	n      int
	listen []*net.UDPAddr   // where each proxy hears
	conns  [][]*net.UDPConn // [i][j]: what i knows j by
	mu     sync.Mutex
	dice   rng.Source
	cut    [][]int          // by faults, from i to j
	rough  []emu.Impairment // all in force add up
	sent   []PeerCount
}

// PeerCount is what one proxy has sent to others.
type PeerCount struct{ Datagrams, Bytes, Lost, Arrived int }

func newLinks(ctx context.Context, wait *sync.WaitGroup, at string, n int, seed uint64) (*links, error) {
	l := &links{n: n, dice: rng.Source{Seed: seed ^ 0x5eed}, sent: make([]PeerCount, n)}
	for i := range n {
		c, err := net.ListenPacket("udp4", at)
		if err != nil {
			return nil, err
		}
		defer c.Close() // held until all have theirs
		l.listen, l.cut = append(l.listen, c.LocalAddr().(*net.UDPAddr)), append(l.cut, make([]int, n))
		row := make([]*net.UDPConn, n)
		for j := range n {
			if i == j {
				continue
			}
			c, err := net.ListenPacket("udp4", at)
			if err != nil {
				return nil, err
			}
			row[j] = c.(*net.UDPConn)
		}
		l.conns = append(l.conns, row)
	}
	for i := range n {
		for j := range n {
			if c := l.conns[i][j]; c != nil {
				wait.Go(func() { l.relay(i, j, c) })
				wait.Go(func() {
					<-ctx.Done()
					_ = c.Close()
				})
			}
		}
	}
	return l, nil
}

// told is where a proxy hears its peers, and what it knows them by.
func (l *links) told(i int) (listen string, peers []string) {
	for j := range l.n {
		if i == j {
			peers = append(peers, l.listen[i].String())
			continue
		}
		peers = append(peers, l.conns[i][j].LocalAddr().String())
	}
	return l.listen[i].String(), peers
}

// relay passes on what i sends to j.
func (l *links) relay(i, j int, c *net.UDPConn) {
	from := netip.MustParseAddrPort(l.listen[i].String())
	b := make([]byte, 1<<16)
	for {
		n, at, err := c.ReadFromUDPAddrPort(b)
		if err != nil {
			return
		}
		if netip.AddrPortFrom(at.Addr().Unmap(), at.Port()) != from {
			continue
		}
		for _, d := range l.way(i, j, b[:n]) {
			send := func() { _, _ = l.conns[j][i].WriteToUDP(d.text, l.listen[j]) }
			if d.wait > 0 {
				time.AfterFunc(d.wait, send)
			} else {
				send()
			}
		}
	}
}

type onTheWay struct {
	text []byte
	wait time.Duration
}

// way is what becomes of one datagram.
func (l *links) way(i, j int, b []byte) (out []onTheWay) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := &l.sent[i]
	s.Datagrams++
	s.Bytes += len(b)
	var all emu.Impairment
	for _, r := range l.rough {
		all.Add(r)
	}
	if l.cut[i][j] > 0 || l.dice.Next() < all.LossRatio {
		s.Lost++
		return nil
	}
	copies := 1
	if l.dice.Next() < all.DuplicateRatio {
		copies = 2
	}
	for range copies {
		text := slices.Clone(b)
		if l.dice.Next() < all.CorruptRatio && len(text) > 0 {
			text[int(l.dice.Next()*float64(len(text)))] ^= byte(1 + l.dice.Next()*254)
		}
		out = append(out, onTheWay{text, time.Duration(all.Delay + int64(l.dice.Next()*float64(all.Jitter)))})
		s.Arrived++
	}
	return out
}

// split cuts what passes from one set of proxies to all others, to them, or both.
func (l *links) split(group []int, way string, by int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, i := range group {
		for j := range l.n {
			if slices.Contains(group, j) {
				continue
			}
			if way != "in" {
				l.cut[i][j] += by
			}
			if way != "out" {
				l.cut[j][i] += by
			}
		}
	}
}

// roughen has all links treat datagrams so until undone.
func (l *links) roughen(r emu.Impairment) (undo func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rough = append(l.rough, r)
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		if i := slices.Index(l.rough, r); i >= 0 {
			l.rough = slices.Delete(l.rough, i, i+1)
		}
	}
}

func (l *links) counts() []PeerCount {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.sent)
}
