package store

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ivybank/control/replica"
	"ivybank/wire"
)

const testParts = 3

// listMachine holds the concatenation of all commands applied to it.
type listMachine struct{ state []byte }

func (m *listMachine) Apply(commands []byte, _ time.Duration) { m.state = append(m.state, commands...) }
func (m *listMachine) Snapshot() []byte                       { return slices.Clone(m.state) }
func (m *listMachine) SnapshotAfter(commands []byte, _ time.Duration) []byte {
	return append(m.Snapshot(), commands...)
}

func (m *listMachine) Restore(value []byte) error {
	if bytes.HasPrefix(value, []byte("unreadable")) {
		return errors.New("unreadable")
	}
	m.state = slices.Clone(value)
	return nil
}

func newMachines() []replica.StateMachine {
	machines := make([]replica.StateMachine, testParts)
	for part := range machines {
		machines[part] = &listMachine{}
	}
	return machines
}

func founding() *wire.Entry {
	return replica.FoundingEntry([]wire.Member{{ID: "a", IP: "10.0.0.1"}}, nil)
}

// partState is one part as its process holds it.
type partState struct {
	disk    replica.PersistentState
	machine listMachine
}

// step advances a part by a command and returns what it has to write.
func (p *partState) step(command []byte) *replica.Save {
	before := p.disk.Entry
	next := &wire.Entry{Term: p.disk.Term, Index: before.Index + 1, After: before.Position(), Commands: command}
	p.machine.Apply(command, 0)
	newest := *next
	newest.Members, newest.Fleet = before.Members, before.Fleet
	p.disk.Entry = &newest
	return &replica.Save{State: p.disk, EntryChanged: true, Entries: []*wire.Entry{next}}
}

// vote moves a part to a new term.
func (p *partState) vote(votedFor string) *replica.Save {
	p.disk.Term, p.disk.VotedFor = p.disk.Term+1, votedFor
	return &replica.Save{State: p.disk, VoteChanged: true}
}

// full returns everything that a part has to find again.
func (p *partState) full() *replica.Save {
	e := *p.disk.Entry
	e.After, e.Commands, e.Value = replica.Position{}, nil, p.machine.Snapshot()
	return &replica.Save{State: p.disk, EntryChanged: true, VoteChanged: true, Entries: []*wire.Entry{&e}}
}

func (p *partState) clone() partState {
	return partState{disk: p.disk, machine: listMachine{p.machine.Snapshot()}}
}

// process is the state of all parts of one process.
type process []partState

func newProcess() process {
	p := make(process, testParts)
	for part := range p {
		p[part].disk.Entry = founding()
	}
	return p
}

func (p process) clone() process {
	c := make(process, len(p))
	for part := range p {
		c[part] = p[part].clone()
	}
	return c
}

func (p process) full() *PartsBatch {
	b := &PartsBatch{Full: true}
	for part := range p {
		b.Saves = append(b.Saves, PartSave{part, p[part].full()})
	}
	return b
}

// next advances some parts, and returns the batch.
func (p process) next(random *rand.Rand) *PartsBatch {
	b := &PartsBatch{}
	for part := range p {
		switch random.IntN(4) {
		case 0:
			b.Saves = append(b.Saves, PartSave{part, p[part].vote("b")})
		case 1, 2:
			command := make([]byte, 1+random.IntN(60))
			for i := range command {
				command[i] = byte(random.Uint32())
			}
			b.Saves = append(b.Saves, PartSave{part, p[part].step(command)})
		}
	}
	if len(b.Saves) == 0 {
		b.Saves = []PartSave{{0, p[0].vote("c")}}
	}
	return b
}

// loadProcess reads what a disk holds.
func loadProcess(f *DataDir) (process, error) { return loadWith(f, newMachines()) }

func loadWith(f *DataDir, machines []replica.StateMachine) (process, error) {
	disks, err := f.LoadParts(machines, founding())
	if err != nil {
		return nil, err
	}
	p := make(process, testParts)
	for part := range p {
		p[part] = partState{disk: disks[part], machine: *machines[part].(*listMachine)}
	}
	return p, nil
}

func (p process) String() (s string) {
	for part := range p {
		disk := p[part].disk
		s += fmt.Sprintf("[term %d for %s, entry %v]", disk.Term, disk.VotedFor, disk.Entry.Position())
	}
	return s
}

// equal compares what has to be found again.
func (p process) equal(q process) bool {
	for part := range p {
		a, b := &p[part], &q[part]
		same := a.disk.Term == b.disk.Term && a.disk.VotedFor == b.disk.VotedFor &&
			a.disk.Entry.Position() == b.disk.Entry.Position() && a.disk.Entry.Fleet == b.disk.Entry.Fleet &&
			slices.Equal(a.disk.Entry.Members, b.disk.Entry.Members) && bytes.Equal(a.machine.state, b.machine.state)
		if !same {
			return false
		}
	}
	return true
}

