// Package store keeps a control process's state on disk, and defines the content of the replicated configuration
// state. Each version is a file of its own: written under a temporary name, synced, renamed, and the directory
// synced; then older versions are removed.
package store

import (
	"encoding/binary"
	"errors"
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"ivybank/control/replica"
	"ivybank/wire"
)

const (
	identityKind  = "member"
	voteKind      = "vote"
	entryKind     = "entry"
	tenureKind    = "tenure"
	tempSuffix    = ".tmp"
	corruptPrefix = "spoilt."
	filePerm      = 0o600
	folderPerm    = 0o700
	checksumSize  = 8
	numberBase    = 10
)

// ErrCorrupt reports a file whose content isn't what was written. A file gets its name only once its content is on
// disk, so this can't be an interrupted write: the disk has lost data that it had confirmed as stored.
var ErrCorrupt = errors.New("store: damaged file")

// Identity is the identity of a replica. It is written once, when the disk is new.
type Identity struct {
	ID       string        `cbor:"1,keyasint"`
	Founder  bool          `cbor:"2,keyasint"`
	Founders []wire.Member `cbor:"3,keyasint,omitempty"` // the members with which a founder founds the group
}

type vote struct {
	Term uint64 `cbor:"1,keyasint"`
	For  string `cbor:"2,keyasint"`
}

// DataDir is the data directory of one control process. Only one goroutine may use it at a time.
type DataDir struct {
	files fileSystem
	next  uint64 // number of the next file
	parts journal

	namesSynced bool // all file names that an earlier process left are on disk
}

// Open opens the data directory, and creates it if it is missing.
func Open(path string) (*DataDir, error) {
	if err := os.MkdirAll(path, folderPerm); err != nil {
		return nil, fmt.Errorf("store: %w", err)
	}
	return openDir(osDir(path)), nil
}

// openDir opens an existing directory and removes temporary files of earlier processes, which were never part of the
// state.
func openDir(files fileSystem) *DataDir {
	names, _ := files.names() // if listing fails now, the first read fails too
	for _, name := range names {
		if strings.HasSuffix(name, tempSuffix) {
			_ = files.remove(name)
		}
	}
	return &DataDir{files: files, next: 1}
}

// Identity returns the identity stored on this disk; ok is false on an empty disk.
func (d *DataDir) Identity() (id Identity, ok bool, err error) {
	ok, err = d.newest(identityKind, &id)
	return id, ok, err
}

// SaveIdentity writes the identity of this disk's replica.
func (d *DataDir) SaveIdentity(id Identity) error { return d.write(identityKind, id) }

// Load reads the state that a replica had saved.
func (d *DataDir) Load() (replica.PersistentState, error) {
	var v vote
	var e wire.Entry
	if _, err := d.newest(voteKind, &v); err != nil {
		return replica.PersistentState{}, err
	}
	found, err := d.newest(entryKind, &e)
	if err != nil {
		return replica.PersistentState{}, err
	}
	if !found {
		return v.withEntry(nil), nil
	}
	return v.withEntry(&e), nil
}

// withEntry returns the state that a replica starts from: without a vote if the entry's term is newer than the
// vote's.
func (v vote) withEntry(e *wire.Entry) replica.PersistentState {
	if e != nil && e.Term > v.Term {
		return replica.PersistentState{Term: e.Term, Entry: e}
	}
	return replica.PersistentState{Term: v.Term, VotedFor: v.For, Entry: e}
}

// Save writes what has changed. After an error it may be called again.
func (d *DataDir) Save(s *replica.Save) error {
	if s.VoteChanged {
		if err := d.write(voteKind, vote{s.State.Term, s.State.VotedFor}); err != nil {
			return err
		}
	}
	if s.EntryChanged {
		return d.write(entryKind, s.State.Entry)
	}
	return nil
}

// LongTenures returns the resources whose holder had a long tenure, from the newest file.
func (d *DataDir) LongTenures() (long []string, err error) {
	_, err = d.newest(tenureKind, &long)
	return long, err
}

// SaveLongTenures writes the resources whose holder had a long tenure.
func (d *DataDir) SaveLongTenures(long []string) error { return d.write(tenureKind, long) }

