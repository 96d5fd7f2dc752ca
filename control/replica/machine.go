package replica

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"ivybank/wire"
)

// stepsKept is for how many steps a replica can lead others on without the whole state.
const stepsKept = 64

// stepBytesKept bounds the commands of these steps: they may all go in one message, and each member holds them.
const stepBytesKept = 1 << 20

// mostUnsaved and mostUnsavedBytes bound the steps, and their commands, that wait to be written one by one.
const (
	mostUnsaved      = 1024
	mostUnsavedBytes = 1 << 20
)

// ErrGap says that a step doesn't follow the entry before it.
var ErrGap = errors.New("replica: a step is missing")

// Machine is a replicated state that commands lead on from entry to entry. Each replica's machine stands at its newest
// entry; a leader's stands at the newest one that is committed. Its methods belong to the replica's loop.
type Machine interface {
	// Apply leads on to the next entry, which was made at a moment of the group's time. It depends on nothing else.
	Apply(commands []byte, at time.Duration)
	// Snapshot gives the whole state.
	Snapshot() []byte
	// SnapshotAfter gives the whole state as it will be after further commands.
	SnapshotAfter(commands []byte, at time.Duration) []byte
	// Restore takes a whole state in place of the one before; nil is the empty one.
	Restore(value []byte) error
}

// Replay leads a machine from the empty state through what a disk has kept, and gives the newest entry. The first entry is
// whole.
func Replay(machine Machine, entries []*wire.Entry) (*wire.Entry, error) {
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
			return nil, fmt.Errorf("%w: %v follows %v", ErrGap, e.Position(), newest.Position())
		}
		machine.Apply(e.Commands, e.Time)
		newest = follow(newest, e)
	}
	return newest, nil
}

// follow gives a step as the entry that it leads to: with members and fleet.
func follow(before, step *wire.Entry) *wire.Entry {
	next := *step
	if next.Members == nil {
		next.Members = before.Members
	}
	next.Fleet = before.Fleet
	return &next
}

// stepOf gives an entry as it is sent and stored where the one before is known.
func stepOf(before, e *wire.Entry) *wire.Entry {
	step := *e
	if slices.Equal(before.Members, e.Members) {
		step.Members = nil
	}
	step.Fleet = 0
	return &step
}

// keepUnsaved remembers an entry for the next Save. While a disk stands still, more and more come: beyond a bound the whole
// state takes their place.
func (r *Replica) keepUnsaved(sent *wire.Entry) {
	if !sent.IsStep() {
		r.unsaved, r.saveWhole = nil, false
	}
	if r.saveWhole {
		return
	}
	r.unsaved = append(r.unsaved, sent)
	if len(r.unsaved) > mostUnsaved || sent.IsStep() && commandBytes(r.unsaved) > mostUnsavedBytes {
		r.unsaved, r.saveWhole = nil, true
	}
}

// takeUnsaved gives the entries that lead from the last Save, or from a whole entry, to the newest one.
func (r *Replica) takeUnsaved() []*wire.Entry {
	entries := r.unsaved
	if r.saveWhole {
		entries = []*wire.Entry{r.wholeEntry()}
	}
	r.unsaved, r.saveWhole = nil, false
	return entries
}

// commandBytes is the size of the commands of entries.
func commandBytes(entries []*wire.Entry) int {
	size := 0
	for _, e := range entries {
		size += len(e.Commands)
	}
	return size
}

// keepStep remembers a step so that others can be led on by it.
func (r *Replica) keepStep(step *wire.Entry) {
	if len(r.steps) > 0 && r.steps[len(r.steps)-1].Position() != step.After {
		r.steps = nil
	}
	r.steps = append(r.steps, step)
	for len(r.steps) > stepsKept || len(r.steps) > 1 && commandBytes(r.steps) > stepBytesKept {
		r.steps = slices.Delete(r.steps, 0, 1)
	}
}

// stepsFrom gives the steps from an entry to the newest one; nil where they aren't known.
func (r *Replica) stepsFrom(at Position) []*wire.Entry {
	for i, step := range r.steps {
		if step.After == at {
			return slices.Clone(r.steps[i:])
		}
	}
	return nil
}

// wholeEntry gives the newest entry with the whole state.
func (r *Replica) wholeEntry() *wire.Entry {
	newest := r.disk.Entry
	if r.machine == nil {
		return newest
	}
	if r.whole.Position() == newest.Position() {
		return r.whole
	}
	whole := *newest
	whole.After, whole.Commands = Position{}, nil
	if r.unapplied != nil {
		whole.Value = r.machine.SnapshotAfter(r.unapplied.Commands, r.unapplied.Time)
	} else {
		whole.Value = r.machine.Snapshot()
	}
	r.whole = &whole
	return r.whole
}

// applyNewest brings the machine of a leader, or of one that has just ceased to be one, to its newest entry.
func (r *Replica) applyNewest() {
	if r.unapplied == nil {
		return
	}
	e := r.unapplied
	r.unapplied = nil
	r.machine.Apply(e.Commands, e.Time)
}

// takeWhole has a follower take an entry that replaces all before it.
func (r *Replica) takeWhole(e *wire.Entry) {
	if r.machine != nil {
		if e.IsStep() || r.machine.Restore(e.Value) != nil {
			return // no process of ours sends one: it isn't stored, so it isn't told as stored
		}
		r.steps, r.whole = nil, nil
	}
	r.storeEntry(e, e)
}

// takeStep has a follower take an entry that follows its newest one.
func (r *Replica) takeStep(step *wire.Entry) {
	if r.machine == nil || r.disk.Entry == nil || step.After != r.disk.Entry.Position() || !step.After.Less(step.Position()) {
		return
	}
	r.machine.Apply(step.Commands, step.Time)
	r.keepStep(step)
	r.storeEntry(follow(r.disk.Entry, step), step)
}

// TakeWholeSave hands out a write of all that there is to find again after a restart, where there is something.
func (r *Replica) TakeWholeSave() *Save {
	s := r.TakeSave()
	if s == nil {
		s = &Save{Sequence: r.sequence, Disk: r.disk}
	}
	s.EntryChanged, s.VoteChanged, s.Entries = r.disk.Entry != nil, true, nil
	if s.EntryChanged {
		s.Entries = []*wire.Entry{r.wholeEntry()}
	}
	return s
}
