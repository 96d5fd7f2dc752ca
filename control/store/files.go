// Package store keeps a control process's state on its disk, and defines what the replicated state holds.
// Each version is a file of its own: written aside, synced, renamed, and the folder synced; then older ones go.
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
	identityKind = "member"
	voteKind     = "vote"
	entryKind    = "entry"
	tenureKind   = "tenure"
	asideSuffix  = ".tmp"
	spoiltPrefix = "spoilt."
	filePerm     = 0o600
	folderPerm   = 0o700
	checksumSize = 8
	numberBase   = 10
)

// ErrDamaged says that a file isn't what was written. A file has its name only once its content is on disk, so this is
// no write that was cut short: the disk has lost what it had told to keep.
var ErrDamaged = errors.New("store: damaged file")

// Identity is who a replica is. It is written once, when the disk is new.
type Identity struct {
	ID       string        `cbor:"1,keyasint"`
	Founder  bool          `cbor:"2,keyasint"`
	Founders []wire.Member `cbor:"3,keyasint,omitempty"` // whom a founder founds the group with
}

type vote struct {
	Term uint64 `cbor:"1,keyasint"`
	For  string `cbor:"2,keyasint"`
}

// Folder is the data folder of one control process. Only one goroutine uses it at a time.
type Folder struct {
	files fileSystem
	next  uint64 // number of the next file
	parts journal

	namesSynced bool // all names that an earlier process left are on disk
}

// Open makes the folder where it is missing.
func Open(path string) (*Folder, error) {
	if err := os.MkdirAll(path, folderPerm); err != nil {
		return nil, fmt.Errorf("store: %w", err)
	}
	return openFolder(osFolder(path)), nil
}

// openFolder takes a folder over. What was written aside by an earlier process was never part of the state.
func openFolder(files fileSystem) *Folder {
	names, _ := files.names() // what can't be listed now fails at the first read
	for _, name := range names {
		if strings.HasSuffix(name, asideSuffix) {
			_ = files.remove(name)
		}
	}
	return &Folder{files: files, next: 1}
}

// Identity gives who this disk belongs to; ok is false on an empty disk.
func (f *Folder) Identity() (id Identity, ok bool, err error) {
	ok, err = f.newest(identityKind, &id)
	return id, ok, err
}

// SaveIdentity writes who this disk belongs to.
func (f *Folder) SaveIdentity(id Identity) error { return f.write(identityKind, id) }

// Load reads what a replica had saved.
func (f *Folder) Load() (replica.Disk, error) {
	var v vote
	var e wire.Entry
	if _, err := f.newest(voteKind, &v); err != nil {
		return replica.Disk{}, err
	}
	found, err := f.newest(entryKind, &e)
	if err != nil {
		return replica.Disk{}, err
	}
	if !found {
		return v.with(nil), nil
	}
	return v.with(&e), nil
}

// with gives what a replica finds: no vote in the term of an entry that is newer than the vote.
func (v vote) with(e *wire.Entry) replica.Disk {
	if e != nil && e.Term > v.Term {
		return replica.Disk{Term: e.Term, Entry: e}
	}
	return replica.Disk{Term: v.Term, VotedFor: v.For, Entry: e}
}

// Save writes what has changed. After an error it may be called again.
func (f *Folder) Save(s *replica.Save) error {
	if s.VoteChanged {
		if err := f.write(voteKind, vote{s.Disk.Term, s.Disk.VotedFor}); err != nil {
			return err
		}
	}
	if s.EntryChanged {
		return f.write(entryKind, s.Disk.Entry)
	}
	return nil
}

// Tenures gives the resources whose holder was long in office, by the newest file.
func (f *Folder) Tenures() (long []string, err error) {
	_, err = f.newest(tenureKind, &long)
	return long, err
}

// SaveTenures writes them.
func (f *Folder) SaveTenures(long []string) error { return f.write(tenureKind, long) }

// SetAside renames all files of a spoilt disk, so that none of them is read again and what is left of them can be looked
// at. Those that were set aside before go. The identity goes first: without what it promised, it must not be found again.
func (f *Folder) SetAside() error {
	names, err := f.files.names()
	if err != nil {
		return err
	}
	var identities, others []string
	for _, name := range names {
		switch {
		case strings.HasPrefix(name, spoiltPrefix):
			_ = f.files.remove(name)
		case strings.HasPrefix(name, identityKind+"-"):
			identities = append(identities, name)
		default:
			others = append(others, name)
		}
	}
	if err := f.setAside(identities); err != nil {
		return err
	}
	return f.setAside(others)
}

// setAside returns once the files have their new names on disk.
func (f *Folder) setAside(names []string) error {
	for _, name := range names {
		if err := f.files.rename(name, spoiltPrefix+name); err != nil {
			return err
		}
	}
	return f.files.sync()
}

// write stores a version and then removes the older ones of its kind.
func (f *Folder) write(kind string, v any) error {
	body, err := cbor.Marshal(v)
	if err != nil {
		return fmt.Errorf("store: %w", err)
	}
	_, err = f.replace(kind, binary.BigEndian.AppendUint64(body, xxhash.Sum64(body)))
	return err
}

// replace writes the newest file of a kind and then removes the older ones. Once it gives a name, the file has that name,
// though after an error it may lose it at a loss of power.
func (f *Folder) replace(kind string, data []byte) (name string, err error) {
	older, err := f.list(kind)
	if err != nil {
		return "", err
	}
	name = fileName(kind, f.next)
	f.next++ // no name is used twice, as a name that is renamed may lead to what it led to before
	if err := f.files.write(name+asideSuffix, data); err != nil {
		_ = f.files.remove(name + asideSuffix)
		return "", err
	}
	if err := f.files.rename(name+asideSuffix, name); err != nil {
		return "", err
	}
	if err := f.files.sync(); err != nil {
		return name, err
	}
	for _, n := range older {
		_ = f.files.remove(fileName(kind, n)) // it may come back, and is older then
	}
	return name, nil
}

func fileName(kind string, number uint64) string {
	return kind + "-" + strconv.FormatUint(number, numberBase)
}

// list gives the numbers of a kind's files and moves f.next past all that are there.
func (f *Folder) list(kind string) ([]uint64, error) {
	names, err := f.files.names()
	if err != nil {
		return nil, err
	}
	var numbers []uint64
	for _, name := range names {
		of, number, ok := strings.Cut(strings.TrimSuffix(name, asideSuffix), "-")
		n, err := strconv.ParseUint(number, numberBase, 64)
		if !ok || err != nil {
			continue
		}
		f.next = max(f.next, n+1)
		if of == kind && !strings.HasSuffix(name, asideSuffix) {
			numbers = append(numbers, n)
		}
	}
	return numbers, nil
}

// newest reads the newest file of a kind into v. It reports false where there is none. An older one in its place is no
// help: a vote that it doesn't know of might be given twice.
func (f *Folder) newest(kind string, v any) (bool, error) {
	name, err := f.newestName(kind)
	if err != nil || name == "" {
		return false, err
	}
	data, err := f.files.read(name)
	if err != nil {
		return false, err
	}
	if err := decode(data, v); err != nil {
		return false, fmt.Errorf("%w: %s: %w", ErrDamaged, name, err)
	}
	return true, nil
}

// newestName gives the name of the newest file of a kind; "" where there is none. An earlier process may have been killed
// between a rename and its sync: who finds the new name takes it for stored, so it is synced first.
func (f *Folder) newestName(kind string) (string, error) {
	if !f.namesSynced {
		if err := f.files.sync(); err != nil {
			return "", err
		}
		f.namesSynced = true
	}
	numbers, err := f.list(kind)
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
