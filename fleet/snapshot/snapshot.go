// Package snapshot stores one snapshot of a proxy in a file with a version and a checksum. A new one is written
// next to the old one and then renamed. An incomplete file never replaces a complete one, and is never returned.
package snapshot

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"ivybank/fleet/warmstart"
	"ivybank/internal/strictcbor"
)

const (
	fileName    = "memory.snap"
	magic       = "IVYSNAP"
	version     = 1 // of the format; an additional field does not change it
	headerSize  = len(magic) + 1 + 8
	trailerSize = 8
	// MaxBytes is the maximum size of a file: about 10,000 servers.
	MaxBytes = 4 << 20
)

// Reasons for which a file is not usable. With each of them the proxy starts without a snapshot.
var (
	ErrNotSnapshot = errors.New("not a snapshot")
	ErrVersion     = errors.New("unsupported format version")
	ErrLength      = errors.New("length is not the stated one or too large")
	ErrChecksum    = errors.New("checksum mismatch")
	ErrFormat      = errors.New("content is malformed or out of range")
)

var encoder, decoder = strictcbor.Modes(cbor.DecOptions{})

// Path returns the path of the file in a folder.
func Path(folder string) string { return filepath.Join(folder, fileName) }

// Encode returns the content of a file, or ErrLength if it is too long.
func Encode(m *warmstart.Snapshot) ([]byte, error) {
	body, err := encoder.Marshal(m)
	if err != nil {
		return nil, err
	}
	b := append([]byte(magic), version)
	b = binary.BigEndian.AppendUint64(b, uint64(len(body)))
	b = append(b, body...)
	if len(b)+trailerSize > MaxBytes {
		return nil, ErrLength
	}
	return binary.BigEndian.AppendUint64(b, xxhash.Sum64(b)), nil
}

// Decode decodes the content of a file, or returns the reason for which it is not usable.
func Decode(b []byte) (m warmstart.Snapshot, err error) {
	switch {
	case len(b) < len(magic) || string(b[:len(magic)]) != magic:
		return m, ErrNotSnapshot
	case len(b) > len(magic) && b[len(magic)] != version:
		return m, ErrVersion
	case len(b) < headerSize+trailerSize || len(b) > MaxBytes ||
		binary.BigEndian.Uint64(b[len(magic)+1:]) != uint64(len(b)-headerSize-trailerSize):
		return m, ErrLength
	case binary.BigEndian.Uint64(b[len(b)-trailerSize:]) != xxhash.Sum64(b[:len(b)-trailerSize]):
		return m, ErrChecksum
	}
	if decoder.Unmarshal(b[headerSize:len(b)-trailerSize], &m) != nil || !m.Valid() {
		return warmstart.Snapshot{}, ErrFormat
	}
	return m, nil
}

// Read reads the file in a folder. The error is fs.ErrNotExist if there is none.
func Read(folder string) (warmstart.Snapshot, error) {
	info, err := os.Stat(Path(folder))
	if err != nil {
		return warmstart.Snapshot{}, err
	}
	if !info.Mode().IsRegular() || info.Size() > MaxBytes {
		return warmstart.Snapshot{}, fmt.Errorf("%s: %w", Path(folder), ErrLength)
	}
	b, err := os.ReadFile(Path(folder))
	if err != nil {
		return warmstart.Snapshot{}, err
	}
	m, err := Decode(b)
	if err != nil {
		err = fmt.Errorf("%s: %w", Path(folder), err)
	}
	return m, err
}

// Write replaces the file in a folder. The old file stays if that fails.
func Write(folder string, m *warmstart.Snapshot) error {
	b, err := Encode(m)
	if err != nil {
		return err
	}
	if err := os.MkdirAll(folder, 0o700); err != nil && !errors.Is(err, fs.ErrExist) {
		return err
	}
	tempPath := Path(folder) + ".new"
	f, err := os.OpenFile(tempPath, os.O_CREATE|os.O_WRONLY|os.O_TRUNC, 0o600)
	if err != nil {
		return err
	}
	// No fsync: a process that is killed meanwhile could not end, and its successor not start, before it
	// completes. The checksum detects what a crash of the machine damages, and by then the snapshot would be too
	// old anyway.
	_, err = f.Write(b)
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	if err == nil {
		err = os.Rename(tempPath, Path(folder))
	}
	if err != nil {
		_ = os.Remove(tempPath)
	}
	return err
}
