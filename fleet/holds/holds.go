// Package holds stores which hosts operators have taken out manually, in one file that outlives the process and is
// shared by both processes of an upgrade. It never judges whether an id is known, and never leaves a file
// incomplete.
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

// returnRetention is how long a return is remembered, because discovery may be late to report that the host was
// restarted.
const returnRetention = int64(10 * time.Minute)

// Hold is the state of one host. Times are in Unix nanoseconds.
type Hold struct {
	Out        bool  `json:"out"`
	Since      int64 `json:"from"` // when it was taken out
	ReturnedAt int64 `json:"back"` // when it was returned
}

// Table holds the state of all hosts. A version is never used twice.
type Table struct {
	Version int64           `json:"version"`
	Hosts   map[string]Hold `json:"hosts"` // old returns are removed at each change
}

// Store is the file and its latest known content.
type Store struct {
	path     string
	mu       sync.Mutex
	table    Table
	fileInfo os.FileInfo // of the file that was read or written last
}

// Open reads the file if there is one. A file that cannot be read counts as empty, and the error is returned.
func Open(path string) (*Store, error) {
	s := &Store{path: path, table: Table{Hosts: map[string]Hold{}}}
	_, err := s.reload()
	return s, err
}

// Table returns what was last read or written.
func (s *Store) Table() Table {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.copy()
}

func (t Table) copy() Table { return Table{t.Version, maps.Clone(t.Hosts)} }

// Refresh reads the file if the other process has changed it, and reports whether it had.
func (s *Store) Refresh() (Table, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	changed, _ := s.reload()
	return s.table.copy(), changed
}

// reload reads the file if it is not the one read last.
func (s *Store) reload() (bool, error) {
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

// Set takes a host out or returns it, and returns the new table. With an error the table applies to this process
// only. Nothing changes if the host already has the state, or was never out.
func (s *Store) Set(id string, out bool, now int64) (Table, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	unlock, err := s.lock()
	defer unlock()
	_, _ = s.reload()
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

// Restore adopts a newer table that was stored elsewhere, for example after the file was lost. It returns false if
// the table is not newer than this one.
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

// lock keeps the other process from changing the file between a read and a write.
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
