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
	errFull  = errors.New("no space left")
	errInput = errors.New("input/output error")
	errNone  = errors.New("no such file")
)

// faultyDisk is a folder that loses power or fails after a number of steps. What was made, renamed or removed since the
// last sync of the folder is lost or kept, each by itself. A file keeps what its last sync covered; what was written later
// is there, missing or torn.
type faultyDisk struct {
	random  *rand.Rand
	content map[string]*diskFile // as a running process sees it
	durable map[string]*diskFile // as of the last sync of the folder
	changed []change             // since then
	steps   int                  // until the power fails; below 0 never
	full    bool
	refused int // one step in so many fails while the power stays; 0 for none
}

// diskFile is the content that any of its names leads to.
type diskFile struct {
	content []byte // as a running process sees it
	synced  []byte
	later   []laterWrite // since its last sync
}

// laterWrite puts data at a place, or sets the length to it.
type laterWrite struct {
	at       int
	data     []byte
	truncate bool
}

type change struct {
	from, to string // to is "" for a removal, from "" for a new file
	file     *diskFile
}

func newFaultyDisk(seed uint64) *faultyDisk {
	return &faultyDisk{random: rand.New(rand.NewPCG(seed, 5)), content: map[string]*diskFile{}, durable: map[string]*diskFile{}, steps: -1}
}

func (d *faultyDisk) step() error {
	if d.steps == 0 {
		return errPower
	}
	d.steps--
	if d.refused > 0 && d.random.IntN(d.refused) == 0 {
		return errInput
	}
	return nil
}

func (f *diskFile) put(w laterWrite) {
	f.content = w.on(f.content)
	f.later = append(f.later, w)
}

// on gives a file's content after a write.
func (w laterWrite) on(content []byte) []byte {
	changed := make([]byte, max(len(content), w.at+len(w.data)))
	copy(changed, content)
	copy(changed[w.at:], w.data)
	if w.truncate {
		changed = changed[:w.at]
	}
	return changed
}

func (f *diskFile) sync() { f.synced, f.later = f.content, nil }

// losePower leaves what the file may hold after a loss of power.
func (f *diskFile) losePower(random *rand.Rand) {
	allGone := random.IntN(4) == 0
	for _, w := range f.later {
		switch random.IntN(3) {
		case 0: // missing
			continue
		case 1:
			w.data = torn(random, w.data)
		}
		if !allGone {
			f.synced = w.on(f.synced)
		}
	}
	f.content, f.later = f.synced, nil
}

// torn gives a part of a write: cut short, or with zeros in places.
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
	d.durable[name] = file // a new file lasts once it is synced itself
	return nil
}

func (d *faultyDisk) append(name string, data []byte) error {
	file, ok := d.content[name]
	if !ok {
		return errNone
	}
	return d.writeSynced(file, data)
}

// writeSynced writes some of the data and fails, or writes and syncs all of it.
func (d *faultyDisk) writeSynced(file *diskFile, data []byte) error {
	err := d.step()
	if d.full {
		err = errFull
	}
	if err != nil {
		written := len(data) - d.random.IntN(len(data)+1)*d.random.IntN(2)
		file.put(laterWrite{at: len(file.content), data: data[:written]})
		return err
	}
	file.put(laterWrite{at: len(file.content), data: data})
	file.sync()
	return nil
}

func (d *faultyDisk) truncate(name string, length int64) error {
	if err := d.step(); err != nil {
		return err
	}
	d.content[name].put(laterWrite{at: int(length), truncate: true})
	return nil
}

func (d *faultyDisk) syncFile(name string) error {
	if err := d.step(); err != nil {
		return err
	}
	d.content[name].sync()
	return nil
}

func (d *faultyDisk) read(name string) ([]byte, error) {
	file, ok := d.content[name]
	if !ok {
		return nil, errNone
	}
	return slices.Clone(file.content), nil
}

func (d *faultyDisk) rename(from, to string) error {
	if err := d.step(); err != nil {
		return err
	}
	d.content[to] = d.content[from]
	delete(d.content, from)
	d.changed = append(d.changed, change{from: from, to: to})
	return nil
}

func (d *faultyDisk) remove(name string) error {
	if err := d.step(); err != nil {
		return err
	}
	delete(d.content, name)
	d.changed = append(d.changed, change{from: name})
	return nil
}

func (d *faultyDisk) names() ([]string, error) { return slices.Sorted(maps.Keys(d.content)), nil }

func (d *faultyDisk) sync() error {
	if err := d.step(); err != nil {
		return err
	}
	d.durable, d.changed = maps.Clone(d.content), nil
	return nil
}

// losePower leaves what a disk may hold after a loss of power.
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
	d.content, d.changed, d.steps, d.refused, d.full = maps.Clone(d.durable), nil, -1, 0, false
}

// What a write has been told to be done for is there after each loss of power, wherever it strikes; a write that it cut
// short is there whole or not at all.
func TestPowerMayFailAtAnyStep(t *testing.T) {
	torn, finished := 0, 0
	for seed := range uint64(4000) {
		d := newFaultyDisk(seed)
		f := openFolder(d)
		assert.NilError(t, f.SaveIdentity(Identity{ID: "a"}))
		done, tried := replica.Disk{}, replica.Disk{}
		for version := uint64(1); version < 30; version++ {
			if d.random.IntN(3) == 0 {
				d.steps = d.random.IntN(12)
			}
			tried = replica.Disk{Term: version, VotedFor: "b", Entry: &wire.Entry{Term: version, Index: version, Value: make([]byte, d.random.IntN(200))}}
			err := f.Save(&replica.Save{Disk: tried, EntryChanged: true, VoteChanged: true})
			if err == nil {
				done = tried
				finished++
			}
			if err == nil && d.steps != 0 && d.random.IntN(4) > 0 {
				continue
			}
			if d.random.IntN(3) == 0 {
				d.steps = -1 // only the process ends
			} else {
				d.losePower()
			}
			f = openFolder(d)
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
	assert.Assert(t, torn > 100 && finished > 10000, "%d writes that were cut short but kept, %d done", torn, finished)
}

func samePosition(a, b replica.Disk) bool { return a.Entry.Position() == b.Entry.Position() }

func TestFullDiskKeepsWhatItHas(t *testing.T) {
	d := newFaultyDisk(1)
	f := openFolder(d)
	first := &replica.Save{Disk: replica.Disk{Term: 1, Entry: &wire.Entry{Term: 1, Index: 1}}, EntryChanged: true, VoteChanged: true}
	second := &replica.Save{Disk: replica.Disk{Term: 2, Entry: &wire.Entry{Term: 2, Index: 2}}, EntryChanged: true, VoteChanged: true}
	assert.NilError(t, f.Save(first))
	d.full = true
	for range 10 {
		assert.Assert(t, f.Save(second) != nil)
	}
	disk, err := openFolder(d).Load()
	assert.NilError(t, err)
	assert.Equal(t, disk.Entry.Index, uint64(1))
	d.full = false
	assert.NilError(t, f.Save(second))
	disk, err = openFolder(d).Load()
	assert.NilError(t, err)
	assert.Equal(t, disk.Entry.Index, uint64(2))
}
