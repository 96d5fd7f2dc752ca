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

// The coordination parts share one journal: a file "parts-N" that begins with everything that any part has to find
// again, followed by one frame for each batch saved since. A new file is written under a temporary name, synced,
// renamed, and the directory synced; then the older one is removed.
//
// A frame consists of the length of its body, a checksum of that length, the body, and a checksum of the body. Both
// checksums also cover the offset in the file, so bytes within a body are never mistaken for a frame.
//
// Frames are synced one by one, so after a power loss only the last one can be torn. A torn frame is cut off, as
// nobody was told that it is on disk. A bad frame followed by a valid one is corruption, and so is a bad first frame,
// which was synced before the file got its name.
//
// Known limit: a last frame that was synced and whose bytes change afterwards can't be distinguished from a torn one,
// as a torn write may have its full length. What that frame recorded is then lost.

const (
	partsKind = "parts"
	// A journal is rewritten once it is longer than minRewriteSize bytes and than rewriteGrowthFactor times its first
	// frame.
	minRewriteSize      = 1 << 20
	rewriteGrowthFactor = 4

	lengthSize   = 4 // bytes, also of the checksum of the length
	headerSize   = 2 * lengthSize
	minFrameSize = headerSize + checksumSize + 1
	maxFrameBody = math.MaxInt32 // bytes of a body
)

var (
	errNotLoaded      = errors.New("store: the parts journal on this disk has not been loaded")
	errNeedsFullBatch = errors.New("store: a full parts batch failed and has to be saved again")
	errTooLong        = errors.New("store: parts batch too long")
	errTorn           = errors.New("first frame is torn or corrupt")
	errFrame          = errors.New("corrupt frame before a valid one")
	errPart           = errors.New("no such part")
	errOrder          = errors.New("an older entry follows a newer one")
)

// PartsBatch holds what several parts of the coordination state have to write at the same time: one write and one
// sync for all of them.
type PartsBatch struct {
	// Full says that Saves holds everything that any part has to find again, so that older files are no longer
	// needed.
	Full  bool
	Saves []PartSave
}

// PartSave is what one part has to write.
type PartSave struct {
	Part int // index of the part, from 0
	Save *replica.Save
}

// journal is the file that batches are appended to.
type journal struct {
	name   string // "" before the first file
	length int64  // length of the valid frames
	first  int64  // length of the first frame
	torn   bool   // there may be bytes beyond length

	unconfirmed bool // the name may not be on disk yet, so its first batch has to be saved again
	full        bool // its first batch is full
}

// wantsRewrite reports whether the journal has grown so long that a full batch should begin a new file.
func (j *journal) wantsRewrite() bool {
	return j.length > max(minRewriteSize, rewriteGrowthFactor*j.first)
}

// partRecord is the content of a frame for one part.
type partRecord struct {
	Part    int           `cbor:"1,keyasint"`
	Vote    vote          `cbor:"2,keyasint"`
	Entries []*wire.Entry `cbor:"3,keyasint,omitempty"`
}

// SaveParts returns once a batch is on disk. wantsFull asks for a full batch next, as the file has grown. After an
// error it may be called again with the same batch, or with a full one. If the disk holds parts, they have to be
// loaded first.
func (d *DataDir) SaveParts(b *PartsBatch) (wantsFull bool, err error) {
	body, err := cbor.Marshal(recordsOf(b))
	if err != nil {
		return false, fmt.Errorf("store: %w", err)
	}
	if len(body) > maxFrameBody {
		return false, errTooLong
	}
	begins, err := d.beginsJournal(b)
	if err != nil {
		return false, err
	}
	if begins {
		err = d.beginJournal(body, b.Full)
	} else {
		err = d.appendFrame(body)
	}
	return d.parts.wantsRewrite(), err
}

func recordsOf(b *PartsBatch) []partRecord {
	records := make([]partRecord, 0, len(b.Saves))
	for _, s := range b.Saves {
		disk := s.Save.State
		records = append(records, partRecord{Part: s.Part, Vote: vote{disk.Term, disk.VotedFor}, Entries: s.Save.Entries})
	}
	return records
}

// beginsJournal reports whether a batch has to begin a new file: a full batch does, and so does the very first one.
func (d *DataDir) beginsJournal(b *PartsBatch) (bool, error) {
	j := &d.parts
	switch {
	case b.Full:
		return true, nil
	case j.unconfirmed && j.full:
		return false, errNeedsFullBatch
	case j.unconfirmed:
		return true, nil
	case j.name != "":
		return false, nil
	}
	there, err := d.newestName(partsKind)
	if err == nil && there != "" {
		err = errNotLoaded
	}
	return true, err
}

