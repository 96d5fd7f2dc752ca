// Package holds keeps which hosts operators have taken out by hand, in one file that outlives the process and that
// both processes of an upgrade follow. It owns that file. It must never judge whether an id is known, and never
// leave a file that is half written.
package holds

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"maps"
	"os"
	"sync"
	"syscall"
	"time"
)

// keepBack is how long a return is remembered: discovery may be late to tell that the host was restarted.
const returnRetention = int64(10 * time.Minute)

// Hold is what is known of one host. Times are Unix nanoseconds.
type Hold struct {
	Out        bool  `json:"out"`
	Since      int64 `json:"from"` // since when it was out
	ReturnedAt int64 `json:"back"` // when it was put back
}

// Table is all holds. A version is never used twice.
type Table struct {
	Version int64           `json:"version"`
	Hosts   map[string]Hold `json:"hosts"` // emptied of what was put back long ago at each change
}

// Store is the file and what it held when last looked at.
type Store struct {
	path  string
	mu    sync.Mutex
	table Table
	fileInfo  os.FileInfo // of the file that the table is from
}

// Open reads the file, if there is one. One that cannot be read counts as none, and is told of.
func Open(path string) (*Store, error) {
	s := &Store{path: path, table: Table{Hosts: map[string]Hold{}}}
	_, err := s.refresh()
	return s, err
}

// Table gives what was last read or written.
func (s *Store) Table() Table {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.copy()
}

func (t Table) copy() Table { return Table{t.Version, maps.Clone(t.Hosts)} }

// Follow looks whether the other process has changed the file.
func (s *Store) Refresh() (Table, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	changed, _ := s.refresh()
	return s.table.copy(), changed
}

// refresh reads the file anew where it is another one than before.
func (s *Store) refresh() (bool, error) {
	info, err := os.Stat(s.path)
	if err != nil || s.fileInfo != nil && os.SameFile(info, s.fileInfo) && info.ModTime().Equal(s.fileInfo.ModTime()) {
		if errors.Is(err, fs.ErrNotExist) {
			err = nil
		}
		return false, err
	}
	content, err := os.ReadFile(s.path)
	if err != nil {
		return false, err
	}
	var t Table
	if err := json.Unmarshal(content, &t); err != nil {
		return false, fmt.Errorf("%s: %w", s.path, err)
	}
	if t.Hosts == nil {
		t.Hosts = map[string]Hold{}
	}
	s.fileInfo = info
	if t.Version <= s.table.Version {
		return false, nil
	}
	s.table = t
	return true, nil
}

// Set takes a host out or puts it back, and gives the table as it is then. With an error the table holds for this
// process alone. One that is set already, or that was never out, changes nothing.
func (s *Store) Set(id string, out bool, now int64) (Table, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	unlock, err := s.lock()
	defer unlock()
	_, _ = s.refresh()
	if s.table.Hosts[id].Out == out {
		return s.table.copy(), nil
	}
	t := s.table.copy()
	h := Hold{Out: true, Since: now}
	if !out {
		h = Hold{Since: t.Hosts[id].Since, ReturnedAt: now}
	}
	t.Hosts[id] = h
	maps.DeleteFunc(t.Hosts, func(_ string, h Hold) bool { return !h.Out && now-h.ReturnedAt > returnRetention })
	t.Version++
	s.table = t
	if err == nil {
		err = s.write(t)
	}
	return t.copy(), err
}

// Restore takes a newer table that was kept elsewhere, as when the file was lost; false where this one is no older.
func (s *Store) Restore(t Table) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if t.Version <= s.table.Version {
		return false
	}
	if s.table = t.copy(); s.table.Hosts == nil {
		s.table.Hosts = map[string]Hold{}
	}
	if unlock, err := s.lock(); err == nil {
		_ = s.write(s.table)
		unlock()
	}
	return true
}

// lock keeps the other process from changing the file between our reading and writing it.
func (s *Store) lock() (unlock func(), err error) {
	f, err := os.OpenFile(s.path+".lock", os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return func() {}, err
	}
	return func() { _ = f.Close() }, syscall.Flock(int(f.Fd()), syscall.LOCK_EX)
}

func (s *Store) write(t Table) error {
	content, err := json.Marshal(t)
	if err != nil {
		return err
	}
	tempPath := s.path + ".next"
	if err := os.WriteFile(tempPath, content, 0o600); err != nil {
		return err
	}
	if err := os.Rename(tempPath, s.path); err != nil {
		return err
	}
	s.fileInfo, err = os.Stat(s.path)
	return err
}
