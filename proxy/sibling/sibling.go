// Package sibling detects the other process of a proxy during an upgrade: each process locks one byte of a shared
// file, and the kernel releases the lock however the process ends. It must never write to the file, wait, or decide
// what the presence of another process means.
package sibling

import (
	"errors"
	"io"
	"os"
	"syscall"
)

// maxProcesses is how many processes may run side by side; an upgrade needs two.
const maxProcesses = 8

// Lock is this process's lock in the file.
type Lock struct{ file *os.File }

// Acquire locks a free byte of the file at path, creating the file if needed.
func Acquire(path string) (*Lock, error) {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, err
	}
	for i := range int64(maxProcesses) {
		lock := syscall.Flock_t{Type: syscall.F_WRLCK, Whence: io.SeekStart, Start: i, Len: 1}
		if err = syscall.FcntlFlock(f.Fd(), syscall.F_SETLK, &lock); err == nil {
			return &Lock{f}, nil
		}
	}
	return nil, errors.Join(err, f.Close())
}

// Other reports whether another process holds a lock.
func (l *Lock) Other() bool {
	lock := syscall.Flock_t{Type: syscall.F_WRLCK, Whence: io.SeekStart, Len: maxProcesses}
	err := syscall.FcntlFlock(l.file.Fd(), syscall.F_GETLK, &lock)
	return err == nil && lock.Type != syscall.F_UNLCK
}
