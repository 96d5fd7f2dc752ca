package store

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"ivybank/control/replica"
	"ivybank/wire"
)

// The coordination parts share one journal: a file "parts-N" that begins with all that any part has to find again, and
// goes on with one frame for each batch that was saved since. A new file is written aside, synced, renamed, and the folder
// synced; then the older one goes.
//
// A frame is the length of its body, a checksum of that length, the body, and a checksum of the body. Both checksums also
// cover the place in the file, so no bytes within a body pass for a frame.
//
// Frames are synced one by one: after a loss of power only the last one can be torn. It is cut off, as nobody was told
// that it is on disk. A bad frame that a valid one follows, and a bad first frame, which was synced before the file got
// its name, are damage.
//
// Its limit: a last frame that was synced and whose bytes change afterwards can't be told from one that was torn, as a torn
// write may have its full length. What that frame promised is forgotten then.

const (
	partsKind = "parts"
	// leastWanted and growth say when a journal is to begin anew: once it is longer than leastWanted and has grown to so many
	// times its first frame.
	leastWanted = 1 << 20 // bytes
	growth      = 4

	lengthSize   = 4 // bytes, as is the checksum of the length
	headerSize   = 2 * lengthSize
	leastFrame   = headerSize + checksumSize + 1
	longestFrame = math.MaxInt32 // bytes of a body
)

var (
	errNotLoaded = errors.New("store: the parts on this disk were not loaded")
	errNotWhole  = errors.New("store: a whole batch of the parts failed and has to come again")
	errTooLong   = errors.New("store: batch too long")
	errTorn      = errors.New("first frame torn")
	errFrame     = errors.New("bad frame before a valid one")
	errPart      = errors.New("no such part")
	errOrder     = errors.New("an older entry follows a newer one")
)

// PartsBatch is what several parts of the coordination state have to write at the same time: one write and one sync for
// all of them.
type PartsBatch struct {
	// Whole says that Saves holds everything that any part has to find again, so that older files are no longer needed.
	Whole bool
	Saves []PartSave
}

// PartSave is what one part has to write.
type PartSave struct {
	Part int // from 0
	Save *replica.Save
}

// journal is the file that batches are appended to.
type journal struct {
	name   string // "" before the first
	length int64  // of what is valid
	first  int64  // length of the first frame
	torn   bool   // bytes beyond length may be there

	unconfirmed bool // its name may not be on disk yet: the batch that it began with is to come again
	whole       bool // that batch is whole
}

// wantsWhole says whether it has grown so long that it should begin anew.
func (j *journal) wantsWhole() bool { return j.length > max(leastWanted, growth*j.first) }

// partRecord is what a frame holds of one part.
type partRecord struct {
	Part    int           `cbor:"1,keyasint"`
	Vote    vote          `cbor:"2,keyasint"`
	Entries []*wire.Entry `cbor:"3,keyasint,omitempty"`
}

// SaveParts returns once a batch is on disk. wantsWhole asks for a whole one next, as the file has grown. After an error it
// may be called again with the same batch, or with a whole one. Parts on the disk have to be loaded before.
func (f *Folder) SaveParts(b *PartsBatch) (wantsWhole bool, err error) {
	body, err := cbor.Marshal(recordsOf(b))
	if err != nil {
		return false, fmt.Errorf("store: %w", err)
	}
	if len(body) > longestFrame {
		return false, errTooLong
	}
	begins, err := f.beginsJournal(b)
	if err != nil {
		return false, err
	}
	if begins {
		err = f.beginJournal(body, b.Whole)
	} else {
		err = f.appendFrame(body)
	}
	return f.parts.wantsWhole(), err
}

func recordsOf(b *PartsBatch) []partRecord {
	records := make([]partRecord, 0, len(b.Saves))
	for _, s := range b.Saves {
		disk := s.Save.Disk
		records = append(records, partRecord{Part: s.Part, Vote: vote{disk.Term, disk.VotedFor}, Entries: s.Save.Entries})
	}
	return records
}

// beginsJournal says whether a batch is the first of a file: one that is whole, or the first of all.
func (f *Folder) beginsJournal(b *PartsBatch) (bool, error) {
	j := &f.parts
	switch {
	case b.Whole:
		return true, nil
	case j.unconfirmed && j.whole:
		return false, errNotWhole
	case j.unconfirmed:
		return true, nil
	case j.name != "":
		return false, nil
	}
	there, err := f.newestName(partsKind)
	if err == nil && there != "" {
		err = errNotLoaded
	}
	return true, err
}

// beginJournal starts a new file. Until it has its name, the old one stays in use.
func (f *Folder) beginJournal(body []byte, whole bool) error {
	frame := frameOf(body, 0)
	name, err := f.replace(partsKind, frame)
	if name != "" {
		length := int64(len(frame))
		f.parts = journal{name: name, length: length, first: length, unconfirmed: err != nil, whole: whole}
	}
	return err
}

// appendFrame adds to the file, in place of what an earlier write may have left behind its end.
func (f *Folder) appendFrame(body []byte) error {
	j := &f.parts
	if j.torn {
		if err := f.files.truncate(j.name, j.length); err != nil {
			return err
		}
	}
	frame := frameOf(body, j.length)
	j.torn = true
	if err := f.files.append(j.name, frame); err != nil {
		return err
	}
	j.torn = false
	j.length += int64(len(frame))
	return nil
}

