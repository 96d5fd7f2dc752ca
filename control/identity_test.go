package control

import (
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"ivybank/control/replica"
	"ivybank/control/store"
	"ivybank/settings"
	"ivybank/wire"
)

// appendingMachine is a state machine whose state is the concatenation of all commands.
type appendingMachine struct{ state []byte }

func (m *appendingMachine) Apply(commands []byte, _ time.Duration) {
	m.state = append(m.state, commands...)
}
func (m *appendingMachine) Snapshot() []byte { return slices.Clone(m.state) }
func (m *appendingMachine) SnapshotAfter(commands []byte, _ time.Duration) []byte {
	return append(m.Snapshot(), commands...)
}
func (m *appendingMachine) Restore(value []byte) error {
	m.state = slices.Clone(value)
	return nil
}

func loadStoredState(t *testing.T, s *settings.Settings, path string,
	machines []replica.StateMachine) (storedState, *store.DataDir) {
	t.Helper()
	folder, err := store.Open(path)
	assert.NilError(t, err)
	disk, err := loadDisk(s, folder, machines, rand.New(rand.NewPCG(1, 1)), hclog.NewNullLogger())
	assert.NilError(t, err)
	return disk, folder
}

// A founder's parts start from the founding entry and are loaded again after a restart. If their file is damaged, the
// whole disk counts as lost.
func TestFounderLoadsItsParts(t *testing.T) {
	s := &settings.Settings{IP: "10.0.0.1", Seeds: []string{"10.0.0.1:8665", "10.0.0.2:8665"}, Bootstrap: true}
	path := t.TempDir()
	machines := []replica.StateMachine{&appendingMachine{}, &appendingMachine{}}
	disk, folder := loadStoredState(t, s, path, machines)
	assert.Equal(t, len(disk.parts), len(machines))
	for _, part := range disk.parts {
		assert.DeepEqual(t, part.Entry, disk.replica.Entry)
	}
	founded := disk.parts[1].Entry
	step := &wire.Entry{Term: 1, Index: 2, After: founded.Position(), Commands: []byte("x")}
	save := &replica.Save{State: replica.PersistentState{Term: 1}, Entries: []*wire.Entry{step}}
	_, err := folder.SaveParts(&store.PartsBatch{Saves: []store.PartSave{{Part: 1, Save: save}}})
	assert.NilError(t, err)

	again, _ := loadStoredState(t, s, path, machines)
	assert.Equal(t, again.identity.ID, disk.identity.ID)
	assert.Equal(t, again.parts[0].Entry.Position(), founded.Position())
	assert.Equal(t, again.parts[1].Entry.Position(), step.Position())
	assert.DeepEqual(t, again.parts[1].Entry.Members, founded.Members)
	assert.Equal(t, string(machines[1].Snapshot()), "x")

	names, err := filepath.Glob(filepath.Join(path, "parts-*"))
	assert.NilError(t, err)
	assert.NilError(t, os.WriteFile(names[0], []byte("spoilt"), 0o600))
	lost, _ := loadStoredState(t, s, path, machines)
	assert.Assert(t, lost.identity.ID != disk.identity.ID && !lost.identity.Founder)
	assert.Assert(t, lost.replica.Entry == nil && lost.parts[1].Entry == nil)
	assert.Equal(t, len(machines[1].Snapshot()), 0)
}

func TestProcessWithoutCoordinationLoadsNoParts(t *testing.T) {
	s := &settings.Settings{IP: "10.0.0.1", Seeds: []string{"10.0.0.1:8665"}, Bootstrap: true}
	disk, _ := loadStoredState(t, s, t.TempDir(), nil)
	assert.Equal(t, len(disk.parts), 0)
}
