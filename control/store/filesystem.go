package store

import (
	"fmt"
	"os"
	"path/filepath"
)

// fileSystem is one directory on a disk. File names contain no path.
type fileSystem interface {
	// write creates a file and returns once its content is on disk.
	write(name string, data []byte) error
	// append appends to a file and returns once all of its content is on disk. After an error any part of the data
	// may be there.
	append(name string, data []byte) error
	// truncate sets a file's length in bytes. It is only durable once the file is synced, by append or syncFile.
	truncate(name string, length int64) error
	// syncFile returns once a file's present content is on disk.
	syncFile(name string) error
	read(name string) ([]byte, error)
	rename(from, to string) error
	remove(name string) error
	names() ([]string, error)
	// sync returns once the present file names of the directory are on disk.
	sync() error
}

// osDir is a directory of the operating system's file system.
type osDir string

func (f osDir) path(name string) string { return filepath.Join(string(f), name) }

func (f osDir) write(name string, data []byte) error {
	return f.writeSynced(name, os.O_CREATE|os.O_WRONLY|os.O_TRUNC, data)
}

func (f osDir) append(name string, data []byte) error {
	return f.writeSynced(name, os.O_WRONLY|os.O_APPEND, data)
}

func (f osDir) syncFile(name string) error {
	return f.writeSynced(name, os.O_WRONLY, nil)
}

// writeSynced opens a file, writes to it and syncs it.
func (f osDir) writeSynced(name string, flags int, data []byte) error {
	file, err := os.OpenFile(f.path(name), flags, filePerm)
	if err != nil {
		return fmt.Errorf("store: %w", err)
	}
	_, err = file.Write(data)
	if err == nil {
		err = file.Sync()
	}
	if closing := file.Close(); err == nil {
		err = closing
	}
	if err != nil {
		return fmt.Errorf("store: %w", err)
	}
	return nil
}

func (f osDir) truncate(name string, length int64) error {
	if err := os.Truncate(f.path(name), length); err != nil {
		return fmt.Errorf("store: %w", err)
	}
	return nil
}

func (f osDir) read(name string) ([]byte, error) {
	data, err := os.ReadFile(f.path(name))
	if err != nil {
		return nil, fmt.Errorf("store: %w", err)
	}
	return data, nil
}

func (f osDir) rename(from, to string) error {
	if err := os.Rename(f.path(from), f.path(to)); err != nil {
		return fmt.Errorf("store: %w", err)
	}
	return nil
}

func (f osDir) remove(name string) error {
	if err := os.Remove(f.path(name)); err != nil {
		return fmt.Errorf("store: %w", err)
	}
	return nil
}

func (f osDir) names() ([]string, error) {
	entries, err := os.ReadDir(string(f))
	if err != nil {
		return nil, fmt.Errorf("store: %w", err)
	}
	names := make([]string, 0, len(entries))
	for _, e := range entries {
		names = append(names, e.Name())
	}
	return names, nil
}

func (f osDir) sync() error {
	dir, err := os.Open(string(f))
	if err != nil {
		return fmt.Errorf("store: %w", err)
	}
	defer dir.Close()
	if err := dir.Sync(); err != nil {
		return fmt.Errorf("store: %w", err)
	}
	return nil
}
