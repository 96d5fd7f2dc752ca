package coordination

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ivybank/control/replica"
	"ivybank/wire"
)

var _ replica.StateMachine = (*StateMachine)(nil)

// machineWithAllKinds returns a state machine that holds locks, numbers, keys, puts and a rejection.
func machineWithAllKinds() *StateMachine {
	m := NewStateMachine(testHistory)
	m.Apply(Encode([]wire.Command{
		begin("l", "a"), begin("m", "b"), number("n"), put("g.a", "1"), put("g.b", "2"), put("h.a", "3"),
		putIf("g.a", "x", 7), put("g.a", "4"),
	}), time.Second)
	return m
}

func TestEncodeNothing(t *testing.T) {
	assert.Assert(t, Encode(nil) == nil)
	assert.Assert(t, Encode([]wire.Command{}) == nil)
	m := machineWithAllKinds()
	m.Apply(nil, testHold+time.Second)
	assert.Equal(t, len(m.Answers), 0)
	assert.DeepEqual(t, applyOne(m.State, begin("l", "b"), 0), granted(3))
}

func TestMalformedCommandsChangeNothing(t *testing.T) {
	whole := Encode([]wire.Command{number("n")})
	for _, body := range [][]byte{
		{0xff}, {0x01}, []byte("text"), whole[:len(whole)-1], append(whole[:len(whole):len(whole)], 0), {0x81, 0x01},
		{0x9f, 0xff}, {0x9b, 0x7f, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff},
	} {
		m := machineWithAllKinds()
		before := m.Snapshot()
		m.Apply(body, time.Hour)
		assert.Equal(t, len(m.Answers), 0, "%x", body)
		assertSameBytes(t, m.Snapshot(), before)
		assertSameBytes(t, m.SnapshotAfter(body, time.Hour), before)
	}
}

func TestInvalidUTF8AffectsOneCommandOnly(t *testing.T) {
	m := NewStateMachine(testHistory)
	m.Apply(Encode([]wire.Command{number("\xff"), begin("l", "\xc0"), put("g.a", "\xfe"), number("n")}), 0)
	assert.DeepEqual(t, m.Answers, []wire.Answer{
		outcome(wire.Invalid), outcome(wire.Invalid), outcome(wire.Invalid), {Outcome: wire.Done, Number: 1},
	})
}

func TestAnswersAreNotReused(t *testing.T) {
	m := NewStateMachine(testHistory)
	m.Apply(Encode([]wire.Command{number("n")}), 0)
	first := m.Answers
	m.Apply(Encode([]wire.Command{number("n")}), 0)
	assert.Equal(t, first[0].Number, uint64(1))
	assert.Equal(t, m.Answers[0].Number, uint64(2))
}

func TestEventsInAnswerOutliveTheHistory(t *testing.T) {
	m := machineWithAllKinds()
	answer := applyOne(m.State, watch("g.", 1), 0)
	m.Apply(nil, 10*testHistory)
	assert.DeepEqual(t, answer.Events[0], wire.Change{Key: "g.b", Value: "2", Revision: 2})
}

func TestRestoreEmptyState(t *testing.T) {
	for _, body := range [][]byte{nil, {}, NewStateMachine(testHistory).Snapshot()} {
		m := machineWithAllKinds()
		state := m.State
		assert.NilError(t, m.Restore(body))
		assert.Assert(t, m.State == state)
		assertSameBytes(t, m.Snapshot(), NewStateMachine(testHistory).Snapshot())
		assert.Equal(t, len(m.Answers), 0)
	}
}

func TestRestoreRejectsMalformedSnapshots(t *testing.T) {
	for name, corrupt := range map[string]func(*snapshot){
		"negative time":               func(i *snapshot) { i.GroupTime = -1 },
		"duplicate lock":              func(i *snapshot) { i.Locks[1].Name = "l" },
		"lock without a name":         func(i *snapshot) { i.Locks[0].Name = "" },
		"lock without a holder":       func(i *snapshot) { i.Locks[0].Holder = "" },
		"expired lock":                func(i *snapshot) { i.Locks[0].Expires = i.GroupTime },
		"lock without a first fence":  func(i *snapshot) { i.Locks[0].FirstFence = 0 },
		"lock with decreasing fences": func(i *snapshot) { i.Locks[0].FirstFence = 2 },
		"lock above the last fence":   func(i *snapshot) { i.Fence = 1 },
		"numbers out of order":        func(i *snapshot) { i.Numbers = append(i.Numbers, snapshotNumber{Name: "m"}) },
		"groups out of order":         func(i *snapshot) { i.Groups[0].Name = "i." },
		"keys out of order":           func(i *snapshot) { i.Keys[0].Key = "i.a" },
		"key without a revision":      func(i *snapshot) { i.Keys[0].Revision = 0 },
		"key above its group":         func(i *snapshot) { i.Keys[0].Revision = 9 },
		"key without a group":         func(i *snapshot) { i.Keys[2].Key = "z.a" },
		"key with invalid UTF-8":      func(i *snapshot) { i.Keys[0].Value = "\xff" },
		"record in the future":        func(i *snapshot) { i.Records[4].At = i.GroupTime + 1 },
		"records out of order":        func(i *snapshot) { i.Records[1].At = 0 },
		"record without a key":        func(i *snapshot) { i.Records[3].Key = "" },
		"record with invalid UTF-8":   func(i *snapshot) { i.Records[0].Value = "\xff" },
		"duplicate record":            func(i *snapshot) { i.Records[3].Value = "1" },
		"missing record":              func(i *snapshot) { i.Records = append(i.Records[:1], i.Records[2:]...) },
		"missing newest record":       func(i *snapshot) { i.Records = i.Records[:4] },
		"record without a group":      func(i *snapshot) { i.Records[2].Key = "z.a" },
		"too many groups":             func(i *snapshot) { i.Groups = make([]snapshotGroup, MaxGroups+1) },
	} {
		m := machineWithAllKinds()
		before := m.Snapshot()
		corrupted := m.snapshot()
		corrupt(corrupted)
		assert.ErrorIs(t, m.Restore(encode(corrupted)), ErrMalformedSnapshot, name)
		assertSameBytes(t, m.Snapshot(), before)
	}
	m := machineWithAllKinds()
	body := m.Snapshot()
	for size := 1; size < len(body); size++ {
		assert.ErrorIs(t, m.Restore(body[:size]), ErrMalformedSnapshot)
	}
	assertSameBytes(t, m.Snapshot(), body)
}

