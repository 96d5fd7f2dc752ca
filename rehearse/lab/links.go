package lab

// This file holds the links between proxies: a relay for each direction of each pair, on loopback. A relay may drop,
// delay, duplicate, reorder or corrupt datagrams, by seed. It must never invent one.

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

// links holds the relays of all pairs of proxies.
type links struct {
	n           int
	listen      []*net.UDPAddr   // address at which each proxy receives
	conns       [][]*net.UDPConn // [i][j]: the relay socket that i uses as the address of j
	mu          sync.Mutex
	random      rng.Source
	cut         [][]int          // [i][j]: number of faults that cut the direction from i to j
	impairments []emu.Impairment // those in force; their effects add up
	sent        []PeerCount
}

// PeerCount counts what one proxy has sent to its peers.
type PeerCount struct{ Datagrams, Bytes, Lost, Arrived int }

func newLinks(ctx context.Context, wait *sync.WaitGroup, at string, n int, seed uint64) (*links, error) {
	l := &links{n: n, random: rng.Source{Seed: seed ^ 0x5eed}, sent: make([]PeerCount, n)}
	for i := range n {
		c, err := net.ListenPacket("udp4", at)
		if err != nil {
			return nil, err
		}
		defer c.Close() // stays open until all proxies have an address, so that no address is given twice
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

// addresses returns the address at which proxy i receives, and the addresses that it uses for its peers.
func (l *links) addresses(i int) (listen string, peers []string) {
	for j := range l.n {
		if i == j {
			peers = append(peers, l.listen[i].String())
			continue
		}
		peers = append(peers, l.conns[i][j].LocalAddr().String())
	}
	return l.listen[i].String(), peers
}

// relay forwards the datagrams that i sends to j.
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
		for _, d := range l.impair(i, j, b[:n]) {
			send := func() { _, _ = l.conns[j][i].WriteToUDP(d.text, l.listen[j]) }
			if d.wait > 0 {
				time.AfterFunc(d.wait, send)
			} else {
				send()
			}
		}
	}
}

type delayedDatagram struct {
	text []byte
	wait time.Duration
}

// impair applies the cuts and impairments in force to one datagram and returns the copies to deliver.
func (l *links) impair(i, j int, b []byte) (out []delayedDatagram) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := &l.sent[i]
	s.Datagrams++
	s.Bytes += len(b)
	var all emu.Impairment
	for _, r := range l.impairments {
		all.Add(r)
	}
	if l.cut[i][j] > 0 || l.random.Next() < all.LossRatio {
		s.Lost++
		return nil
	}
	copies := 1
	if l.random.Next() < all.DuplicateRatio {
		copies = 2
	}
	for range copies {
		text := slices.Clone(b)
		if l.random.Next() < all.CorruptRatio && len(text) > 0 {
			text[int(l.random.Next()*float64(len(text)))] ^= byte(1 + l.random.Next()*254)
		}
		out = append(out, delayedDatagram{text, time.Duration(all.Delay + int64(l.random.Next()*float64(all.Jitter)))})
		s.Arrived++
	}
	return out
}

// partition adds by to the number of cuts between a group of proxies and all others: in the direction "out" of the
// group, "in" to it, or both.
func (l *links) partition(group []int, way string, by int) {
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

// addImpairment applies an impairment to all links until undo is called.
func (l *links) addImpairment(r emu.Impairment) (undo func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.impairments = append(l.impairments, r)
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		if i := slices.Index(l.impairments, r); i >= 0 {
			l.impairments = slices.Delete(l.impairments, i, i+1)
		}
	}
}

func (l *links) counts() []PeerCount {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.sent)
}
