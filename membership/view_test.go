package membership

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
)

// fleet simulates shuffles among machines that all start with the same three seeds.
type fleet struct {
	random *rand.Rand
	views  map[string]*View
	down   map[string]bool
}

func newFleet(seed uint64, size int) *fleet {
	f := &fleet{random: rand.New(rand.NewPCG(seed, 9)), views: map[string]*View{}, down: map[string]bool{}}
	for i := range size {
		f.join(fmt.Sprint("m", i), i < 5)
	}
	return f
}

func (f *fleet) join(ip string, control bool) {
	f.views[ip] = NewView(Peer{IP: ip, Control: control}, f.random)
	for seed := range 3 {
		f.views[ip].AddPeer(Peer{IP: fmt.Sprint("m", seed), Control: true})
	}
}

// round lets each machine shuffle once; some datagrams are lost.
func (f *fleet) round() {
	for ip, v := range f.views {
		to, sample, ok := v.Shuffle()
		if !ok || f.down[ip] || f.down[to] || f.random.IntN(20) == 0 {
			continue
		}
		answer := f.views[to].HandleRequest(ip, sample)
		if f.random.IntN(20) > 0 {
			v.HandleReply(to, answer)
		}
	}
}

func TestViewsSpreadOverTheFleet(t *testing.T) {
	f := newFleet(1, 200)
	for range 40 {
		f.round()
	}
	knownBy := map[string]int{}
	for ip, v := range f.views {
		assert.Assert(t, len(v.peers) <= viewSize)
		assert.Assert(t, len(v.peers) >= viewSize/2, "%s knows %d", ip, len(v.peers))
		for _, p := range v.peers {
			assert.Assert(t, p.IP != ip)
			knownBy[p.IP]++
		}
	}
	for i := range 200 {
		n := knownBy[fmt.Sprint("m", i)]
		assert.Assert(t, n >= 3 && n <= 100, "m%d is known by %d", i, n)
	}
}

func TestStoppedMachinesAreRemoved(t *testing.T) {
	f := newFleet(2, 60)
	for range 20 {
		f.round()
	}
	for i := range 3 { // the seeds
		f.down[fmt.Sprint("m", i)] = true
	}
	for range 120 {
		f.round()
	}
	left := 0
	for ip, v := range f.views {
		if f.down[ip] {
			continue
		}
		for _, p := range v.peers {
			if f.down[p.IP] {
				left++
			}
		}
	}
	assert.Assert(t, left < 60, "%d entries of stopped machines", left)
}

func TestControlIsFoundThroughPeers(t *testing.T) {
	f := newFleet(3, 30)
	for range 30 {
		f.round()
	}
	v := f.views["m20"]
	control := 0
	for _, p := range v.peers {
		if p.Control {
			control++
		}
	}
	assert.Assert(t, control > 0)
}
