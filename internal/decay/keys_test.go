package decay

import (
	"fmt"
	"math"
	"testing"
)

func TestKeys(t *testing.T) {
	const span = int64(1e10)
	var k KeyCounts
	// A few events of a key must not count as evidence: hundreds of balancers took a key that they saw twice in twenty
	// requests for one that needs fifty servers.
	for i := range 20 {
		if got := k.Add(fmt.Sprint("key-", i/4), int64(i), span); got != 0 {
			t.Fatalf("event %d: fraction %.2f, want 0 so far", i, got)
		}
	}
	k = KeyCounts{}
	got := 0.0
	for i := range 10000 {
		key := fmt.Sprint("key-", i)
		if i%4 == 0 {
			key = "hot"
		}
		if x := k.Add(key, int64(i)*1e6, span); key == "hot" {
			got = x
		}
	}
	if got < 0.2 || got > 0.25 {
		t.Errorf("fraction %.3f for a key that has a quarter", got)
	}
	if n := k.all.Now(10000*1e6, span); n > 10000 {
		t.Errorf("count is %v, want it to decay", n)
	}
}

func TestMean(t *testing.T) {
	var m Mean
	for _, x := range []float64{1, 3, 5} {
		m.Add(x)
	}
	if m.Value != 3 {
		t.Errorf("got %v, want the mean of the values", m.Value)
	}
	for range 1000 {
		m.Add(7)
	}
	if math.Abs(m.Value-7) > 0.01 {
		t.Errorf("got %v, want it to follow the latest values", m.Value)
	}
	if Smooth(1, 3, false) != 3 || math.Abs(Smooth(1, 3, true)-1.2) > 1e-9 {
		t.Error("an unknown value was not replaced, or a known one was")
	}
}