// Quarantine renames all files of a corrupt disk, so that none is read again but their content can be examined. Files
// of an earlier quarantine are removed. The identity goes first: it must not be found again without the state that it
// made promises about.
func (d *DataDir) Quarantine() error {
	names, err := d.files.names()
	if err != nil {
		return err
	}
	var identities, others []string
	for _, name := range names {
		switch {
		case strings.HasPrefix(name, corruptPrefix):
			_ = d.files.remove(name)
		case strings.HasPrefix(name, identityKind+"-"):
			identities = append(identities, name)
		default:
			others = append(others, name)
		}
	}
	if err := d.quarantine(identities); err != nil {
		return err
	}
	return d.quarantine(others)
}

// quarantine renames files and returns once the new names are on disk.
func (d *DataDir) quarantine(names []string) error {
	for _, name := range names {
		if err := d.files.rename(name, corruptPrefix+name); err != nil {
			return err
		}
	}
	return d.files.sync()
}

// write stores a new version of a kind and then removes the older ones.
func (d *DataDir) write(kind string, v any) error {
	body, err := cbor.Marshal(v)
	if err != nil {
		return fmt.Errorf("store: %w", err)
	}
	_, err = d.replace(kind, binary.BigEndian.AppendUint64(body, xxhash.Sum64(body)))
	return err
}

// replace writes the newest file of a kind and then removes the older ones. If it returns a name, the file has that
// name, though after an error a power loss may undo the renaming.
func (d *DataDir) replace(kind string, data []byte) (name string, err error) {
	older, err := d.list(kind)
	if err != nil {
		return "", err
	}
	name = fileName(kind, d.next)
	d.next++ // names are never reused, as a renamed name may lead to its former content after a power loss
	if err := d.files.write(name+tempSuffix, data); err != nil {
		_ = d.files.remove(name + tempSuffix)
		return "", err
	}
	if err := d.files.rename(name+tempSuffix, name); err != nil {
		return "", err
	}
	if err := d.files.sync(); err != nil {
		return name, err
	}
	for _, n := range older {
		_ = d.files.remove(fileName(kind, n)) // a power loss may bring it back, but it is not the newest then
	}
	return name, nil
}

func fileName(kind string, number uint64) string {
	return kind + "-" + strconv.FormatUint(number, numberBase)
}

// list returns the numbers of a kind's files, and moves d.next beyond the numbers of all files present.
func (d *DataDir) list(kind string) ([]uint64, error) {
	names, err := d.files.names()
	if err != nil {
		return nil, err
	}
	var numbers []uint64
	for _, name := range names {
		of, number, ok := strings.Cut(strings.TrimSuffix(name, tempSuffix), "-")
		n, err := strconv.ParseUint(number, numberBase, 64)
		if !ok || err != nil {
			continue
		}
		d.next = max(d.next, n+1)
		if of == kind && !strings.HasSuffix(name, tempSuffix) {
			numbers = append(numbers, n)
		}
	}
	return numbers, nil
}

// newest reads the newest file of a kind into v. It returns false if there is none. It never falls back to an older
// file: a vote that the older file doesn't record might be given twice.
func (d *DataDir) newest(kind string, v any) (bool, error) {
	name, err := d.newestName(kind)
	if err != nil || name == "" {
		return false, err
	}
	data, err := d.files.read(name)
	if err != nil {
		return false, err
	}
	if err := decode(data, v); err != nil {
		return false, fmt.Errorf("%w: %s: %w", ErrCorrupt, name, err)
	}
	return true, nil
}

// newestName returns the name of the newest file of a kind; "" if there is none. An earlier process may have been
// killed between a rename and its sync, and a reader of the new name takes it for durable, so names are synced first.
func (d *DataDir) newestName(kind string) (string, error) {
	if !d.namesSynced {
		if err := d.files.sync(); err != nil {
			return "", err
		}
		d.namesSynced = true
	}
	numbers, err := d.list(kind)
	if err != nil || len(numbers) == 0 {
		return "", err
	}
	return fileName(kind, slices.Max(numbers)), nil
}

var (
	errShort    = errors.New("too short")
	errChecksum = errors.New("checksum differs")
)

func decode(data []byte, v any) error {
	if len(data) < checksumSize {
		return errShort
	}
	body, sum := data[:len(data)-checksumSize], data[len(data)-checksumSize:]
	if binary.BigEndian.Uint64(sum) != xxhash.Sum64(body) {
		return errChecksum
	}
	return cbor.Unmarshal(body, v)
}
