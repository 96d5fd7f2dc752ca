// Package twin tells the two processes of an upgrade of one another: each holds a lock on one byte of a shared file, which
// the kernel gives back however the process ends. It owns that file. It must never write to it, wait, or
// decide what follows from there being another.
package twin

import (
	"errors"
	"io"
	"os"
	"syscall"
)

// seats is how many processes may live side by side; an upgrade needs two.
const seats = 8

// Seat is this process' place.
type Seat struct{ file *os.File }

// Take finds a free place.
func Take(path string) (*Seat, error) {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, err
	}
	for i := range int64(seats) {
		lock := syscall.Flock_t{Type: syscall.F_WRLCK, Whence: io.SeekStart, Start: i, Len: 1}
		if err = syscall.FcntlFlock(f.Fd(), syscall.F_SETLK, &lock); err == nil {
			return &Seat{f}, nil
		}
	}
	return nil, errors.Join(err, f.Close())
}

// Other says whether another process holds a place.
func (s *Seat) Other() bool {
	lock := syscall.Flock_t{Type: syscall.F_WRLCK, Whence: io.SeekStart, Len: seats}
	err := syscall.FcntlFlock(s.file.Fd(), syscall.F_GETLK, &lock)
	return err == nil && lock.Type != syscall.F_UNLCK
}
