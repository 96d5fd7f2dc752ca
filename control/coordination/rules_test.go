package coordination

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ivybank/wire"
)

const (
	testHistory = 60 * time.Second
	testHold    = 3 * time.Second
)

func begin(name, holder string) wire.Command {
	return wire.Command{Kind: wire.BeginLock, Name: name, Holder: holder, HoldMS: testHold.Milliseconds()}
}

func heartbeat(name, holder string, fence uint64) wire.Command {
	return wire.Command{
		Kind: wire.HeartbeatLock, Name: name, Holder: holder, Fence: fence, HoldMS: testHold.Milliseconds(),
	}
}

func finish(name, holder string, fence uint64) wire.Command {
	return wire.Command{Kind: wire.FinishLock, Name: name, Holder: holder, Fence: fence}
}

func number(name string) wire.Command { return wire.Command{Kind: wire.NextNumber, Name: name} }

func put(key, value string) wire.Command {
	return wire.Command{Kind: wire.ReplaceKey, Name: key, Value: value}
}

func putIf(key, value string, revision uint64) wire.Command {
	c := put(key, value)
	c.IfRevision = &revision
	return c
}

func get(key string) wire.Command { return wire.Command{Kind: wire.GetKey, Name: key} }

func watch(group string, after uint64) wire.Command {
	return wire.Command{Kind: wire.WatchGroup, Name: group, After: after, WaitMS: 2000}
}

// applyOne applies one command and returns its answer.
func applyOne(s *State, c wire.Command, at time.Duration) wire.Answer {
	return s.Apply([]wire.Command{c}, at)[0]
}

func done() wire.Answer                  { return wire.Answer{Outcome: wire.Done} }
func outcome(o wire.Outcome) wire.Answer { return wire.Answer{Outcome: o} }
func granted(fence uint64) wire.Answer   { return wire.Answer{Outcome: wire.Done, Fence: fence} }
func revised(revision uint64) wire.Answer {
	return wire.Answer{Outcome: wire.Done, Revision: revision}
}
func mismatched(revision uint64) wire.Answer {
	return wire.Answer{Outcome: wire.Mismatched, Revision: revision}
}

func TestLockHasOneHolder(t *testing.T) {
	s := New(testHistory)
	assert.DeepEqual(t, applyOne(s, begin("l", "a"), 0), granted(1))
	assert.DeepEqual(t, applyOne(s, begin("l", "b"), testHold-1), outcome(wire.HeldByOther))
	assert.DeepEqual(t, applyOne(s, begin("l", "b"), testHold), granted(2))
	assert.DeepEqual(t, applyOne(s, begin("other", "a"), testHold), granted(3))
	assert.DeepEqual(t, applyOne(s, heartbeat("l", "a", 1), testHold), outcome(wire.LockLost))
	assert.DeepEqual(t, applyOne(s, finish("l", "a", 1), testHold), done())
	assert.DeepEqual(t, applyOne(s, begin("l", "a"), testHold), outcome(wire.HeldByOther))
}

func TestLateFinishReleasesNothing(t *testing.T) {
	s := New(testHistory)
	assert.DeepEqual(t, applyOne(s, begin("l", "a"), 0), granted(1))
	assert.DeepEqual(t, applyOne(s, begin("l", "a"), 1), granted(2))
	assert.DeepEqual(t, applyOne(s, finish("l", "a", 1), 2), done())
	assert.DeepEqual(t, applyOne(s, begin("l", "b"), 2), outcome(wire.HeldByOther))
	assert.DeepEqual(t, applyOne(s, finish("l", "a", 3), 2), done())
	assert.DeepEqual(t, applyOne(s, begin("l", "b"), 2), outcome(wire.HeldByOther))
	assert.DeepEqual(t, applyOne(s, finish("l", "b", 2), 2), done())
	assert.DeepEqual(t, applyOne(s, begin("l", "b"), 2), outcome(wire.HeldByOther))
	assert.DeepEqual(t, applyOne(s, finish("l", "a", 2), 2), done())
	assert.DeepEqual(t, applyOne(s, begin("l", "b"), 2), granted(3))
}

