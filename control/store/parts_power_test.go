package store

import (
	"testing"

	"gotest.tools/v3/assert"
)

// journalPlay plays one process after another on one disk that fails.
type journalPlay struct {
	t      *testing.T
	disk   *faultyDisk
	folder *Folder
	now    process
	// possible is what may be found: what was found or confirmed last, then what was tried since.
	possible []process
	journalCounts
}

type journalCounts struct {
	saved, failed, rotations, failedRotations, powerCuts, kills, tornTails, keptUnconfirmed, retriedInPlace int
}

func (c *journalCounts) add(o journalCounts) {
	c.saved += o.saved
	c.failed += o.failed
	c.rotations += o.rotations
	c.failedRotations += o.failedRotations
	c.powerCuts += o.powerCuts
	c.kills += o.kills
	c.tornTails += o.tornTails
	c.keptUnconfirmed += o.keptUnconfirmed
	c.retriedInPlace += o.retriedInPlace
}

// try saves a batch that leads to the present state.
func (p *journalPlay) try(b *PartsBatch) error {
	p.possible = append(p.possible, p.now.clone())
	before := p.folder.parts
	_, err := p.folder.SaveParts(b)
	if err != nil {
		p.failed++
		if b.Whole {
			p.failedRotations++
		}
		return err
	}
	p.saved++
	if before.name != p.folder.parts.name {
		p.rotations++
	} else if before.torn {
		p.retriedInPlace++
	}
	p.possible = []process{p.now.clone()}
	return nil
}

// save tries a batch until it is on disk, or the power or the process is gone. In between it may become a whole one, of more.
func (p *journalPlay) save(b *PartsBatch) error {
	random := p.disk.random
	for tries := 0; ; tries++ {
		err := p.try(b)
		if err == nil || err == errPower {
			return err
		}
		if tries == 5 {
			p.disk.full, p.disk.refused = false, 0
		}
		switch random.IntN(6) {
		case 0:
			b = p.now.whole()
		case 1:
			p.now.next(random)
			b = p.now.whole()
		case 2:
			return err // the process ends before it could try again
		}
	}
}

// restart starts the next process, after a loss of power or as one is killed.
func (p *journalPlay) restart() {
	if p.disk.steps == 0 || p.disk.random.IntN(3) > 0 {
		p.disk.losePower()
		p.powerCuts++
	} else {
		p.disk.steps, p.disk.refused, p.disk.full = -1, 0, false
		p.kills++
	}
	p.folder = openFolder(p.disk)
	found, err := loadProcess(p.folder)
	assert.NilError(p.t, err)
	at := -1
	for i, possible := range p.possible {
		if found.equal(possible) {
			at = i
		}
	}
	assert.Assert(p.t, at >= 0, "found %v, after %v", found, p.possible)
	if at > 0 {
		p.keptUnconfirmed++
	}
	if p.folder.parts.torn {
		p.tornTails++
	}
	p.now, p.possible = found, []process{found.clone()}
}

// trouble has the disk fail soon, or now and then.
func (p *journalPlay) trouble() {
	switch random := p.disk.random; random.IntN(8) {
	case 0, 1:
		p.disk.steps = random.IntN(8)
	case 2:
		p.disk.full = true
	case 3:
		p.disk.refused = 2 + random.IntN(4)
	}
}

func playJournal(t *testing.T, seed uint64) journalCounts {
	p := &journalPlay{t: t, disk: newFaultyDisk(seed), now: newProcess()}
	p.possible = []process{p.now.clone()}
	p.folder = openFolder(p.disk)
	_, err := loadProcess(p.folder)
	assert.NilError(t, err)
	for range 40 {
		p.trouble()
		var b *PartsBatch
		if p.disk.random.IntN(6) == 0 {
			p.now.next(p.disk.random)
			b = p.now.whole()
		} else {
			b = p.now.next(p.disk.random)
		}
		if err := p.save(b); err != nil || p.disk.random.IntN(4) == 0 {
			p.restart()
		}
	}
	return p.journalCounts
}

