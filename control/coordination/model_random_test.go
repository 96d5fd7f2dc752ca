package coordination

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"ivybank/wire"
)

const modelHistory = 10 * time.Second

// modelTest applies random entries to two replicas and to the model. Commands may be repeated at any later time.
type modelTest struct {
	first, second *StateMachine
	model         *model
	sent          []wire.Command
	fences        []uint64 // the fences granted so far
	now           time.Duration
}

func newModelTest() *modelTest {
	return &modelTest{
		first:  NewStateMachine(modelHistory),
		second: NewStateMachine(modelHistory),
		model:  newModel(modelHistory),
		fences: []uint64{1},
	}
}

func (tr *modelTest) drawCommand(t *rapid.T) wire.Command {
	if len(tr.sent) > 0 && rapid.IntRange(0, 3).Draw(t, "again") == 0 {
		return rapid.SampledFrom(tr.sent).Draw(t, "late")
	}
	c := tr.drawNew(t)
	tr.sent = append(tr.sent, c)
	return c
}

func (tr *modelTest) drawNew(t *rapid.T) wire.Command {
	lock := rapid.SampledFrom([]string{"l", "m", "o"})
	holder := rapid.SampledFrom([]string{"a", "b", "c"})
	fence := rapid.SampledFrom(tr.fences)
	key := rapid.SampledFrom([]string{"g.a", "g.b", "h.a", "g"})
	c := wire.Command{Kind: wire.CommandKind(rapid.IntRange(int(wire.BeginLock), int(wire.WatchGroup)).Draw(t, "kind"))}
	switch c.Kind {
	case wire.BeginLock, wire.HeartbeatLock, wire.FinishLock:
		c.Name = lock.Draw(t, "lock")
		c.Holder = holder.Draw(t, "holder")
		c.HoldMS = rapid.Int64Range(1, 5000).Draw(t, "hold")
		if c.Kind != wire.BeginLock {
			c.Fence = fence.Draw(t, "fence") + rapid.Uint64Range(0, 1).Draw(t, "above")
		}
	case wire.NextNumber:
		c.Name = rapid.SampledFrom([]string{"n", "o"}).Draw(t, "number")
	case wire.ReplaceKey:
		c.Name = key.Draw(t, "key")
		c.Value = rapid.StringMatching("[a-f]").Draw(t, "value")
		c.IfRevision = rapid.Ptr(rapid.Uint64Range(0, 8), true).Draw(t, "if revision")
	case wire.GetKey:
		c.Name = key.Draw(t, "key")
	case wire.WatchGroup:
		c.Name = rapid.SampledFrom([]string{"g.", "h.", "g", "i."}).Draw(t, "group")
		c.After = rapid.Uint64Range(0, 12).Draw(t, "after")
	}
	return c
}

// drawTime returns a group time that stands still, advances, jumps or goes back.
func (tr *modelTest) drawTime(t *rapid.T) time.Duration {
	step := rapid.SampledFrom([]time.Duration{0, 1, time.Second, 3 * time.Second, modelHistory, -time.Second})
	at := tr.now + step.Draw(t, "time")
	tr.now = max(tr.now, at)
	return at
}

// applyEntry applies some commands, and compares the answers with those of the model and the replicas with each other.
func (tr *modelTest) applyEntry(t *rapid.T) {
	at := tr.drawTime(t)
	commands := make([]wire.Command, rapid.IntRange(0, 4).Draw(t, "commands"))
	want := make([]wire.Answer, len(commands))
	for i := range commands {
		commands[i] = tr.drawCommand(t)
		want[i] = tr.model.apply(commands[i], at)
		if want[i].Fence > 0 {
			tr.fences = append(tr.fences, want[i].Fence)
		}
	}
	tr.model.now = tr.now
	before := tr.first.Snapshot()
	after := tr.first.SnapshotAfter(Encode(commands), at)
	assertSameBytes(t, tr.first.Snapshot(), before)
	tr.first.Apply(Encode(commands), at)
	tr.second.Apply(Encode(commands), at)
	assert.DeepEqual(t, tr.first.Answers, want)
	assert.DeepEqual(t, tr.second.Answers, want)
	assertSameBytes(t, tr.first.Snapshot(), after)
	assertSameBytes(t, tr.second.Snapshot(), after)
}

// restoreSecond replaces the second replica by one that is restored from a snapshot.
func (tr *modelTest) restoreSecond(t *rapid.T) {
	snapshot := tr.first.Snapshot()
	tr.second = NewStateMachine(modelHistory)
	assert.NilError(t, tr.second.Restore(snapshot))
	assertSameBytes(t, tr.second.Snapshot(), snapshot)
	assert.Equal(t, tr.second.keys.bytes, tr.first.keys.bytes)
	assert.Equal(t, tr.second.records.bytes, tr.first.records.bytes)
}

// compareTryAnswer compares the answer of TryAnswer with that of the model, and checks that it changes nothing.
func (tr *modelTest) compareTryAnswer(t *rapid.T) {
	c := tr.drawNew(t)
	later := rapid.SampledFrom([]time.Duration{0, time.Second, 5 * time.Second}).Draw(t, "later")
	before := tr.first.Snapshot()
	answer, ready := tr.first.TryAnswer(&c, tr.now+later)
	assertSameBytes(t, tr.first.Snapshot(), before)
	switch c.Kind {
	case wire.GetKey:
		assert.Assert(t, ready)
		assert.DeepEqual(t, answer, tr.model.get(c))
	case wire.WatchGroup:
		want := tr.model.watch(c)
		assert.Equal(t, ready, c.After == 0 || want.Outcome == wire.Compacted || len(want.Events) > 0)
		assert.DeepEqual(t, answer, want)
	case wire.BeginLock:
		hold := tr.model.held(c.Name)
		assert.Equal(t, ready, hold != nil && hold.holder != c.Holder && hold.until > tr.now+later)
	default:
		assert.Assert(t, !ready)
	}
	assert.Equal(t, tr.first.Revision("g."), tr.model.newestRevision("g."))
}

func (m *model) newestRevision(group string) uint64 {
	newest, _ := m.revision(group)
	return newest
}

func TestStateMatchesModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tr := newModelTest()
		t.Repeat(map[string]func(*rapid.T){
			"entry":   tr.applyEntry,
			"restore": tr.restoreSecond,
			"ask":     tr.compareTryAnswer,
		})
	})
}
