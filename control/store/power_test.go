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

// faultyDisk is a folder that loses power or fails after a number of steps. What was made, renamed or removed since the
// last sync of the folder is lost or kept, each by itself; content that wasn't synced is torn.
type faultyDisk struct {
	random  *rand.Rand
	content map[string][]byte // as a running process sees it
	durable map[string][]byte // as of the last sync of the folder
	changed []change          // since then
	steps   int               // until the power fails; below 0 never
	full    bool
}

type change struct {
	from, to string // to is "" for a removal, from "" for a new file
	data     []byte
}

func (d *faultyDisk) step() error {
	if d.steps == 0 {
		return errPower
	}
	d.steps--
	return nil
}

func (d *faultyDisk) write(name string, data []byte) error {
	if d.full {
		d.content[name] = nil
		return errors.New("no space left")
	}
	if err := d.step(); err != nil {
		torn := slices.Clone(data[:d.random.IntN(len(data)+1)])
		if d.random.IntN(2) == 0 {
			clear(torn)
		}
		d.changed = append(d.changed, change{to: name, data: torn})
		return err
	}
	d.content[name] = slices.Clone(data)
	d.durable[name] = slices.Clone(data) // a new file lasts once it is synced itself
	return nil
}

func (d *faultyDisk) append(name string, data []byte) error    { return nil }
func (d *faultyDisk) truncate(name string, length int64) error { return nil }
func (d *faultyDisk) syncFile(name string) error               { return nil }

func (d *faultyDisk) read(name string) ([]byte, error) {
	data, ok := d.content[name]
	if !ok {
		return nil, errors.New("no such file")
	}
	return data, nil
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
			d.durable[c.to] = c.data
		case c.to == "":
			delete(d.durable, c.from)
		default:
			if data, ok := d.durable[c.from]; ok {
				d.durable[c.to] = data
				delete(d.durable, c.from)
			}
		}
	}
	d.content, d.changed, d.steps = maps.Clone(d.durable), nil, -1
}

// What a write has been told to be done for is there after each loss of power, wherever it strikes; a write that it cut
// short is there whole or not at all.
func TestPowerMayFailAtAnyStep(t *testing.T) {
	torn, finished := 0, 0
	for seed := range uint64(4000) {
		d := &faultyDisk{random: rand.New(rand.NewPCG(seed, 5)), content: map[string][]byte{}, durable: map[string][]byte{}, steps: -1}
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
			d.losePower()
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
	d := &faultyDisk{random: rand.New(rand.NewPCG(1, 5)), content: map[string][]byte{}, durable: map[string][]byte{}, steps: -1}
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
