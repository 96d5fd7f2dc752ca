package store

import (
	"errors"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"ivybank/control/replica"
	"ivybank/wire"
)

var errPower = errors.New("power lost")

var (
	errNoSpace  = errors.New("no space left")
	errIO       = errors.New("input/output error")
	errNotExist = errors.New("no such file")
)

// faultyDisk is a directory that loses power or fails after a number of operations. Files created, renamed or removed
// since the last directory sync are lost or kept, each independently. A file keeps what its last sync covered; later
// writes are present, missing or torn.
type faultyDisk struct {
	random    *rand.Rand
	content   map[string]*diskFile // as a running process sees it
	durable   map[string]*diskFile // as of the last directory sync
	changed   []change             // changes of names since then
	opsLeft   int                  // operations until the power fails; never if below 0
	noSpace   bool
	failOneIn int // one operation in so many fails while the power stays on; 0 for none
}

// diskFile is a file's content, independent of its name.
type diskFile struct {
	content  []byte // as a running process sees it
	synced   []byte
	unsynced []unsyncedWrite // writes since its last sync
}

// unsyncedWrite writes data at an offset, or truncates the file to it.
type unsyncedWrite struct {
	at       int
	data     []byte
	truncate bool
}

type change struct {
	from, to string // to is "" for a removal, from is "" for a new file
	file     *diskFile
}

func newFaultyDisk(seed uint64) *faultyDisk {
	return &faultyDisk{random: rand.New(rand.NewPCG(seed, 5)), content: map[string]*diskFile{}, durable: map[string]*diskFile{}, opsLeft: -1}
}

func (d *faultyDisk) beginOp() error {
	if d.opsLeft == 0 {
		return errPower
	}
	d.opsLeft--
	if d.failOneIn > 0 && d.random.IntN(d.failOneIn) == 0 {
		return errIO
	}
	return nil
}

func (f *diskFile) put(w unsyncedWrite) {
	f.content = w.applyTo(f.content)
	f.unsynced = append(f.unsynced, w)
}

// applyTo returns a file's content after the write.
func (w unsyncedWrite) applyTo(content []byte) []byte {
	changed := make([]byte, max(len(content), w.at+len(w.data)))
	copy(changed, content)
	copy(changed[w.at:], w.data)
	if w.truncate {
		changed = changed[:w.at]
	}
	return changed
}

func (f *diskFile) sync() { f.synced, f.unsynced = f.content, nil }

// losePower reduces the file to a content that it may have after a power loss.
func (f *diskFile) losePower(random *rand.Rand) {
	allGone := random.IntN(4) == 0
	for _, w := range f.unsynced {
		switch random.IntN(3) {
		case 0: // missing
			continue
		case 1:
			w.data = torn(random, w.data)
		}
		if !allGone {
			f.synced = w.applyTo(f.synced)
		}
	}
	f.content, f.unsynced = f.synced, nil
}

// torn returns part of a write: cut short, or with a range of zeros.
func torn(random *rand.Rand, data []byte) []byte {
	at, end := random.IntN(len(data)+1), random.IntN(len(data)+1)
	if random.IntN(2) == 0 {
		return data[:at]
	}
	data = slices.Clone(data)
	clear(data[min(at, end):max(at, end)])
	return data
}

func (d *faultyDisk) write(name string, data []byte) error {
	file := &diskFile{}
	d.content[name] = file
	d.changed = append(d.changed, change{to: name, file: file})
	if err := d.writeSynced(file, data); err != nil {
		return err
	}
	d.durable[name] = file // a new file is durable once it is synced itself
	return nil
}

func (d *faultyDisk) append(name string, data []byte) error {
	file, ok := d.content[name]
	if !ok {
		return errNotExist
	}
	return d.writeSynced(file, data)
}

// writeSynced writes part of the data and fails, or writes and syncs all of it.
func (d *faultyDisk) writeSynced(file *diskFile, data []byte) error {
	err := d.beginOp()
	if d.noSpace {
		err = errNoSpace
	}
	if err != nil {
		written := len(data) - d.random.IntN(len(data)+1)*d.random.IntN(2)
		file.put(unsyncedWrite{at: len(file.content), data: data[:written]})
		return err
	}
	file.put(unsyncedWrite{at: len(file.content), data: data})
	file.sync()
	return nil
}

func (d *faultyDisk) truncate(name string, length int64) error {
	if err := d.beginOp(); err != nil {
		return err
	}
	d.content[name].put(unsyncedWrite{at: int(length), truncate: true})
	return nil
}

func (d *faultyDisk) syncFile(name string) error {
	if err := d.beginOp(); err != nil {
		return err
	}
	d.content[name].sync()
	return nil
}

