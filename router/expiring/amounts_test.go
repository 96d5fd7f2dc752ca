package expiring

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const resolution = 10 * time.Millisecond

func TestAmountsExpireInOrder(t *testing.T) {
	var a Amounts
	a.Add(5, 300*time.Millisecond, resolution)
	a.Add(3, 100*time.Millisecond, resolution)
	a.Add(2, 200*time.Millisecond, resolution)
	a.Add(0, time.Hour, resolution)
	assert.Equal(t, a.Sum(), 10.0)
	until, ok := a.Take(4)
	assert.Assert(t, ok)
	assert.Equal(t, until, 100*time.Millisecond, "the lot that expires first is used first")
	assert.Equal(t, a.Sum(), 6.0)
	_, ok = a.Take(6.5)
	assert.Assert(t, !ok)
	assert.Equal(t, a.Sum(), 6.0, "a failed Take removes nothing")
	a.Expire(200 * time.Millisecond)
	assert.Equal(t, a.Sum(), 5.0)
	amount, until := a.TakeAll()
	assert.Equal(t, amount, 5.0)
	assert.Equal(t, until, 300*time.Millisecond)
	amount, _ = a.TakeAll()
	assert.Equal(t, amount, 0.0)
	_, ok = a.Take(0)
	assert.Assert(t, !ok, "empty")
}

// TestAmountsNeverOutliveTheirExpiry adds and takes at random: nothing is taken after its expiry time, and the
// resolution bounds the number of lots.
func TestAmountsNeverOutliveTheirExpiry(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	var a Amounts
	added, taken := map[time.Duration]float64{}, 0.0
	for now := time.Duration(0); now < 20*time.Second; now += time.Millisecond {
		a.Expire(now)
		until := now + time.Duration(1+random.IntN(500))*time.Millisecond
		a.Add(1, until, resolution)
		added[until]++
		if amount := float64(random.IntN(4)); amount > 0 {
			if first, ok := a.Take(amount); ok {
				taken += amount
				assert.Assert(t, first > now)
			}
		}
		assert.Assert(t, len(a) <= 60, "%d lots", len(a))
	}
	sum := 0.0
	for _, amount := range added {
		sum += amount
	}
	assert.Assert(t, taken <= sum && taken > sum/2, "%v of %v was taken", taken, sum)
	a.Expire(time.Hour)
	assert.Equal(t, a.Sum(), 0.0)
}
