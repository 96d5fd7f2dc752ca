package lab

// This file holds the faults of the proxies' state folders: deleted, truncated, a bit flipped, not writable, restored
// from an older copy. It must never touch a folder that a rig has not made.

import (
	"os"
	"path/filepath"
	"slices"
	"time"

	"ivybank/rehearse/emu"
)

const (
	stateFolder      = "state"               // the folder that an experiment's operator files name, relative to the proxy's working folder
	savedFolder      = "state.saved"         // the older copy
	snapshotTempName = "memory.snap.new"     // the file that a snapshot is written to; a folder in its place makes writing fail
	endWait          = 50 * time.Millisecond // how long a process that was just killed may take to end
)

func (x *process) state() string { return filepath.Join(x.folder, stateFolder) }

// damageState applies a state fault to a proxy's folder. It first waits up to endWait, so that a proxy killed at the
// same time has ended before.
func (r *rig) damageState(p *process, x emu.Fault) {
	position := r.random.Next()
	r.wait.Go(func() {
		select {
		case <-p.ended:
		case <-time.After(endWait):
		}
		state, saved := p.state(), filepath.Join(p.folder, savedFolder)
		switch x.Kind {
		case "state_lost":
			_ = os.RemoveAll(state)
		case "state_save":
			_ = os.RemoveAll(saved)
			copyFolder(state, saved)
		case "state_old":
			_ = os.RemoveAll(state)
			copyFolder(saved, state)
		case "state_full":
			_ = os.RemoveAll(filepath.Join(state, snapshotTempName))
			_ = os.MkdirAll(filepath.Join(state, snapshotTempName, "full"), 0o700)
		case "state_cut", "state_flip":
			for _, f := range files(state) {
				b, err := os.ReadFile(f)
				if err != nil || len(b) == 0 {
					continue
				}
				if x.Kind == "state_cut" {
					b = b[:int(x.Magnitude*float64(len(b)))]
				} else {
					at := int(position * float64(8*len(b)))
					b[at/8] ^= 1 << (at % 8)
				}
				_ = os.WriteFile(f, b, 0o600)
			}
		}
	})
}

// files returns the paths of the regular files in a folder, sorted.
func files(folder string) (all []string) {
	entries, _ := os.ReadDir(folder)
	for _, e := range entries {
		if e.Type().IsRegular() {
			all = append(all, filepath.Join(folder, e.Name()))
		}
	}
	slices.Sort(all)
	return all
}

func copyFolder(from, to string) {
	_ = os.MkdirAll(to, 0o700)
	for _, f := range files(from) {
		if b, err := os.ReadFile(f); err == nil {
			_ = os.WriteFile(filepath.Join(to, filepath.Base(f)), b, 0o600)
		}
	}
}
