package policy

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func newHosts(n int) []Host {
	var all []Host
	for i := range n {
		all = append(all, Host{ID: fmt.Sprint("host-", i), Address: fmt.Sprintf("10.0.0.%d:80", i)})
	}
	return all
}

func newTestService(n int) *Service {
	s := NewService(1, nil)
	s.SetHosts(newHosts(n))
	return s
}

// send begins an attempt and ends it at once. It returns the ID of the chosen host.
func send(t *testing.T, s *Service, key string, o Outcome, now time.Duration) string {
	t.Helper()
	a, ok := s.Begin(Request{Key: key}, now)
	assert.Assert(t, ok)
	s.End(a, o, now)
	return a.Host.ID
}

func TestKeyIsSentToOneHost(t *testing.T) {
	s := newTestService(12)
	first := send(t, s, "key", Served, 0)
	for range 50 {
		assert.Equal(t, send(t, s, "key", Served, 0), first)
	}
}

func TestKeysSpreadEvenly(t *testing.T) {
	s, count := newTestService(10), map[string]int{}
	for i := range 10000 {
		count[send(t, s, fmt.Sprint(i), Served, 0)]++
	}
	for id, n := range count {
		assert.Assert(t, n > 800 && n < 1200, "%s has %d of 10000 keys", id, n)
	}
}

func TestConsecutiveFailuresEjectWithGrowingBackoff(t *testing.T) {
	s := newTestService(3)
	others := []string{"host-1", "host-2"}
	fail := func(now time.Duration) {
		a, ok := s.Begin(Request{Key: "key", Tried: others}, now)
		assert.Assert(t, ok)
		s.End(a, Failed, now)
	}
	h := s.hosts["host-0"]
	fail(0)
	assert.Assert(t, !h.IsEjected(0), "one failure does not eject")
	fail(0)
	first := h.EjectedUntil
	assert.Assert(t, first >= firstBackoff*8/10 && first <= firstBackoff*12/10, "ejected until %v", first)
	fail(first)
	second := h.EjectedUntil - first
	assert.Assert(t, second >= 2*firstBackoff*8/10 && second <= 2*firstBackoff*12/10, "second ejection of %v", second)
}

func TestOneTrialAfterEjection(t *testing.T) {
	s := newTestService(2)
	bad := s.hosts["host-0"]
	bad.Ejected, bad.EjectedUntil, bad.Streak = true, time.Second, 2
	now := 2 * time.Second
	trials := 0
	for i := range 40 {
		if a, _ := s.Begin(Request{Key: fmt.Sprint(i)}, now); a.Host.ID == "host-0" {
			trials++
		}
	}
	assert.Equal(t, trials, 1)
}

func TestRequestsSpreadEvenlyIfAllHostsAreEjected(t *testing.T) {
	s := newTestService(4)
	for _, h := range s.hosts {
		h.Ejected, h.EjectedUntil, h.Health = true, time.Hour, 0.05
	}
	s.hosts["host-1"].Health = 1
	count := map[string]int{}
	for i := range 4000 {
		count[send(t, s, fmt.Sprint(i), Withdrawn, 0)]++
	}
	for id, n := range count {
		assert.Assert(t, n > 850 && n < 1150, "%s has %d of 4000", id, n)
	}
}

func TestDrainingAndRemovedHostsAreNotChosen(t *testing.T) {
	s := newTestService(3)
	draining := newHosts(3)
	draining[0].Draining = true
	s.SetHosts(draining)
	s.SetHosts(newHosts(2)) // an older list must not undo the drain
	for i := range 100 {
		assert.Equal(t, send(t, s, fmt.Sprint(i), Served, 0), "host-1")
	}
}

func TestSilentHostIsSkipped(t *testing.T) {
	s := newTestService(2)
	a, _ := s.Begin(Request{Key: "key"}, 0)
	b, _ := s.Begin(Request{Key: "key"}, silenceTimeout+time.Millisecond)
	assert.Assert(t, a.Host.ID != b.Host.ID)
	s.RecordActivity(a, silenceTimeout+2*time.Millisecond)
	c, _ := s.Begin(Request{Key: "key"}, silenceTimeout+3*time.Millisecond)
	assert.Equal(t, c.Host.ID, a.Host.ID)
}

func TestRefusalIsNotAFailure(t *testing.T) {
	s := newTestService(2)
	full := send(t, s, "key", Refused, 0)
	assert.Equal(t, s.hosts[full].Health, 1.0)
	assert.Equal(t, send(t, s, "key", Refused, time.Millisecond), full, "the host keeps its prompt key")
	assert.Assert(t, !s.hosts[full].Ejected && s.hosts[full].Streak == 0)
	again, _ := s.Begin(Request{Key: "key", Tried: []string{full}}, time.Millisecond)
	assert.Assert(t, again.Host.ID != full, "the refused request goes to another host")
}

func TestCrowdedHostIsSkipped(t *testing.T) {
	s, count := newTestService(4), map[string]int{}
	for range 40 {
		a, _ := s.Begin(Request{Key: "hot"}, 0)
		count[a.Host.ID]++
	}
	for id, n := range count {
		assert.Assert(t, n < 40*3/4, "%s has %d of 40", id, n)
	}
}
