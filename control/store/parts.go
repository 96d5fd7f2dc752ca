package store

import (
	"ivybank/control/replica"
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

// SaveParts returns once a batch is on disk. wantsWhole asks for a whole one next, as the file has grown. After an error it
// may be called again with the same batch.
func (f *Folder) SaveParts(b *PartsBatch) (wantsWhole bool, err error) {
	panic("not built yet")
}

// LoadParts reads what was saved, and leads each part's machine to its newest entry.
func (f *Folder) LoadParts(machines []replica.Machine) ([]replica.Disk, error) {
	panic("not built yet")
}
