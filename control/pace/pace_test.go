package pace

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	hosts    = 40
	usualGap = 28 * time.Millisecond
	// interval is that between samples of the whole fleet: 20 a second from each host.
	interval = 1250 * time.Microsecond
)

// play has hosts stream, each slower than usual by a factor. One sample in ten is of a host that reads a long prompt.
func play(t *Table, random *rand.Rand, from, to time.Duration, factor func(host int) float64) {
	for now := from; now < to; now += interval {
		h := random.IntN(hosts)
		gap := float64(usualGap) * (0.9 + 0.2*random.Float64()) * factor(h)
		if random.IntN(10) == 0 {
			gap *= 8
		}
		t.Observe("s", fmt.Sprint(h), time.Duration(gap), now)
	}
}

func usually(int) float64 { return 1 }

func slowIDs(t *Table, now time.Duration) map[string]float64 {
	found := map[string]float64{}
	for _, s := range t.Slow(now) {
		found[s.ID] = s.Ratio
	}
	return found
}

func TestSlowHostsAreFoundWithinASecondAndForgiven(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	table := NewTable()
	wrong := 0
	for now := time.Duration(0); now < 5*time.Second; now += 250 * time.Millisecond {
		play(table, random, now, now+250*time.Millisecond, usually)
		wrong += len(table.Slow(now + 250*time.Millisecond))
	}
	assert.Assert(t, wrong <= 20*hosts/5, "%d of %d", wrong, 20*hosts)
	play(table, random, 5*time.Second, 6*time.Second, func(h int) float64 {
		if h < 8 {
			return 3.2
		}
		return 1
	})
	found := slowIDs(table, 6*time.Second)
	for h := range 8 {
		assert.Assert(t, found[fmt.Sprint(h)] > 2, "host %d: %v", h, found)
	}
	play(table, random, 6*time.Second, 8*time.Second, usually)
	forgiven := slowIDs(table, 8*time.Second)
	assert.Assert(t, len(forgiven) <= hosts/4, "%v", forgiven)
}

func TestAllSlowIsNoneSlow(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	table := NewTable()
	play(table, random, 0, 5*time.Second, func(int) float64 { return 4 })
	assert.Assert(t, len(table.Slow(5*time.Second)) <= hosts/4)
}

func TestServicesAreNotCompared(t *testing.T) {
	table := NewTable()
	for i := range 10 * leastSamples {
		for h := range 8 {
			table.Observe("quick", fmt.Sprint("quick", h), usualGap, time.Duration(i))
			table.Observe("slow", fmt.Sprint("slow", h), 10*usualGap, time.Duration(i))
		}
	}
	assert.Equal(t, len(table.Slow(time.Second)), 0)
}

func TestSilentHostsAreForgotten(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 4))
	table := NewTable()
	play(table, random, 0, time.Second, usually)
	table.Slow(time.Second + 2*fadeAfter)
	assert.Equal(t, len(table.hosts), 0)
}

func TestTooFewHostsAreNotCompared(t *testing.T) {
	table := NewTable()
	for range 10 {
		table.Observe("s", "a", usualGap, 0)
		table.Observe("s", "b", usualGap, 0)
		table.Observe("s", "c", 9*usualGap, 0)
	}
	assert.Equal(t, len(table.Slow(0)), 0)
}
