package slowhost

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
	// interval is the time between samples of the whole fleet, which gives 20 samples a second from each host.
	interval = 1250 * time.Microsecond
)

// feed simulates streams of all hosts, each slower than usual by a factor. One sample in ten is from a host that is
// processing a long prompt.
func feed(t *Detector, random *rand.Rand, from, to time.Duration, factor func(host int) float64) {
	for now := from; now < to; now += interval {
		h := random.IntN(hosts)
		gap := float64(usualGap) * (0.9 + 0.2*random.Float64()) * factor(h)
		if random.IntN(10) == 0 {
			gap *= 8
		}
		t.Observe("s", fmt.Sprint(h), time.Duration(gap), now)
	}
}

func atUsualSpeed(int) float64 { return 1 }

func slowIDs(t *Detector, now time.Duration) map[string]float64 {
	found := map[string]float64{}
	for _, s := range t.Slow(now) {
		found[s.ID] = s.Ratio
	}
	return found
}

func TestSlowHostsAreFoundWithinASecondAndRecover(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	table := NewDetector()
	falsePositives := 0
	for now := time.Duration(0); now < 5*time.Second; now += 250 * time.Millisecond {
		feed(table, random, now, now+250*time.Millisecond, atUsualSpeed)
		falsePositives += len(table.Slow(now + 250*time.Millisecond))
	}
	assert.Assert(t, falsePositives <= 20*hosts/5, "%d of %d", falsePositives, 20*hosts)
	feed(table, random, 5*time.Second, 6*time.Second, func(h int) float64 {
		if h < 8 {
			return 3.2
		}
		return 1
	})
	found := slowIDs(table, 6*time.Second)
	for h := range 8 {
		assert.Assert(t, found[fmt.Sprint(h)] > 2, "host %d: %v", h, found)
	}
	feed(table, random, 6*time.Second, 8*time.Second, atUsualSpeed)
	stillSlow := slowIDs(table, 8*time.Second)
	assert.Assert(t, len(stillSlow) <= hosts/4, "%v", stillSlow)
}

func TestUniformlySlowServiceHasNoSlowHosts(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	table := NewDetector()
	feed(table, random, 0, 5*time.Second, func(int) float64 { return 4 })
	assert.Assert(t, len(table.Slow(5*time.Second)) <= hosts/4)
}

func TestHostsOfDifferentServicesAreNotCompared(t *testing.T) {
	table := NewDetector()
	for i := range 10 * minSamples {
		for h := range 8 {
			table.Observe("quick", fmt.Sprint("quick", h), usualGap, time.Duration(i))
			table.Observe("slow", fmt.Sprint("slow", h), 10*usualGap, time.Duration(i))
		}
	}
	assert.Equal(t, len(table.Slow(time.Second)), 0)
}

func TestSilentHostsAreRemoved(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 4))
	table := NewDetector()
	feed(table, random, 0, time.Second, atUsualSpeed)
	table.Slow(time.Second + 2*hostTTL)
	assert.Equal(t, len(table.hosts), 0)
}

func TestTooFewHostsAreNotCompared(t *testing.T) {
	table := NewDetector()
	for range 10 {
		table.Observe("s", "a", usualGap, 0)
		table.Observe("s", "b", usualGap, 0)
		table.Observe("s", "c", 9*usualGap, 0)
	}
	assert.Equal(t, len(table.Slow(0)), 0)
}