// LoadParts reads what was saved, and leads each part's machine from the empty state to its newest entry. A part's entries
// follow founded, the entry that its group was founded with, or a whole one; nil for no founder.
func (f *Folder) LoadParts(machines []replica.Machine, founded *wire.Entry) ([]replica.Disk, error) {
	for _, m := range machines {
		if err := m.Restore(nil); err != nil {
			return nil, fmt.Errorf("store: %w", err)
		}
	}
	if len(machines) == 0 {
		return nil, nil
	}
	batches, err := f.loadJournal()
	if err != nil {
		return nil, err
	}
	disks, err := replay(machines, founded, batches)
	if err != nil {
		return nil, fmt.Errorf("%w: %s: %w", ErrDamaged, f.parts.name, err)
	}
	return disks, nil
}

// loadJournal reads the newest file. An earlier process may have been killed between a write and its sync: who finds the
// frame takes it for stored, so it is synced first.
func (f *Folder) loadJournal() ([][]partRecord, error) {
	f.parts = journal{}
	name, err := f.newestName(partsKind)
	if err != nil || name == "" {
		return nil, err
	}
	if err := f.files.syncFile(name); err != nil {
		return nil, err
	}
	data, err := f.files.read(name)
	if err != nil {
		return nil, err
	}
	j, batches, err := readJournal(data)
	if err != nil {
		return nil, fmt.Errorf("%w: %s: %w", ErrDamaged, name, err)
	}
	j.name = name
	f.parts = j
	return batches, nil
}

// readJournal reads all frames up to one that was torn.
func readJournal(data []byte) (j journal, batches [][]partRecord, err error) {
	size := int64(len(data))
	for j.length < size {
		body := frameAt(data, j.length)
		if body == nil {
			break
		}
		var records []partRecord
		if err := cbor.Unmarshal(body, &records); err != nil {
			return journal{}, nil, err
		}
		batches = append(batches, records)
		j.length += int64(headerSize + len(body) + checksumSize)
		if j.first == 0 {
			j.first = j.length
		}
	}
	j.torn = j.length < size
	if j.first == 0 {
		return journal{}, nil, errTorn
	}
	if j.torn && hasFrameAfter(data, j.length) {
		return journal{}, nil, errFrame
	}
	return j, batches, nil
}

// replay leads the machines through the batches of a journal.
func replay(machines []replica.Machine, founded *wire.Entry, batches [][]partRecord) ([]replica.Disk, error) {
	votes := make([]vote, len(machines))
	chains := make([][]*wire.Entry, len(machines))
	for part := range chains {
		if founded != nil {
			chains[part] = []*wire.Entry{founded}
		}
	}
	for _, records := range batches {
		for _, r := range records {
			if r.Part < 0 || r.Part >= len(machines) {
				return nil, errPart
			}
			votes[r.Part] = r.Vote
			chains[r.Part] = append(chains[r.Part], r.Entries...)
		}
	}
	disks := make([]replica.Disk, len(machines))
	for part, chain := range chains {
		if err := checkOrder(chain); err != nil {
			return nil, fmt.Errorf("part %d: %w", part, err)
		}
		newest, err := replica.Replay(machines[part], chain)
		if err != nil {
			return nil, fmt.Errorf("part %d: %w", part, err)
		}
		disks[part] = votes[part].with(newest)
	}
	return disks, nil
}

// checkOrder checks that no entry is older than the one before it.
func checkOrder(chain []*wire.Entry) error {
	var newest *wire.Entry
	for _, e := range chain {
		if e == nil || e.Position().Less(newest.Position()) {
			return errOrder
		}
		newest = e
	}
	return nil
}

// frameOf makes the frame of a body at a place in the file.
func frameOf(body []byte, at int64) []byte {
	frame := make([]byte, 0, headerSize+len(body)+checksumSize)
	frame = binary.BigEndian.AppendUint32(frame, uint32(len(body)))
	frame = binary.BigEndian.AppendUint32(frame, uint32(checksumAt(at, frame)))
	frame = append(frame, body...)
	return binary.BigEndian.AppendUint64(frame, checksumAt(at, body))
}

// frameAt gives the body of the frame at a place; nil where there is no valid one.
func frameAt(data []byte, at int64) []byte {
	rest := data[at:]
	if len(rest) < leastFrame {
		return nil
	}
	length := rest[:lengthSize]
	if binary.BigEndian.Uint32(rest[lengthSize:]) != uint32(checksumAt(at, length)) {
		return nil
	}
	rest = rest[headerSize:]
	size := int64(binary.BigEndian.Uint32(length))
	if size == 0 || size+checksumSize > int64(len(rest)) {
		return nil
	}
	body := rest[:size]
	if binary.BigEndian.Uint64(rest[size:]) != checksumAt(at, body) {
		return nil
	}
	return body
}

// hasFrameAfter says whether any valid frame begins behind a place.
func hasFrameAfter(data []byte, at int64) bool {
	for at++; at < int64(len(data)); at++ {
		if frameAt(data, at) != nil {
			return true
		}
	}
	return false
}

// checksumAt is the checksum of bytes at a place in the file.
func checksumAt(at int64, data []byte) uint64 {
	return xxhash.Sum64(binary.BigEndian.AppendUint64(nil, uint64(at))) ^ xxhash.Sum64(data)
}