func TestGroupBelongsToOnePart(t *testing.T) {
	const parts = 8
	counts := map[int]int{}
	for i := range 400 {
		group := fmt.Sprintf("g%d.", i)
		keys, others := put(group+"a", "1"), []wire.Command{get(group + "b"), get(group + "b.c"), watch(group, 0)}
		part := PartOf(&keys, parts)
		assert.Assert(t, part >= 0 && part < parts)
		for _, c := range others {
			assert.Equal(t, PartOf(&c, parts), part)
		}
		counts[part]++
	}
	for part := range parts {
		assert.Assert(t, counts[part] > 400/parts/2, "%v", counts)
	}
}

func TestLockBelongsToOnePart(t *testing.T) {
	calls := []wire.Command{begin("l", "a"), heartbeat("l", "b", 1), finish("l", "c", 2)}
	for _, c := range calls {
		assert.Equal(t, PartOf(&c, 1<<20), PartOf(&calls[0], 1<<20))
	}
	kinds := map[int]bool{}
	for _, c := range []wire.Command{begin("x", "a"), number("x"), get("x")} {
		kinds[PartOf(&c, 1<<20)] = true
	}
	assert.Equal(t, len(kinds), 3)
}

func FuzzRestore(f *testing.F) {
	f.Add(machineWithAllKinds().Snapshot(), Encode([]wire.Command{begin("l", "b"), put("g.a", "5"), watch("g.", 1)}))
	f.Add([]byte{}, []byte{0xff})
	f.Fuzz(func(t *testing.T, state, commands []byte) {
		m := NewStateMachine(testHistory)
		if m.Restore(state) != nil {
			return
		}
		snapshot := m.Snapshot()
		again := NewStateMachine(testHistory)
		assert.NilError(t, again.Restore(snapshot))
		m.Apply(commands, time.Hour)
		again.Apply(commands, time.Hour)
		assert.DeepEqual(t, m.Answers, again.Answers)
		assertSameBytes(t, m.Snapshot(), again.Snapshot())
	})
}

// busyMachine returns a state machine with as much state as a busy part has: several thousand records.
func busyMachine() *StateMachine {
	m := NewStateMachine(testHistory)
	for i := range 5000 {
		m.Apply(Encode([]wire.Command{
			put(fmt.Sprintf("g%d.%d", i%8, i%300), fmt.Sprintf("%016x", i)), begin(fmt.Sprint("l", i%80), "a"), number("n"),
		}), time.Duration(i)*time.Millisecond)
	}
	return m
}

func BenchmarkApply(b *testing.B) {
	m := busyMachine()
	at := m.groupTime
	for i := 0; b.Loop(); i++ {
		at += time.Millisecond
		m.Apply(Encode([]wire.Command{
			put("g1.1", fmt.Sprintf("new%d", i)), begin(fmt.Sprint("l", i%80), "a"), number("n"), get("g1.1"),
		}), at)
	}
}

func BenchmarkSnapshot(b *testing.B) {
	m := busyMachine()
	b.ReportMetric(float64(len(m.Snapshot())), "bytes")
	for b.Loop() {
		m.Snapshot()
	}
}

func BenchmarkSnapshotAfter(b *testing.B) {
	m := busyMachine()
	commands := Encode([]wire.Command{number("n")})
	for b.Loop() {
		m.SnapshotAfter(commands, m.groupTime)
	}
}

func BenchmarkRestore(b *testing.B) {
	m := busyMachine()
	body := m.Snapshot()
	for b.Loop() {
		if err := m.Restore(body); err != nil {
			b.Fatal(err)
		}
	}
}
