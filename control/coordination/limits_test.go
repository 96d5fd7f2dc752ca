package coordination

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"ivybank/wire"
)

func TestValidate(t *testing.T) {
	with := func(c wire.Command, change func(*wire.Command)) wire.Command {
		change(&c)
		return c
	}
	longest := strings.Repeat("n", MaxNameBytes)
	for _, c := range []wire.Command{
		begin(longest, strings.Repeat("h", MaxHolderBytes)),
		with(begin("l", "a"), func(c *wire.Command) { c.HoldMS = 1 }),
		with(begin("l", "a"), func(c *wire.Command) { c.HoldMS = MaxHold.Milliseconds() }),
		heartbeat("l", "a", 1), finish("l", "a", 1), number("n"), get("g"), put("g.a", ""),
		put("g.a", strings.Repeat("v", MaxValueBytes)), watch("g.", 0), watch("g", 0),
		with(watch("g.", 0), func(c *wire.Command) { c.WaitMS = 0 }),
		with(watch("g.", 0), func(c *wire.Command) { c.WaitMS = MaxWait.Milliseconds() }),
	} {
		assert.NilError(t, Validate(&c), "%+v", c)
	}
	for _, refused := range []struct {
		command wire.Command
		err     error
	}{
		{wire.Command{Name: "l"}, errKind},
		{wire.Command{Kind: wire.WatchGroup + 1, Name: "l"}, errKind},
		{number(""), errName},
		{number(longest + "n"), errName},
		{get("\xff"), errName},
		{begin("l", ""), errHolder},
		{finish("l", strings.Repeat("h", MaxHolderBytes+1), 1), errHolder},
		{heartbeat("l", "\xff", 1), errHolder},
		{with(begin("l", "a"), func(c *wire.Command) { c.HoldMS = 0 }), errHold},
		{with(heartbeat("l", "a", 1), func(c *wire.Command) { c.HoldMS = MaxHold.Milliseconds() + 1 }), errHold},
		{heartbeat("l", "a", 0), errFence},
		{finish("l", "a", 0), errFence},
		{put("g.a", strings.Repeat("v", MaxValueBytes+1)), errValue},
		{put("g.a", "\xff"), errValue},
		{watch("g.a", 0), errGroup},
		{with(watch("g.", 0), func(c *wire.Command) { c.WaitMS = -1 }), errWait},
		{with(watch("g.", 0), func(c *wire.Command) { c.WaitMS = MaxWait.Milliseconds() + 1 }), errWait},
	} {
		err := Validate(&refused.command)
		assert.ErrorIs(t, err, refused.err, "%+v", refused.command)
		assert.ErrorIs(t, err, ErrInvalid)
		s := New(testHistory)
		before := encode(s.snapshot())
		assert.DeepEqual(t, applyOne(s, refused.command, 0), outcome(wire.Invalid))
		assertSameBytes(t, encode(s.snapshot()), before)
	}
	assert.Assert(t, !errors.Is(errors.New("other"), ErrInvalid))
}

// assertSameBytes compares snapshots and reports only their sizes, as they can be large.
func assertSameBytes(t assert.TestingT, got, want []byte) {
	assert.Assert(t, bytes.Equal(got, want), "%d and %d bytes", len(got), len(want))
}

// applyUntilFull applies commands until one is answered Full, and returns how many were applied before. It checks that
// the command answered Full changes nothing.
func applyUntilFull(t *testing.T, s *State, command func(i int) wire.Command) int {
	t.Helper()
	for i := range MaxRecords + 1 {
		c := command(i)
		answer := applyOne(s, c, 0)
		if answer.Outcome != wire.Full {
			assert.Assert(t, answer.Outcome == wire.Done || answer.Outcome == wire.Mismatched, "%v", answer)
			continue
		}
		before := encode(s.snapshot())
		assert.DeepEqual(t, applyOne(s, c, 0), outcome(wire.Full))
		assertSameBytes(t, encode(s.snapshot()), before)
		return i
	}
	t.Fatal("no command was answered Full")
	return 0
}

func longName(i int) string { return fmt.Sprintf("%0*d", MaxNameBytes, i) }

func TestMaxLocks(t *testing.T) {
	s := New(testHistory)
	assert.Equal(t, applyUntilFull(t, s, func(i int) wire.Command { return begin(fmt.Sprint(i), "a") }), MaxLocks)
	assert.Equal(t, applyOne(s, begin("0", "a"), 1).Outcome, wire.Done)
	assert.Equal(t, applyOne(s, begin("0", "b"), 1).Outcome, wire.HeldByOther)
	assert.Equal(t, applyOne(s, begin("new", "a"), testHold).Outcome, wire.Done)
}