// beginJournal starts a new file. The old one stays in use until the new one has its name.
func (d *DataDir) beginJournal(body []byte, full bool) error {
	frame := frameOf(body, 0)
	name, err := d.replace(partsKind, frame)
	if name != "" {
		length := int64(len(frame))
		d.parts = journal{name: name, length: length, first: length, unconfirmed: err != nil, full: full}
	}
	return err
}

// appendFrame appends a frame, overwriting what a failed write may have left behind the last valid one.
func (d *DataDir) appendFrame(body []byte) error {
	j := &d.parts
	if j.torn {
		if err := d.files.truncate(j.name, j.length); err != nil {
			return err
		}
	}
	frame := frameOf(body, j.length)
	j.torn = true
	if err := d.files.append(j.name, frame); err != nil {
		return err
	}
	j.torn = false
	j.length += int64(len(frame))
	return nil
}

// LoadParts reads what was saved, and advances each part's state machine from the empty state to its newest entry. A
// part's entries follow founded, the entry that its group was founded with, or a full entry; founded is nil for a
// replica that is no founder.
func (d *DataDir) LoadParts(machines []replica.StateMachine, founded *wire.Entry) ([]replica.PersistentState, error) {
	for _, m := range machines {
		if err := m.Restore(nil); err != nil {
			return nil, fmt.Errorf("store: %w", err)
		}
	}
	if len(machines) == 0 {
		return nil, nil
	}
	batches, err := d.loadJournal()
	if err != nil {
		return nil, err
	}
	disks, err := replay(machines, founded, batches)
	if err != nil {
		return nil, fmt.Errorf("%w: %s: %w", ErrCorrupt, d.parts.name, err)
	}
	return disks, nil
}

// loadJournal reads the newest file. An earlier process may have been killed between a write and its sync, and a
// reader of the frame takes it for durable, so the file is synced first.
func (d *DataDir) loadJournal() ([][]partRecord, error) {
	d.parts = journal{}
	name, err := d.newestName(partsKind)
	if err != nil || name == "" {
		return nil, err
	}
	if err := d.files.syncFile(name); err != nil {
		return nil, err
	}
	data, err := d.files.read(name)
	if err != nil {
		return nil, err
	}
	j, batches, err := readJournal(data)
	if err != nil {
		return nil, fmt.Errorf("%w: %s: %w", ErrCorrupt, name, err)
	}
	j.name = name
	d.parts = j
	return batches, nil
}

// readJournal reads all frames up to the first torn one.
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

// replay advances the machines through the batches of a journal.
func replay(machines []replica.StateMachine, founded *wire.Entry, batches [][]partRecord) (
	[]replica.PersistentState, error) {
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
	disks := make([]replica.PersistentState, len(machines))
	for part, chain := range chains {
		if err := checkOrder(chain); err != nil {
			return nil, fmt.Errorf("part %d: %w", part, err)
		}
		newest, err := replica.Replay(machines[part], chain)
		if err != nil {
			return nil, fmt.Errorf("part %d: %w", part, err)
		}
		disks[part] = votes[part].withEntry(newest)
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

// frameOf returns the frame of a body at an offset in the file.
func frameOf(body []byte, at int64) []byte {
	frame := make([]byte, 0, headerSize+len(body)+checksumSize)
	frame = binary.BigEndian.AppendUint32(frame, uint32(len(body)))
	frame = binary.BigEndian.AppendUint32(frame, uint32(checksumAt(at, frame)))
	frame = append(frame, body...)
	return binary.BigEndian.AppendUint64(frame, checksumAt(at, body))
}

// frameAt returns the body of the frame at an offset; nil if there is no valid one.
func frameAt(data []byte, at int64) []byte {
	rest := data[at:]
	if len(rest) < minFrameSize {
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

// hasFrameAfter reports whether a valid frame begins anywhere beyond an offset.
func hasFrameAfter(data []byte, at int64) bool {
	for at++; at < int64(len(data)); at++ {
		if frameAt(data, at) != nil {
			return true
		}
	}
	return false
}

// checksumAt returns the checksum of bytes at an offset in the file.
func checksumAt(at int64, data []byte) uint64 {
	return xxhash.Sum64(binary.BigEndian.AppendUint64(nil, uint64(at))) ^ xxhash.Sum64(data)
}