func TestHeartbeatNeedsFenceOfCurrentHold(t *testing.T) {
	s := New(testHistory)
	applyOne(s, begin("l", "a"), 0)
	assert.DeepEqual(t, applyOne(s, begin("l", "a"), 1), granted(2))
	assert.DeepEqual(t, applyOne(s, heartbeat("l", "a", 1), 2), done())
	assert.DeepEqual(t, applyOne(s, heartbeat("l", "a", 3), 2), outcome(wire.LockLost))
	assert.DeepEqual(t, applyOne(s, finish("l", "a", 2), 3), done())
	assert.DeepEqual(t, applyOne(s, begin("l", "b"), 3), granted(3))
	assert.DeepEqual(t, applyOne(s, finish("l", "b", 3), 3), done())
	assert.DeepEqual(t, applyOne(s, begin("l", "a"), 3), granted(4))
	assert.DeepEqual(t, applyOne(s, heartbeat("l", "a", 2), 4), outcome(wire.LockLost))
	assert.DeepEqual(t, applyOne(s, heartbeat("l", "a", 4), 4), done())
}

func TestHeartbeatNeverShortensHold(t *testing.T) {
	s := New(testHistory)
	long := begin("l", "a")
	long.HoldMS = 2 * testHold.Milliseconds()
	applyOne(s, long, 0)
	assert.DeepEqual(t, applyOne(s, heartbeat("l", "a", 1), 1), done())
	assert.DeepEqual(t, applyOne(s, begin("l", "a"), 1), granted(2))
	assert.DeepEqual(t, applyOne(s, begin("l", "b"), 2*testHold-1), outcome(wire.HeldByOther))
	assert.DeepEqual(t, applyOne(s, heartbeat("l", "a", 2), 2*testHold), outcome(wire.LockLost))
	assert.DeepEqual(t, applyOne(s, begin("l", "b"), 2*testHold), granted(3))
}

func TestExtendedLockDoesNotDelayExpiryOfOthers(t *testing.T) {
	s := New(testHistory)
	applyOne(s, begin("l", "a"), 0)
	applyOne(s, begin("m", "a"), 1)
	applyOne(s, heartbeat("l", "a", 1), 2)
	assert.DeepEqual(t, applyOne(s, begin("m", "b"), testHold+1), granted(3))
	assert.DeepEqual(t, applyOne(s, begin("l", "b"), testHold+1), outcome(wire.HeldByOther))
	assert.DeepEqual(t, applyOne(s, begin("l", "b"), testHold+2), granted(4))
}

func TestGroupTimeNeverDecreases(t *testing.T) {
	s := New(testHistory)
	applyOne(s, begin("l", "a"), testHold)
	assert.DeepEqual(t, applyOne(s, begin("m", "a"), 0), granted(2))
	assert.DeepEqual(t, applyOne(s, begin("m", "b"), 2*testHold-1), outcome(wire.HeldByOther))
}

func TestExpiredLocksAreRemoved(t *testing.T) {
	s := New(testHistory)
	for i := range 100 {
		applyOne(s, begin(fmt.Sprint(i), "a"), time.Duration(i))
	}
	assert.Equal(t, len(s.locks.byName), 100)
	s.Apply(nil, testHold+49)
	assert.Equal(t, len(s.locks.byName), 50)
	s.Apply(nil, testHold+99)
	assert.Equal(t, len(s.locks.byName)+len(s.locks.byExpiry), 0)
}

func TestNumbersIncrease(t *testing.T) {
	s := New(testHistory)
	for i := range uint64(3) {
		assert.DeepEqual(t, applyOne(s, number("n"), 0), wire.Answer{Outcome: wire.Done, Number: i + 1})
	}
	assert.DeepEqual(t, applyOne(s, number("m"), 0), wire.Answer{Outcome: wire.Done, Number: 1})
}

