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
// that was whole once counts as lost: what it held can't be told, so this is a new process.
func loadDisk(s *settings.Settings, folder *store.Folder, random *rand.Rand, log hclog.Logger) (store.Identity, replica.Disk, error) {
	bootstrap := s.Bootstrap
	identity, disk, err := readDisk(folder)
	if errors.Is(err, store.ErrDamaged) {
		log.Error("disk spoilt, its files are set aside and a new identity is taken", "error", err)
		if err := folder.SetAside(); err != nil {
			return identity, disk, err
		}
		bootstrap = false // it may have voted as a founder
		identity, disk, err = readDisk(folder)
	}
	if err != nil {
		return identity, disk, err
	}
	if identity.ID == "" {
		identity = newIdentity(s, bootstrap, random)
		if err := folder.SaveIdentity(identity); err != nil {
			return identity, disk, err
		}
	}
	if disk.Entry == nil && len(identity.Founders) > 0 {
		disk.Entry = replica.Found(identity.Founders, nil)
	}
	return identity, disk, nil
}

func readDisk(folder *store.Folder) (store.Identity, replica.Disk, error) {
	identity, _, err := folder.Identity()
	if err != nil {
		return store.Identity{}, replica.Disk{}, err
	}
	disk, err := folder.Load()
	return identity, disk, err
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
