package store

import (
	"testing"

	"gotest.tools/v3/assert"
)

// journalRun runs one process after another on one faulty disk.
type journalRun struct {
	t    *testing.T
	disk *faultyDisk
	dir  *DataDir
	now  process
	// possible lists the states that may be loaded: the last one that was loaded or confirmed, then those tried
	// since.
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
func (p *journalRun) try(b *PartsBatch) error {
	p.possible = append(p.possible, p.now.clone())
	before := p.dir.parts
	_, err := p.dir.SaveParts(b)
	if err != nil {
		p.failed++
		if b.Full {
			p.failedRotations++
		}
		return err
	}
	p.saved++
	if before.name != p.dir.parts.name {
		p.rotations++
	} else if before.torn {
		p.retriedInPlace++
	}
	p.possible = []process{p.now.clone()}
	return nil
}

// save retries a batch until it is on disk, or the power or the process is gone. A retry may use a full batch
// instead, of a newer state.
func (p *journalRun) save(b *PartsBatch) error {
	random := p.disk.random
	for tries := 0; ; tries++ {
		err := p.try(b)
		if err == nil || err == errPower {
			return err
		}
		if tries == 5 {
			p.disk.noSpace, p.disk.failOneIn = false, 0
		}
		switch random.IntN(6) {
		case 0:
			b = p.now.full()
		case 1:
			p.now.next(random)
			b = p.now.full()
		case 2:
			return err // the process is killed before it could retry
		}
	}
}

// restart starts the next process, after a power loss or after the process was killed.
func (p *journalRun) restart() {
	if p.disk.opsLeft == 0 || p.disk.random.IntN(3) > 0 {
		p.disk.losePower()
		p.powerCuts++
	} else {
		p.disk.opsLeft, p.disk.failOneIn, p.disk.noSpace = -1, 0, false
		p.kills++
	}
	p.dir = openDir(p.disk)
	found, err := loadProcess(p.dir)
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
	if p.dir.parts.torn {
		p.tornTails++
	}
	p.now, p.possible = found, []process{found.clone()}
}

// injectFault makes the disk fail soon or intermittently, or not at all.
func (p *journalRun) injectFault() {
	switch random := p.disk.random; random.IntN(8) {
	case 0, 1:
		p.disk.opsLeft = random.IntN(8)
	case 2:
		p.disk.noSpace = true
	case 3:
		p.disk.failOneIn = 2 + random.IntN(4)
	}
}

func runJournal(t *testing.T, seed uint64) journalCounts {
	p := &journalRun{t: t, disk: newFaultyDisk(seed), now: newProcess()}
	p.possible = []process{p.now.clone()}
	p.dir = openDir(p.disk)
	_, err := loadProcess(p.dir)
	assert.NilError(t, err)
	for range 40 {
		p.injectFault()
		var b *PartsBatch
		if p.disk.random.IntN(6) == 0 {
			p.now.next(p.disk.random)
			b = p.now.full()
		} else {
			b = p.now.next(p.disk.random)
		}
		if err := p.save(b); err != nil || p.disk.random.IntN(4) == 0 {
			p.restart()
		}
	}
	return p.journalCounts
}

// A batch that SaveParts confirmed is found again after each power loss and each kill, wherever they strike. Of the
// batches tried since, a prefix may be found; once found it stays.
func TestPowerLossAtAnyJournalOperation(t *testing.T) {
	seeds := uint64(2000)
	if testing.Short() {
		seeds /= 10
	}
	var played journalCounts
	for seed := range seeds {
		played.add(runJournal(t, seed))
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

// A full disk keeps its journal, whether a batch is appended or begins a new file; the same batch is saved once there
// is space.
func TestFullDiskKeepsTheJournal(t *testing.T) {
	for seed := range uint64(50) {
		for _, full := range []bool{false, true} {
			d := newFaultyDisk(seed)
			f := openDir(d)
			p := newProcess()
			mustSaveParts(t, f, p.full())
			mustSaveParts(t, f, p.next(d.random))
			before := p.clone()
			b := p.next(d.random)
			if full {
				b = p.full()
			}
			d.noSpace = true
			for range 10 {
				_, err := f.SaveParts(b)
				assert.ErrorIs(t, err, errNoSpace)
			}
			files, err := d.names()
			assert.NilError(t, err)
			assert.Equal(t, len(files), 1, "the temporary file is removed: %v", files)
			d.noSpace = false
			mustSaveParts(t, f, b)
			assert.Assert(t, loadedProcess(t, openDir(d)).equal(p))
			assert.Assert(t, !before.equal(p))
		}
	}
}

// A temporary file of a failed write may reappear after a power loss. No later file may get its name, as the disk may
// have kept the rename of that name.
func TestFileNamesAreNeverReused(t *testing.T) {
	d := newFaultyDisk(1)
	f := openDir(d)
	p := newProcess()
	d.noSpace = true
	_, err := f.SaveParts(p.full())
	assert.ErrorIs(t, err, errNoSpace)
	d.noSpace = false
	failed := d.changed[0].to
	mustSaveParts(t, f, p.full())
	assert.Assert(t, failed != f.parts.name+tempSuffix)
}

// A corrupt disk is quarantined as a whole: wherever the power fails, the identity is never found without the state
// that it made promises about.
func TestPowerLossDuringQuarantine(t *testing.T) {
	identityKept, allAside := 0, 0
	for seed := range uint64(2000) {
		d := newFaultyDisk(seed)
		f := openDir(d)
		p := newProcess()
		assert.NilError(t, f.SaveIdentity(Identity{ID: "a"}))
		save(t, f, 3, 5)
		p[0].vote("b")
		mustSaveParts(t, f, p.full())
		d.opsLeft = d.random.IntN(8)
		err := f.Quarantine()
		d.losePower()
		f = openDir(d)
		_, known, identityErr := f.Identity()
		assert.NilError(t, identityErr)
		disk, loadErr := f.Load()
		assert.NilError(t, loadErr)
		found := loadedProcess(t, f)
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
