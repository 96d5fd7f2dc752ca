package lab

import (
	"testing"
	"time"

	"ivybank/conf"
)

// tenASecond is a limit of ten requests per second with a burst of three.
var tenASecond = conf.Limit{Name: "ten", Kind: "rate", Amount: 10, Burst: conf.Duration(300 * time.Millisecond)}

// arriving returns requests that were sent at the given times and took a fixed time to reach an emulated server.
func arriving(way time.Duration, asked ...time.Duration) (all []Arrival) {
	for _, at := range asked {
		all = append(all, Arrival{Asked: int64(at), At: int64(at + way)})
	}
	return all
}

// over returns by how many requests arrivals exceed tenASecond.
func over(all []Arrival) float64 { return JudgeLimit(all, tenASecond, 3, 0).Over }

// steadily returns n times at the limit's rate.
func steadily(n int) (all []time.Duration) {
	for i := range n {
		all = append(all, time.Duration(i)*100*time.Millisecond)
	}
	return all
}

func TestJudgeAllowsWhatALimitAllows(t *testing.T) {
	full := append(steadily(50), 0, 0) // a burst of three, and the limit's rate from then on
	if got := over(arriving(time.Millisecond, full...)); got > 0 {
		t.Errorf("over by %.2f with requests that were admitted at the limit", got)
	}
}

// One request above the limit is detected wherever it comes: the short delivery time does not hide it.
func TestJudgeSeesOneReqTooMany(t *testing.T) {
	for _, extra := range []time.Duration{0, 2 * time.Second, 4900 * time.Millisecond} {
		full := append(steadily(50), 0, 0, extra)
		if got := over(arriving(time.Millisecond, full...)); got < 0.9 {
			t.Errorf("over by %.2f with one more at %v, want about 1", got, extra)
		}
	}
}

// Requests that were admitted at the limit but delayed by a busy machine arrive together, which does not exceed the
// limit. Requests that were sent after the others had arrived cannot have been admitted with them, and do count as
// excess.
func TestJudgeKnowsHowLongReqsWereOnTheirWay(t *testing.T) {
	const stop = 2 * time.Second
	var held []Arrival
	for _, at := range steadily(50) {
		a := Arrival{Asked: int64(at), At: int64(at + time.Millisecond)}
		if at > stop-500*time.Millisecond && at <= stop {
			a.At = int64(stop + time.Millisecond) // all requests of half a second arrive at the same moment
		}
		held = append(held, a)
	}
	if got := over(held); got > 0 {
		t.Errorf("over by %.2f with requests that were delayed", got)
	}
	burst := arriving(time.Millisecond, stop+time.Millisecond, stop+time.Millisecond, stop+time.Millisecond, stop+time.Millisecond)
	if got := over(append(held, burst...)); got < 0.9 {
		t.Errorf("over by %.2f with four at once right after them, want 1 and more", got)
	}
}
