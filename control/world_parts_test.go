package control

import (
	"time"

	"ivybank/control/replica"
	"ivybank/control/store"
	"ivybank/wire"
)

// coordinationHistory is the span of history that worlds keep.
const coordinationHistory = 20 * time.Second

// partDisk is what a machine's disk has kept of one part.
type partDisk struct {
	term     uint64
	votedFor string
	entries  []*wire.Entry // a whole one, and steps on top of it
}

// partsWrite is a write of parts that is under way.
type partsWrite struct {
	batch  *store.PartsBatch
	doneAt time.Duration
}

// SaveParts has the disk keep a batch after a while.
func (p *nodeProcess) SaveParts(b *store.PartsBatch) {
	p.writingParts = &partsWrite{b, p.world.now + p.world.pace.write()}
}

// keepParts leaves a batch on a disk.
func (d *coreDisk) keepParts(b *store.PartsBatch) {
	for _, s := range b.Saves {
		if d.parts == nil {
			d.parts = make([]partDisk, coordinationParts)
		}
		kept := &d.parts[s.Part]
		kept.term, kept.votedFor = s.Save.Disk.Term, s.Save.Disk.VotedFor
		for _, e := range s.Save.Entries {
			if !e.IsStep() {
				kept.entries = nil
			}
			kept.entries = append(kept.entries, e)
		}
	}
}

// startParts leads each part's machine to what the disk has kept.
func (m *machine) startParts(w *world) []PartStart {
	var parts []PartStart
	for i, empty := range partMachines(w.settingsOf(m, false)) {
		start := PartStart{Machine: empty}
		var entries []*wire.Entry
		if founded := foundingEntry(m.disk.identity); founded != nil {
			entries = append(entries, founded)
		}
		if m.disk.parts != nil {
			kept := m.disk.parts[i]
			entries = append(entries, kept.entries...)
			start.Disk.Term, start.Disk.VotedFor = kept.term, kept.votedFor
		}
		newest, err := replica.Replay(empty, entries)
		if err != nil {
			w.fail("%s: part %d: %v", m.ip, i, err)
		}
		start.Disk.Entry = newest
		parts = append(parts, start)
	}
	return parts
}

// stepParts ends a write of parts whose time has come.
func (p *nodeProcess) stepParts() {
	w, m := p.world, p.machine
	if p.writingParts == nil || w.now < max(p.writingParts.doneAt, m.stalled) {
		return
	}
	b := p.writingParts.batch
	p.writingParts = nil
	m.disk.keepParts(b)
	p.node.PartsSaved(b, w.random.IntN(partsRotation) == 0)
	p.node.Flush()
}

// partsRotation is after how many writes, on average, a disk asks for a whole one.
const partsRotation = 50
