package control

import (
	"errors"
	"math/rand/v2"
	"strconv"

	"github.com/hashicorp/go-hclog"

	"ivybank/control/replica"
	"ivybank/control/store"
	"ivybank/settings"
	"ivybank/wire"
)

// loadDisk returns the identity of this process and its stored state. On the very first start the machines of the seed
// list found the group. Any other process with an empty disk is new, even at the address of a founder. If a file that
// was complete before is damaged, the whole disk counts as lost, since its content can't be determined: the process
// takes a new identity. machines are the state machines of the coordination parts; each is replayed up to its newest
// entry. There are none if the fleet runs without coordination.
func loadDisk(s *settings.Settings, folder *store.DataDir, machines []replica.StateMachine, random *rand.Rand,
	log hclog.Logger) (storedState, error) {
	bootstrap := s.Bootstrap
	disk, err := readDisk(folder, machines)
	if errors.Is(err, store.ErrCorrupt) {
		log.Error("stored state is damaged; moving its files aside and taking a new identity", "error", err)
		if err := folder.Quarantine(); err != nil {
			return disk, err
		}
		bootstrap = false // this machine may have voted as a founder before
		disk, err = readDisk(folder, machines)
	}
	if err != nil {
		return disk, err
	}
	if disk.identity.ID == "" {
		disk.identity = newIdentity(s, bootstrap, random)
		if err := folder.SaveIdentity(disk.identity); err != nil {
			return disk, err
		}
	}
	if disk.replica.Entry == nil {
		disk.replica.Entry = foundingEntry(disk.identity)
	}
	for part := range disk.parts {
		if disk.parts[part].Entry == nil {
			disk.parts[part].Entry = foundingEntry(disk.identity)
		}
	}
	return disk, nil
}

// foundingEntry returns the entry that a founder's groups start from, or nil for any other process.
func foundingEntry(of store.Identity) *wire.Entry {
	if len(of.Founders) == 0 {
		return nil
	}
	return replica.FoundingEntry(of.Founders, nil)
}

// storedState is what a control process finds on its disk.
type storedState struct {
	identity store.Identity
	replica  replica.PersistentState
	parts    []replica.PersistentState // of the coordination parts, by part number
	tenures  []string
}

func readDisk(folder *store.DataDir, machines []replica.StateMachine) (disk storedState, err error) {
	if disk.identity, _, err = folder.Identity(); err != nil {
		return storedState{}, err
	}
	if disk.replica, err = folder.Load(); err != nil {
		return storedState{}, err
	}
	if disk.parts, err = folder.LoadParts(machines, foundingEntry(disk.identity)); err != nil {
		return storedState{}, err
	}
	if disk.tenures, err = folder.LongTenures(); err != nil {
		return storedState{}, err
	}
	return disk, nil
}

// newIdentity returns the identity of a process with an empty disk.
func newIdentity(s *settings.Settings, bootstrap bool, random *rand.Rand) store.Identity {
	founders := foundingMembers(s)
	if bootstrap {
		for _, m := range founders {
			if m.IP == s.IP {
				return store.Identity{ID: m.ID, Founder: true, Founders: founders}
			}
		}
	}
	return store.Identity{ID: s.IP + "/" + strconv.FormatUint(random.Uint64(), 36)}
}

func foundingMembers(s *settings.Settings) []wire.Member {
	var members []wire.Member
	for _, ip := range s.SeedIPs() {
		members = append(members, wire.Member{ID: ip + "/founder", IP: ip})
	}
	return members
}