func mustSaveParts(t *testing.T, f *DataDir, b *PartsBatch) (wantsFull bool) {
	t.Helper()
	wantsFull, err := f.SaveParts(b)
	assert.NilError(t, err)
	return wantsFull
}

func loadedProcess(t *testing.T, f *DataDir) process {
	t.Helper()
	p, err := loadProcess(f)
	assert.NilError(t, err)
	return p
}

func journalPath(t *testing.T, dir string) string {
	t.Helper()
	names, err := filepath.Glob(filepath.Join(dir, partsKind+"-*"))
	assert.NilError(t, err)
	assert.Equal(t, len(names), 1)
	return names[0]
}

func TestPartsAreFoundAgain(t *testing.T) {
	path := t.TempDir()
	random := rand.New(rand.NewPCG(1, 7))
	p := newProcess()
	f := open(t, path)
	assert.Assert(t, loadedProcess(t, f).equal(p), "an empty disk holds the founding entry")
	for round := range 200 {
		mustSaveParts(t, f, p.next(random))
		if round%20 == 19 {
			mustSaveParts(t, f, p.full())
		}
		if round%7 == 6 {
			f = open(t, path)
			found := loadedProcess(t, f)
			assert.Assert(t, found.equal(p), "round %d", round)
			p = found
		}
	}
	journalPath(t, path)
}

func TestPartsOfAnEmptyDisk(t *testing.T) {
	disks, err := open(t, t.TempDir()).LoadParts(newMachines(), nil)
	assert.NilError(t, err)
	assert.DeepEqual(t, disks, make([]replica.PersistentState, testParts))
}

func TestPartsThatWereNotLoadedAreNotOverwritten(t *testing.T) {
	path := t.TempDir()
	p := newProcess()
	mustSaveParts(t, open(t, path), p.full())
	_, err := open(t, path).SaveParts(&PartsBatch{Saves: []PartSave{{0, p[0].vote("b")}}})
	assert.ErrorIs(t, err, errNotLoaded)
}

// If writing a full batch fails, the new file may already have its name, so only another full batch may follow.
func TestOnlyAFullBatchMayFollowAFailedFullBatch(t *testing.T) {
	d := newFaultyDisk(1)
	f := openDir(d)
	p := newProcess()
	mustSaveParts(t, f, p.full())
	d.opsLeft = 2 // written under a temporary name and renamed
	_, err := f.SaveParts(p.full())
	assert.ErrorIs(t, err, errPower)
	d.opsLeft = -1
	_, err = f.SaveParts(&PartsBatch{Saves: []PartSave{{0, p[0].vote("b")}}})
	assert.ErrorIs(t, err, errNeedsFullBatch)
	mustSaveParts(t, f, p.full())
	assert.Assert(t, loadedProcess(t, openDir(d)).equal(p))
}

func TestNewerEntryTermDropsAnOlderVote(t *testing.T) {
	f := open(t, t.TempDir())
	e := &wire.Entry{Term: 5, Index: 3}
	mustSaveParts(t, f, &PartsBatch{Saves: []PartSave{{0, &replica.Save{State: replica.PersistentState{Term: 4, VotedFor: "b", Entry: e}, Entries: []*wire.Entry{e}}}}})
	p := loadedProcess(t, f)
	assert.Equal(t, p[0].disk.Term, uint64(5))
	assert.Equal(t, p[0].disk.VotedFor, "")
}

func TestJournalAsksForAFullBatchOnceItHasGrown(t *testing.T) {
	for _, first := range []int{10, minRewriteSize} {
		f := open(t, t.TempDir())
		p := newProcess()
		p[0].step(make([]byte, first))
		assert.Assert(t, !mustSaveParts(t, f, p.full()))
		size := 0
		for !mustSaveParts(t, f, &PartsBatch{Saves: []PartSave{{0, p[0].step(make([]byte, 10_000))}}}) {
			size += 10_000
		}
		bound := max(minRewriteSize, (rewriteGrowthFactor-1)*first)
		assert.Assert(t, size > bound-50_000 && size < bound+50_000, "asked for after %d bytes", size)
		assert.Assert(t, !mustSaveParts(t, f, p.full()))
	}
}