// What SaveParts was done with is found again after each loss of power and each kill, wherever they strike. Of what was
// tried since, a prefix may be found; once it was found it stays.
func TestPowerMayFailAtAnyStepOfAJournal(t *testing.T) {
	seeds := uint64(2000)
	if testing.Short() {
		seeds /= 10
	}
	var played journalCounts
	for seed := range seeds {
		played.add(playJournal(t, seed))
		if t.Failed() {
			t.Fatalf("seed %d", seed)
		}
	}
	t.Logf("played %+v", played)
	least := int(seeds)
	assert.Assert(t, played.saved > 10*least && played.rotations > 3*least && played.powerCuts > 3*least && played.kills > least)
	assert.Assert(t, played.failed > least && played.failedRotations > least && played.retriedInPlace > least/4)
	assert.Assert(t, played.tornTails > least/4 && played.keptUnconfirmed > least/4)
}

// A full disk keeps what it has, whether a batch is appended or begins a new file; the same batch is stored once there is
// room.
func TestFullDiskKeepsTheJournal(t *testing.T) {
	for seed := range uint64(50) {
		for _, whole := range []bool{false, true} {
			d := newFaultyDisk(seed)
			f := openFolder(d)
			p := newProcess()
			savedParts(t, f, p.whole())
			savedParts(t, f, p.next(d.random))
			before := p.clone()
			b := p.next(d.random)
			if whole {
				b = p.whole()
			}
			d.full = true
			for range 10 {
				_, err := f.SaveParts(b)
				assert.ErrorIs(t, err, errFull)
			}
			files, err := d.names()
			assert.NilError(t, err)
			assert.Equal(t, len(files), 1, "what was written aside makes room again: %v", files)
			d.full = false
			savedParts(t, f, b)
			assert.Assert(t, foundProcess(t, openFolder(d)).equal(p))
			assert.Assert(t, !before.equal(p))
		}
	}
}

// What was written aside in vain may be back after a loss of power. No later file gets its name, as the rename of that name
// may be what the disk kept.
func TestNoNameIsUsedTwice(t *testing.T) {
	d := newFaultyDisk(1)
	f := openFolder(d)
	p := newProcess()
	d.full = true
	_, err := f.SaveParts(p.whole())
	assert.ErrorIs(t, err, errFull)
	d.full = false
	failed := d.changed[0].to
	savedParts(t, f, p.whole())
	assert.Assert(t, failed != f.parts.name+asideSuffix)
}

// A spoilt disk is set aside as a whole: wherever the power fails, the identity isn't found without what it promised.
func TestPowerMayFailAsADiskIsSetAside(t *testing.T) {
	identityKept, allAside := 0, 0
	for seed := range uint64(2000) {
		d := newFaultyDisk(seed)
		f := openFolder(d)
		p := newProcess()
		assert.NilError(t, f.SaveIdentity(Identity{ID: "a"}))
		save(t, f, 3, 5)
		p[0].vote("b")
		savedParts(t, f, p.whole())
		d.steps = d.random.IntN(8)
		err := f.SetAside()
		d.losePower()
		f = openFolder(d)
		_, known, identityErr := f.Identity()
		assert.NilError(t, identityErr)
		disk, loadErr := f.Load()
		assert.NilError(t, loadErr)
		found := foundProcess(t, f)
		if known {
			identityKept++
			assert.Assert(t, disk.Term == 3 && disk.Entry != nil && found.equal(p), "seed %d", seed)
		}
		if err == nil {
			allAside++
			assert.Assert(t, !known && disk.Term == 0 && found.equal(newProcess()), "seed %d", seed)
		}
	}
	assert.Assert(t, identityKept > 100 && allAside > 100, "%d, %d", identityKept, allAside)
}
