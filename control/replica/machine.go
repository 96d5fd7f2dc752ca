package replica

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"ivybank/wire"
)

// maxKeptSteps bounds the steps that a replica keeps to bring others up to date without sending the full state.
const maxKeptSteps = 64

// maxKeptStepBytes bounds the commands of these steps in bytes: all of them may go into one message, and each member
// holds them in memory.
const maxKeptStepBytes = 1 << 20

// Bounds on the steps, and on the bytes of their commands, that wait to be written to disk one by one.
const (
	maxUnsavedSteps = 1024
	maxUnsavedBytes = 1 << 20
)

// ErrGap reports a step that doesn't follow the entry before it.
var ErrGap = errors.New("replica: a step is missing")

// StateMachine is replicated state that commands advance from entry to entry. A follower's machine is at its newest
// entry; a leader's is at the newest committed one. Its methods are only called from the replica's event loop.
type StateMachine interface {
	// Apply advances to the next entry, which was made at a group time. The result must depend on nothing else.
	Apply(commands []byte, at time.Duration)
	// Snapshot returns the full state.
	Snapshot() []byte
	// SnapshotAfter returns the full state as it will be once further commands are applied; the machine itself
	// doesn't change.
	SnapshotAfter(commands []byte, at time.Duration) []byte
	// Restore replaces the state with a full one; nil is the empty state.
	Restore(value []byte) error
}

// Replay advances a machine from the empty state through the entries found on disk and returns the newest one. The
// first entry must be a full one.
func Replay(machine StateMachine, entries []*wire.Entry) (*wire.Entry, error) {
	var newest *wire.Entry
	for _, e := range entries {
		if !e.IsStep() {
			if err := machine.Restore(e.Value); err != nil {
				return nil, fmt.Errorf("replica: entry %v: %w", e.Position(), err)
			}
			newest = e
			continue
		}
		if newest == nil || newest.Position() != e.After {
			return nil, fmt.Errorf("%w: step %v is stored after entry %v", ErrGap, e.Position(), newest.Position())
		}
		machine.Apply(e.Commands, e.Time)
		newest = resolveStep(newest, e)
	}
	return newest, nil
}

// resolveStep returns a step as the entry that it leads to, with members and fleet filled in.
func resolveStep(before, step *wire.Entry) *wire.Entry {
	next := *step
	if next.Members == nil {
		next.Members = before.Members
	}
	next.Fleet = before.Fleet
	return &next
}

// toStep returns an entry in the form in which it is sent and stored where the entry before it is known.
func toStep(before, e *wire.Entry) *wire.Entry {
	step := *e
	if slices.Equal(before.Members, e.Members) {
		step.Members = nil
	}
	step.Fleet = 0
	return &step
}

// queueUnsaved queues an entry for the next Save. While a disk write hangs the queue keeps growing; beyond a bound
// the full state takes the place of the queued steps.
func (r *Replica) queueUnsaved(sent *wire.Entry) {
	if !sent.IsStep() {
		r.unsaved, r.saveFull = nil, false
	}
	if r.saveFull {
		return
	}
	r.unsaved = append(r.unsaved, sent)
	if len(r.unsaved) > maxUnsavedSteps || sent.IsStep() && commandBytes(r.unsaved) > maxUnsavedBytes {
		r.unsaved, r.saveFull = nil, true
	}
}

// takeUnsaved returns and clears the entries that lead from the last Save, or from a full entry, to the newest one.
func (r *Replica) takeUnsaved() []*wire.Entry {
	entries := r.unsaved
	if r.saveFull {
		entries = []*wire.Entry{r.fullEntry()}
	}
	r.unsaved, r.saveFull = nil, false
	return entries
}

// commandBytes returns the total size of the commands of entries, in bytes.
func commandBytes(entries []*wire.Entry) int {
	size := 0
	for _, e := range entries {
		size += len(e.Commands)
	}
	return size
}

// keepStep keeps a step so that others can be brought up to date with it.
func (r *Replica) keepStep(step *wire.Entry) {
	if len(r.steps) > 0 && r.steps[len(r.steps)-1].Position() != step.After {
		r.steps = nil
	}
	r.steps = append(r.steps, step)
	for len(r.steps) > maxKeptSteps || len(r.steps) > 1 && commandBytes(r.steps) > maxKeptStepBytes {
		r.steps = slices.Delete(r.steps, 0, 1)
	}
}

// stepsFrom returns the steps from an entry to the newest one; nil if they are not all kept.
func (r *Replica) stepsFrom(at Position) []*wire.Entry {
	for i, step := range r.steps {
		if step.After == at {
			return slices.Clone(r.steps[i:])
		}
	}
	return nil
}

// fullEntry returns the newest entry with the full state.
func (r *Replica) fullEntry() *wire.Entry {
	newest := r.state.Entry
	if r.machine == nil {
		return newest
	}
	if r.lastFull.Position() == newest.Position() {
		return r.lastFull
	}
	full := *newest
	full.After, full.Commands = Position{}, nil
	if r.unapplied != nil {
		full.Value = r.machine.SnapshotAfter(r.unapplied.Commands, r.unapplied.Time)
	} else {
		full.Value = r.machine.Snapshot()
	}
	r.lastFull = &full
	return r.lastFull
}

// applyNewest applies the newest entry to the machine of a leader, or of one that has just stepped down.
func (r *Replica) applyNewest() {
	if r.unapplied == nil {
		return
	}
	e := r.unapplied
	r.unapplied = nil
	r.machine.Apply(e.Commands, e.Time)
}

// takeFull has a follower accept an entry that replaces all before it.
func (r *Replica) takeFull(e *wire.Entry) {
	if r.machine != nil {
		if e.IsStep() || r.machine.Restore(e.Value) != nil {
			return // our processes never send one; it isn't stored, so it must not be acknowledged as stored
		}
		r.steps, r.lastFull = nil, nil
	}
	r.storeEntry(e, e)
}

// takeStep has a follower accept a step that follows its newest entry.
func (r *Replica) takeStep(step *wire.Entry) {
	if r.machine == nil || r.state.Entry == nil ||
		step.After != r.state.Entry.Position() || !step.After.Less(step.Position()) {
		return
	}
	r.machine.Apply(step.Commands, step.Time)
	r.keepStep(step)
	r.storeEntry(resolveStep(r.state.Entry, step), step)
}

// TakeFullSave returns a write of everything that has to be found after a restart, even if no write is pending.
func (r *Replica) TakeFullSave() *Save {
	s := r.TakeSave()
	if s == nil {
		s = &Save{Sequence: r.sequence, State: r.state}
	}
	s.EntryChanged, s.VoteChanged, s.Entries = r.state.Entry != nil, true, nil
	if s.EntryChanged {
		s.Entries = []*wire.Entry{r.fullEntry()}
	}
	return s
}