func (d *faultyDisk) read(name string) ([]byte, error) {
	file, ok := d.content[name]
	if !ok {
		return nil, errNotExist
	}
	return slices.Clone(file.content), nil
}

func (d *faultyDisk) rename(from, to string) error {
	if err := d.beginOp(); err != nil {
		return err
	}
	d.content[to] = d.content[from]
	delete(d.content, from)
	d.changed = append(d.changed, change{from: from, to: to})
	return nil
}

func (d *faultyDisk) remove(name string) error {
	if err := d.beginOp(); err != nil {
		return err
	}
	delete(d.content, name)
	d.changed = append(d.changed, change{from: name})
	return nil
}

func (d *faultyDisk) names() ([]string, error) { return slices.Sorted(maps.Keys(d.content)), nil }

func (d *faultyDisk) sync() error {
	if err := d.beginOp(); err != nil {
		return err
	}
	d.durable, d.changed = maps.Clone(d.content), nil
	return nil
}

// losePower reduces the disk to a state that it may have after a power loss.
func (d *faultyDisk) losePower() {
	for _, c := range d.changed {
		switch kept := d.random.IntN(2) == 0; {
		case !kept:
		case c.from == "":
			d.durable[c.to] = c.file
		case c.to == "":
			delete(d.durable, c.from)
		default:
			if file, ok := d.durable[c.from]; ok {
				d.durable[c.to] = file
				delete(d.durable, c.from)
			}
		}
	}
	for _, name := range slices.Sorted(maps.Keys(d.durable)) {
		d.durable[name].losePower(d.random)
	}
	d.content, d.changed, d.opsLeft, d.failOneIn, d.noSpace = maps.Clone(d.durable), nil, -1, 0, false
}

// A write that was confirmed is present after each power loss, at whatever operation it strikes; an interrupted write
// is there completely or not at all.
func TestPowerLossAtAnyOperation(t *testing.T) {
	torn, finished := 0, 0
	for seed := range uint64(4000) {
		d := newFaultyDisk(seed)
		f := openDir(d)
		assert.NilError(t, f.SaveIdentity(Identity{ID: "a"}))
		done, tried := replica.PersistentState{}, replica.PersistentState{}
		for version := uint64(1); version < 30; version++ {
			if d.random.IntN(3) == 0 {
				d.opsLeft = d.random.IntN(12)
			}
			tried = replica.PersistentState{Term: version, VotedFor: "b", Entry: &wire.Entry{Term: version, Index: version, Value: make([]byte, d.random.IntN(200))}}
			err := f.Save(&replica.Save{State: tried, EntryChanged: true, VoteChanged: true})
			if err == nil {
				done = tried
				finished++
			}
			if err == nil && d.opsLeft != 0 && d.random.IntN(4) > 0 {
				continue
			}
			if d.random.IntN(3) == 0 {
				d.opsLeft = -1 // only the process is killed
			} else {
				d.losePower()
			}
			f = openDir(d)
			id, known, err := f.Identity()
			assert.NilError(t, err, "seed %d version %d", seed, version)
			assert.Assert(t, known && id.ID == "a")
			disk, err := f.Load()
			assert.NilError(t, err, "seed %d version %d", seed, version)
			entryIsOld, entryIsNew := samePosition(disk, done), samePosition(disk, tried)
			assert.Assert(t, entryIsOld || entryIsNew, "seed %d: %v after %v and %v", seed, disk, done, tried)
			assert.Assert(t, disk.Term >= done.Term && disk.Term <= tried.Term)
			if !entryIsOld {
				torn++
			}
			done = disk
		}
	}
	assert.Assert(t, torn > 100 && finished > 10000, "%d interrupted writes that were kept, %d completed", torn, finished)
}

func samePosition(a, b replica.PersistentState) bool { return a.Entry.Position() == b.Entry.Position() }

func TestFullDiskKeepsItsContent(t *testing.T) {
	d := newFaultyDisk(1)
	f := openDir(d)
	first := &replica.Save{State: replica.PersistentState{Term: 1, Entry: &wire.Entry{Term: 1, Index: 1}}, EntryChanged: true, VoteChanged: true}
	second := &replica.Save{State: replica.PersistentState{Term: 2, Entry: &wire.Entry{Term: 2, Index: 2}}, EntryChanged: true, VoteChanged: true}
	assert.NilError(t, f.Save(first))
	d.noSpace = true
	for range 10 {
		assert.Assert(t, f.Save(second) != nil)
	}
	disk, err := openDir(d).Load()
	assert.NilError(t, err)
	assert.Equal(t, disk.Entry.Index, uint64(1))
	d.noSpace = false
	assert.NilError(t, f.Save(second))
	disk, err = openDir(d).Load()
	assert.NilError(t, err)
	assert.Equal(t, disk.Entry.Index, uint64(2))
}