func TestRevisionsIncreaseWithinGroup(t *testing.T) {
	s := New(testHistory)
	assert.DeepEqual(t, applyOne(s, put("g.a", "1"), 0), revised(1))
	assert.DeepEqual(t, applyOne(s, putIf("g.b", "2", 0), 0), revised(2))
	assert.DeepEqual(t, applyOne(s, putIf("g.b", "3", 2), 0), revised(3))
	assert.DeepEqual(t, applyOne(s, put("h.a", "4"), 0), revised(1))
	assert.DeepEqual(t, applyOne(s, put("g", "5"), 0), revised(1))
	assert.DeepEqual(t, applyOne(s, putIf("g.b", "6", 2), 0), mismatched(3))
	assert.DeepEqual(t, applyOne(s, putIf("g.a", "7", 0), 0), mismatched(1))
	assert.DeepEqual(t, applyOne(s, putIf("g.c", "8", 1), 0), mismatched(0))
	assert.Equal(t, s.Revision("g."), uint64(3))
	assert.Equal(t, s.Revision("nobody."), uint64(0))
}

func TestWatchReturnsEventsInOrder(t *testing.T) {
	s := New(testHistory)
	applyOne(s, put("g.a", "1"), 0)
	applyOne(s, put("g.b", "2"), 0)
	applyOne(s, put("h.a", "3"), 0)
	applyOne(s, put("g.a", "4"), 0)
	answer, ready := s.TryAnswer(ptr(watch("g.", 1)), 0)
	assert.Assert(t, ready)
	assert.DeepEqual(t, answer, wire.Answer{Outcome: wire.Done, Revision: 3, Events: []wire.Change{
		{Key: "g.b", Value: "2", Revision: 2},
		{Key: "g.a", Value: "4", Revision: 3},
	}})
	answer, ready = s.TryAnswer(ptr(watch("g.", 0)), 0)
	assert.Assert(t, ready)
	assert.DeepEqual(t, answer, revised(3))
	answer, ready = s.TryAnswer(ptr(watch("g.", 3)), 0)
	assert.Assert(t, !ready)
	assert.DeepEqual(t, answer, revised(3))
	_, ready = s.TryAnswer(ptr(watch("nobody.", 1)), 0)
	assert.Assert(t, !ready)
}

func TestGetReturnsNewestPut(t *testing.T) {
	s := New(testHistory)
	assert.DeepEqual(t, applyOne(s, get("g.a"), 0), outcome(wire.NotFound))
	applyOne(s, put("g.a", "1"), 0)
	applyOne(s, put("g.b", "2"), 0)
	answer, ready := s.TryAnswer(ptr(get("g.b")), 0)
	assert.Assert(t, ready)
	assert.DeepEqual(t, answer, wire.Answer{Outcome: wire.Done, Value: "2", Revision: 2})
}

func TestRepeatedPutKeepsItsRevision(t *testing.T) {
	s := New(testHistory)
	applyOne(s, put("g.a", "1"), 0)
	applyOne(s, putIf("g.a", "2", 1), 0)
	applyOne(s, put("g.a", "3"), 0)
	assert.DeepEqual(t, applyOne(s, put("g.a", "1"), testHistory), revised(1))
	assert.DeepEqual(t, applyOne(s, putIf("g.a", "2", 1), testHistory), revised(2))
	assert.DeepEqual(t, applyOne(s, putIf("g.a", "2", 3), testHistory), revised(2))
	assert.DeepEqual(t, applyOne(s, put("g.a", "3"), 10*testHistory), revised(3))
	assert.DeepEqual(t, applyOne(s, get("g.a"), 0), wire.Answer{Outcome: wire.Done, Value: "3", Revision: 3})
	assert.Equal(t, s.Revision("g."), uint64(3))
}