// A nonexistent part, a step without the entry before it, an entry older than the one before it, and a state that the
// machine can't decode are corruption.
func TestInconsistentJournalIsCorrupt(t *testing.T) {
	full := &wire.Entry{Term: 2, Index: 5, Value: []byte("v")}
	for _, c := range []struct {
		part    int
		entries []*wire.Entry
		cause   error
	}{
		{testParts, []*wire.Entry{full}, errPart},
		{-1, []*wire.Entry{full}, errPart},
		{1, []*wire.Entry{{Term: 2, Index: 6, After: replica.Position{Term: 2, Index: 5}}}, replica.ErrGap},
		{1, []*wire.Entry{full, {Term: 2, Index: 4}}, errOrder},
		{1, []*wire.Entry{full, nil}, errOrder},
		{1, []*wire.Entry{full, {Term: 2, Index: 7, After: replica.Position{Term: 2, Index: 6}}}, replica.ErrGap},
		{1, []*wire.Entry{{Term: 2, Index: 5, Value: []byte("unreadable")}}, ErrCorrupt},
	} {
		f := open(t, t.TempDir())
		disk := replica.PersistentState{Term: 2}
		mustSaveParts(t, f, &PartsBatch{Saves: []PartSave{{c.part, &replica.Save{State: disk, Entries: c.entries}}}})
		machines := newMachines()
		_, err := loadWith(f, machines)
		assert.ErrorIs(t, err, ErrCorrupt)
		assert.ErrorIs(t, err, c.cause)
		assert.NilError(t, f.Quarantine())
		disks, err := f.LoadParts(machines, nil)
		assert.NilError(t, err)
		assert.DeepEqual(t, disks, make([]replica.PersistentState, testParts))
		for part, m := range machines {
			assert.Equal(t, len(m.Snapshot()), 0, "the machine of part %d is empty again", part)
		}
		mustSaveParts(t, f, newProcess().next(rand.New(rand.NewPCG(1, 1))))
	}
}

// smallJournal writes a journal of four frames and returns the offset of each, and the state saved by each.
func smallJournal(t *testing.T, path string) (starts []int, saved []process) {
	t.Helper()
	f := open(t, path)
	p := newProcess()
	for frame := range 4 {
		starts = append(starts, int(f.parts.length))
		if frame == 0 {
			mustSaveParts(t, f, p.full())
		} else {
			mustSaveParts(t, f, &PartsBatch{Saves: []PartSave{{1, p[1].vote("b")}, {2, p[2].step([]byte("command"))}}})
		}
		saved = append(saved, p.clone())
	}
	return starts, saved
}

// A changed byte in the last frame can't be distinguished from a torn write, which may have its full length.
func TestEveryFlippedByteOfAJournalIsDetected(t *testing.T) {
	path := t.TempDir()
	starts, saved := smallJournal(t, path)
	name := journalPath(t, path)
	data, err := os.ReadFile(name)
	assert.NilError(t, err)
	last := starts[len(starts)-1]
	for i := range data {
		for _, mask := range []byte{1, 0x80, 0xff} {
			corrupt := slices.Clone(data)
			corrupt[i] ^= mask
			assert.NilError(t, os.WriteFile(name, corrupt, filePerm))
			found, err := loadProcess(open(t, path))
			if i < last {
				assert.ErrorIs(t, err, ErrCorrupt, "byte %d", i)
				continue
			}
			assert.NilError(t, err, "byte %d", i)
			assert.Assert(t, found.equal(saved[len(saved)-2]), "byte %d", i)
		}
	}
}

// A torn frame is cut off, and what is written next is found again.
func TestTornTailIsCutOff(t *testing.T) {
	path := t.TempDir()
	starts, saved := smallJournal(t, path)
	name := journalPath(t, path)
	data, err := os.ReadFile(name)
	assert.NilError(t, err)
	last := starts[len(starts)-1]
	for end := range data {
		for _, zeros := range []bool{false, true} {
			torn := slices.Clone(data[:end])
			if zeros {
				torn = append(torn, make([]byte, len(data)-end)...)
			}
			assert.NilError(t, os.WriteFile(name, torn, filePerm))
			f := open(t, path)
			found, err := loadProcess(f)
			if end < starts[1] {
				assert.ErrorIs(t, err, ErrCorrupt, "the first frame was synced before the file got its name")
				continue
			}
			assert.NilError(t, err)
			complete := 0
			for complete+1 < len(starts) && starts[complete+1] <= end {
				complete++
			}
			assert.Assert(t, found.equal(saved[complete-1]), "%d of %d bytes", end, last)
			mustSaveParts(t, f, &PartsBatch{Saves: []PartSave{{0, found[0].vote("c")}}})
			assert.Assert(t, loadedProcess(t, open(t, path)).equal(found), "%d of %d bytes", end, last)
		}
	}
}

// A value may contain the bytes of a frame: at another offset they are not a valid frame.
func TestFrameBytesWithinAValueAreNotAFrame(t *testing.T) {
	path := t.TempDir()
	f := open(t, path)
	p := newProcess()
	mustSaveParts(t, f, p.full())
	saved := p.clone()
	body := []byte("body")
	value := binary.BigEndian.AppendUint64(slices.Clone(frameOf(body, 0)), 0)
	mustSaveParts(t, f, &PartsBatch{Saves: []PartSave{{0, p[0].step(value)}}})
	name := journalPath(t, path)
	data, err := os.ReadFile(name)
	assert.NilError(t, err)
	data[len(data)-1] ^= 1
	assert.NilError(t, os.WriteFile(name, data, filePerm))
	assert.Assert(t, loadedProcess(t, open(t, path)).equal(saved))
}
