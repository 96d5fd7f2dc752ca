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

// loadDisk gives who this process is and what it has stored. At the very first start the machines of the seeds found the
// group; any other process with an empty disk is new, also one at a founder's address. A disk on which a file is spoilt
// that was whole once counts as lost: what it held can't be told, so this is a new process. The machines are those of the
// coordination parts, each led to its newest entry; none where there is no coordination.
func loadDisk(s *settings.Settings, folder *store.Folder, machines []replica.Machine, random *rand.Rand, log hclog.Logger) (stored, error) {
	bootstrap := s.Bootstrap
	disk, err := readDisk(folder, machines)
	if errors.Is(err, store.ErrCorrupt) {
		log.Error("disk spoilt, its files are set aside and a new identity is taken", "error", err)
		if err := folder.Quarantine(); err != nil {
			return disk, err
		}
		bootstrap = false // it may have voted as a founder
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

// foundingEntry is what a founder's groups start from; nil for any other process.
func foundingEntry(of store.Identity) *wire.Entry {
	if len(of.Founders) == 0 {
		return nil
	}
	return replica.Found(of.Founders, nil)
}

// stored is what a control process finds on its disk.
type stored struct {
	identity store.Identity
	replica  replica.PersistentState
	parts    []replica.PersistentState // of the coordination, in the order of its parts
	tenures  []string
}

func readDisk(folder *store.Folder, machines []replica.Machine) (disk stored, err error) {
	if disk.identity, _, err = folder.Identity(); err != nil {
		return stored{}, err
	}
	if disk.replica, err = folder.Load(); err != nil {
		return stored{}, err
	}
	if disk.parts, err = folder.LoadParts(machines, foundingEntry(disk.identity)); err != nil {
		return stored{}, err
	}
	if disk.tenures, err = folder.Tenures(); err != nil {
		return stored{}, err
	}
	return disk, nil
}

// newIdentity is that of a process with an empty disk.
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