func TestRejectedPutNeverSucceeds(t *testing.T) {
	s := New(testHistory)
	applyOne(s, put("g.a", "1"), 0)
	assert.DeepEqual(t, applyOne(s, putIf("g.a", "x", 2), 0), mismatched(1))
	applyOne(s, put("g.a", "2"), 0)
	assert.DeepEqual(t, applyOne(s, putIf("g.a", "x", 2), testHistory), mismatched(2))
	assert.DeepEqual(t, applyOne(s, put("g.a", "x"), testHistory), mismatched(2))
	assert.DeepEqual(t, applyOne(s, get("g.a"), testHistory), wire.Answer{Outcome: wire.Done, Value: "2", Revision: 2})
}

func TestWatchBeyondHistoryIsCompacted(t *testing.T) {
	s := New(testHistory)
	for i := range 4 {
		applyOne(s, put("g.a", fmt.Sprint(i)), time.Duration(i)*time.Second)
	}
	s.Apply(nil, testHistory+2*time.Second)
	assert.DeepEqual(t, applyOne(s, watch("g.", 1), 0), outcome(wire.Compacted))
	assert.DeepEqual(t, applyOne(s, watch("g.", 0), 0), revised(4))
	assert.Equal(t, len(applyOne(s, watch("g.", 2), 0).Events), 2)
	s.Apply(nil, 10*testHistory)
	assert.DeepEqual(t, applyOne(s, watch("g.", 3), 0), outcome(wire.Compacted))
	assert.DeepEqual(t, applyOne(s, watch("g.", 4), 0), revised(4))
	assert.Equal(t, len(s.records.queue)+len(s.records.byKeyValue)+s.records.bytes, 0)
}

func TestRestoreLosesNothing(t *testing.T) {
	m := NewStateMachine(testHistory)
	m.Apply(Encode([]wire.Command{
		begin("l", "a"), begin("l", "a"), number("n"), put("g.a", "1"), put("g.a", "2"), putIf("g.a", "x", 1),
	}), 5)
	restored := NewStateMachine(testHistory)
	assert.NilError(t, restored.Restore(m.Snapshot()))
	assertSameBytes(t, restored.Snapshot(), m.Snapshot())
	again := []wire.Command{
		heartbeat("l", "a", 1), begin("l", "b"), number("n"), put("g.a", "1"), watch("g.", 1), putIf("g.a", "x", 2),
	}
	m.Apply(Encode(again), 6)
	restored.Apply(Encode(again), 6)
	assert.DeepEqual(t, restored.Answers, m.Answers)
	assert.DeepEqual(t, m.Answers, []wire.Answer{
		done(), outcome(wire.HeldByOther), {Outcome: wire.Done, Number: 2}, revised(1),
		{Outcome: wire.Done, Revision: 2, Events: []wire.Change{{Key: "g.a", Value: "2", Revision: 2}}}, mismatched(2),
	})
}

func TestTryAnswer(t *testing.T) {
	s := New(testHistory)
	applyOne(s, begin("l", "a"), 0)
	answer, ready := s.TryAnswer(ptr(begin("l", "b")), testHold-1)
	assert.Assert(t, ready)
	assert.DeepEqual(t, answer, outcome(wire.HeldByOther))
	answer, ready = s.TryAnswer(ptr(begin("l", "")), 0)
	assert.Assert(t, ready)
	assert.DeepEqual(t, answer, outcome(wire.Invalid))
	for _, c := range []wire.Command{
		begin("l", "a"), heartbeat("l", "b", 1), finish("l", "b", 1), number("n"), put("g.a", "1"), begin("free", "b"),
	} {
		_, ready := s.TryAnswer(&c, 0)
		assert.Assert(t, !ready, "%+v", c)
	}
	_, ready = s.TryAnswer(ptr(begin("l", "b")), testHold)
	assert.Assert(t, !ready)
}

func ptr[T any](value T) *T { return &value }