func TestMaxNumbers(t *testing.T) {
	s := New(testHistory)
	assert.Equal(t, applyUntilFull(t, s, func(i int) wire.Command { return number(fmt.Sprint(i)) }), MaxNumbers)
	assert.Equal(t, applyOne(s, number("0"), 0).Number, uint64(2))
}

func TestMaxGroups(t *testing.T) {
	s := New(testHistory)
	assert.Equal(t, applyUntilFull(t, s, func(i int) wire.Command { return put(fmt.Sprint(i, "."), "v") }), MaxGroups)
	assert.DeepEqual(t, applyOne(s, put("0.a", "v"), 0), revised(2))
}

func TestMaxKeys(t *testing.T) {
	s := New(testHistory)
	assert.Equal(t, applyUntilFull(t, s, func(i int) wire.Command { return put(fmt.Sprint("g.", i), "v") }), MaxKeys)
	assert.DeepEqual(t, applyOne(s, put("g.0", "w"), 0), revised(MaxKeys+1))
}

func TestMaxRecords(t *testing.T) {
	s := New(testHistory)
	assert.Equal(t, applyUntilFull(t, s, func(i int) wire.Command {
		return putIf("g.a", fmt.Sprint(i), uint64(i%2))
	}), MaxRecords)
	assert.DeepEqual(t, applyOne(s, put("g.a", "0"), 0), revised(1))
	assert.DeepEqual(t, applyOne(s, putIf("g.a", "2", 7), 0), mismatched(s.Revision("g.")))
	assert.Equal(t, applyOne(s, put("g.a", "new"), testHistory+1).Outcome, wire.Done)
}

func TestMaxTextBytes(t *testing.T) {
	s := New(testHistory)
	value := strings.Repeat("v", MaxValueBytes-10)
	done := applyUntilFull(t, s, func(i int) wire.Command { return put("g.a", fmt.Sprintf("%010d%s", i, value)) })
	assert.Assert(t, done > MaxTextBytes/(MaxValueBytes+100)-2 && done < MaxTextBytes/MaxValueBytes, "%d", done)
	assert.Equal(t, applyOne(s, put("g.a", "new"), testHistory+1).Outcome, wire.Done)
}

func TestMaxTextBytesCountsCurrentValues(t *testing.T) {
	s := New(testHistory)
	value := strings.Repeat("v", MaxValueBytes)
	done := applyUntilFull(t, s, func(i int) wire.Command { return put(fmt.Sprintf("g.%06d", i), value) })
	assert.Equal(t, done, MaxTextBytes/(2*(MaxValueBytes+len("g.000000"))))
	assert.DeepEqual(t, applyOne(s, get("g.000000"), 10*testHistory).Value, value)
}

// TestFullStateFitsIntoOneFrame fills locks, numbers, keys and records to their limits, with the longest names and all
// MaxTextBytes.
func TestFullStateFitsIntoOneFrame(t *testing.T) {
	m := NewStateMachine(testHistory)
	holder := strings.Repeat("h", MaxHolderBytes)
	applyUntilFull(t, m.State, func(i int) wire.Command { return begin(longName(i), holder) })
	applyUntilFull(t, m.State, func(i int) wire.Command { return number(longName(i)) })
	applyUntilFull(t, m.State, func(i int) wire.Command { return put(longName(i), "v") })
	applyUntilFull(t, m.State, func(i int) wire.Command { return putIf("g.", fmt.Sprint(i), 7) })
	body := m.Snapshot()
	assert.Assert(t, len(body) < wire.MaxFrame*7/8, "%d bytes", len(body))
	restored := NewStateMachine(testHistory)
	assert.NilError(t, restored.Restore(body))
	assertSameBytes(t, restored.Snapshot(), body)
}

func TestMaxEvents(t *testing.T) {
	s := New(testHistory)
	for i := range MaxEvents + 2 {
		applyOne(s, put("g.a", fmt.Sprint(i)), 0)
	}
	answer := applyOne(s, watch("g.", 1), 0)
	assert.Equal(t, len(answer.Events), MaxEvents)
	assert.Equal(t, answer.Revision, uint64(MaxEvents+1))
	answer = applyOne(s, watch("g.", answer.Revision), 0)
	assert.Equal(t, len(answer.Events), 1)
	assert.Equal(t, answer.Revision, uint64(MaxEvents+2))
}

func TestMaxEventBytes(t *testing.T) {
	s := New(testHistory)
	value := strings.Repeat("v", MaxValueBytes-10)
	for i := range 100 {
		applyOne(s, put("g.a", fmt.Sprintf("%010d%s", i, value)), 0)
	}
	answer := applyOne(s, watch("g.", 1), 0)
	assert.Equal(t, len(answer.Events), MaxEventBytes/(MaxValueBytes+len("g.a")))
	assert.Equal(t, answer.Revision, answer.Events[len(answer.Events)-1].Revision)
}
