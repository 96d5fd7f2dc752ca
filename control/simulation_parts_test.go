package control

import (
	"time"

	"ivybank/control/replica"
	"ivybank/control/store"
	"ivybank/wire"
)

// coordinationHistory is how long simulations keep the history of puts.
const coordinationHistory = 20 * time.Second

// partDisk is what a machine's disk has stored of one part.
type partDisk struct {
	term     uint64
	votedFor string
	entries  []*wire.Entry // a whole entry, and steps on top of it
	members  []wire.Member // of the newest entry
}

// partsWrite is a write of parts in progress.
type partsWrite struct {
	batch  *store.PartsBatch
	doneAt time.Duration
}

// SaveParts stores a batch on the simulated disk after a while.
func (p *nodeProcess) SaveParts(b *store.PartsBatch) {
	p.writingParts = &partsWrite{b, p.sim.now + p.sim.timing.write()}
}

// storeParts stores a batch on a disk.
func (d *controlDisk) storeParts(b *store.PartsBatch) {
	for _, s := range b.Saves {
		if d.parts == nil {
			d.parts = make([]partDisk, coordinationParts)
		}
		kept := &d.parts[s.Part]
		kept.term, kept.votedFor = s.Save.State.Term, s.Save.State.VotedFor
		for _, e := range s.Save.Entries {
			if !e.IsStep() {
				kept.entries = nil
			}
			kept.entries = append(kept.entries, e)
			if e.Members != nil {
				kept.members = e.Members
			}
		}
	}
}

// cutPartsShort leaves either all or nothing of an interrupted write of parts on the disk, since the frame of a write
// has a checksum.
func (sim *simulation) cutPartsShort(m *machine, b *store.PartsBatch) {
	if sim.random.IntN(2) == 0 {
		m.disk.storeParts(b)
	}
}

// startParts replays each part's state machine to what the disk has stored.
func (m *machine) startParts(sim *simulation) []PartStart {
	var parts []PartStart
	for i, empty := range newPartMachines(sim.settingsOf(m, false)) {
		start := PartStart{Machine: empty}
		var entries []*wire.Entry
		if founded := foundingEntry(m.disk.identity); founded != nil {
			entries = append(entries, founded)
		}
		if m.disk.parts != nil {
			kept := m.disk.parts[i]
			entries = append(entries, kept.entries...)
			start.Persistent.Term, start.Persistent.VotedFor = kept.term, kept.votedFor
		}
		newest, err := replica.Replay(empty, entries)
		if err != nil {
			sim.fail("%s: part %d: %v", m.ip, i, err)
		}
		start.Persistent.Entry = newest
		parts = append(parts, start)
	}
	return parts
}

// stepParts completes a write of parts that is due.
func (p *nodeProcess) stepParts() {
	sim, m := p.sim, p.machine
	if p.writingParts == nil || sim.now < max(p.writingParts.doneAt, m.diskStalledUntil) {
		return
	}
	b := p.writingParts.batch
	p.writingParts = nil
	m.disk.storeParts(b)
	p.node.PartsSaved(b, sim.random.IntN(partsRotation) == 0)
	p.node.Flush()
}

// partsRotation is after how many writes, on average, a disk requests a full one.
const partsRotation = 50
