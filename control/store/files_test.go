package store

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"ivybank/control/replica"
	"ivybank/wire"
)

func open(t *testing.T, path string) *DataDir {
	t.Helper()
	f, err := Open(path)
	assert.NilError(t, err)
	return f
}

func save(t *testing.T, f *DataDir, term, index uint64) {
	t.Helper()
	disk := replica.PersistentState{Term: term, VotedFor: "a", Entry: &wire.Entry{Term: term, Index: index, Value: []byte("value")}}
	assert.NilError(t, f.Save(&replica.Save{State: disk, EntryChanged: true, VoteChanged: true}))
}

func TestNewestVersionIsLoaded(t *testing.T) {
	path := t.TempDir()
	f := open(t, path)
	for i := range uint64(12) {
		save(t, f, i, 2*i)
	}
	disk, err := open(t, path).Load()
	assert.NilError(t, err)
	assert.Equal(t, disk.Term, uint64(11))
	assert.Equal(t, disk.Entry.Index, uint64(22))
	files, err := os.ReadDir(path)
	assert.NilError(t, err)
	assert.Equal(t, len(files), 2, "one vote and one entry are kept")
}

func TestTemporaryFilesAreIgnored(t *testing.T) {
	path := t.TempDir()
	save(t, open(t, path), 1, 5)
	for name, data := range map[string]string{"entry-90.tmp": "torn", "vote-91.tmp": "", "entry-x": "odd", "other": ""} {
		assert.NilError(t, os.WriteFile(filepath.Join(path, name), []byte(data), 0o600))
	}
	f := open(t, path)
	disk, err := f.Load()
	assert.NilError(t, err)
	assert.Equal(t, disk.Entry.Index, uint64(5))
	save(t, f, 2, 6)
	disk, err = open(t, path).Load()
	assert.NilError(t, err)
	assert.Equal(t, disk.Entry.Index, uint64(6))
	left, err := filepath.Glob(filepath.Join(path, "*"+tempSuffix))
	assert.NilError(t, err)
	assert.Equal(t, len(left), 0, "temporary files don't accumulate")
}

// A file that has its final name was completely on disk. If the newest one is corrupt, no older one is used in its
// place, and no vote is given based on it.
func TestCorruptVersionIsReportedAndNeverUsed(t *testing.T) {
	for _, name := range []string{"entry-90", "vote-90", "member-90"} {
		for _, data := range []string{"torn in the middle", ""} {
			path := t.TempDir()
			assert.NilError(t, open(t, path).SaveIdentity(Identity{ID: "a"}))
			save(t, open(t, path), 1, 5)
			assert.NilError(t, os.WriteFile(filepath.Join(path, name), []byte(data), 0o600))
			f := open(t, path)
			_, _, identityErr := f.Identity()
			_, loadErr := f.Load()
			err := errors.Join(identityErr, loadErr)
			assert.ErrorIs(t, err, ErrCorrupt)
			assert.ErrorContains(t, err, name)
			assert.NilError(t, f.Quarantine())
			_, known, err := f.Identity()
			assert.NilError(t, err)
			assert.Assert(t, !known)
			disk, err := f.Load()
			assert.NilError(t, err)
			assert.Assert(t, disk.Entry == nil && disk.Term == 0 && disk.VotedFor == "")
			kept, err := os.ReadFile(filepath.Join(path, corruptPrefix+name))
			assert.NilError(t, err)
			assert.Equal(t, string(kept), data)
			assert.NilError(t, f.Quarantine(), "earlier quarantined files are removed")
		}
	}
}

func TestEveryFlippedByteIsDetected(t *testing.T) {
	path := t.TempDir()
	save(t, open(t, path), 3, 7)
	entries, err := filepath.Glob(filepath.Join(path, "entry-*"))
	assert.NilError(t, err)
	data, err := os.ReadFile(entries[0])
	assert.NilError(t, err)
	for i := range data {
		corrupt := append([]byte{}, data...)
		corrupt[i] ^= 1
		assert.NilError(t, os.WriteFile(entries[0], corrupt, 0o600))
		_, err := open(t, path).Load()
		assert.ErrorIs(t, err, ErrCorrupt, "byte %d", i)
	}
}

func TestIdentitySurvivesARestart(t *testing.T) {
	path := t.TempDir()
	_, known, err := open(t, path).Identity()
	assert.NilError(t, err)
	assert.Assert(t, !known)
	assert.NilError(t, open(t, path).SaveIdentity(Identity{ID: "a", Founder: true}))
	id, known, err := open(t, path).Identity()
	assert.NilError(t, err)
	assert.Assert(t, known)
	assert.DeepEqual(t, id, Identity{ID: "a", Founder: true})
}

func TestStateAcceptsOnlyTheNextVersion(t *testing.T) {
	s := &State{}
	one, err := s.Next(0, 3, []byte("one"))
	assert.NilError(t, err)
	_, err = one.Next(0, 4, []byte("two"))
	assert.ErrorIs(t, err, ErrConflict)
	_, err = one.Next(3, 3, []byte("two"))
	assert.ErrorContains(t, err, "not above")
	two, err := one.Next(3, 4, []byte("two"))
	assert.NilError(t, err)
	assert.Assert(t, two.Accepted(DigestOf(0, []byte("one"))), "an older update is recognised")
	assert.Assert(t, !two.Accepted(DigestOf(3, []byte("one"))), "the base revision is part of the digest")
}

func TestStateKeepsTheNewestUpdates(t *testing.T) {
	s := &State{}
	for i := range int64(maxRememberedUpdates + 5) {
		next, err := s.Next(i, i+1, []byte(strings.Repeat("x", int(i%7))))
		assert.NilError(t, err)
		s = next
	}
	assert.Equal(t, len(s.AcceptedUpdates), maxRememberedUpdates)
	assert.Assert(t, s.Accepted(DigestOf(maxRememberedUpdates+4, []byte(strings.Repeat("x", (maxRememberedUpdates+4)%7)))))
}
