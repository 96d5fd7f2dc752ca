// Package snapshot keeps one memory of a proxy in a folder: versioned, with a checksum, written whole beside the old one and renamed. It
// owns those files and their form. It must never leave a half-written one in the old one's place, nor give one that is not whole.
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
	magic   = "IVYSNAP"
	version = 1 // of the form; a field more does not change it
	headerSize    = len(magic) + 1 + 8
	trailerSize    = 8
	// Most bytes of a file: about 10,000 servers.
	MaxBytes = 4 << 20
)

// What can be wrong with a file. All of them mean: start without it.
var (
	ErrNotSnapshot = errors.New("not a snapshot")
	ErrVersion     = errors.New("of another version")
	ErrLength      = errors.New("cut short or too long")
	ErrChecksum    = errors.New("its checksum does not hold")
	ErrFormat      = errors.New("its content is not of the form")
)

var encoder, decoder = strictcbor.Modes(cbor.DecOptions{})

// Path is the file in a folder.
func Path(folder string) string { return filepath.Join(folder, fileName) }

// Encode gives the bytes of a file.
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

// Decode reads a file's bytes, or says what is wrong with them.
func Decode(b []byte) (m warmstart.Snapshot, err error) {
	switch {
	case len(b) < len(magic) || string(b[:len(magic)]) != magic:
		return m, ErrNotSnapshot
	case len(b) > len(magic) && b[len(magic)] != version:
		return m, ErrVersion
	case len(b) < headerSize+trailerSize || len(b) > MaxBytes || binary.BigEndian.Uint64(b[len(magic)+1:]) != uint64(len(b)-headerSize-trailerSize):
		return m, ErrLength
	case binary.BigEndian.Uint64(b[len(b)-trailerSize:]) != xxhash.Sum64(b[:len(b)-trailerSize]):
		return m, ErrChecksum
	}
	if decoder.Unmarshal(b[headerSize:len(b)-trailerSize], &m) != nil || !m.Valid() {
		return warmstart.Snapshot{}, ErrFormat
	}
	return m, nil
}

// Read reads the file of a folder; fs.ErrNotExist where there is none.
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

// Write puts a memory in the place of the one before, which stays where that fails.
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
	// It is not waited for the disk: a process that is killed meanwhile could not end, nor the next begin, before that is done. What a
	// machine's end tears the checksum shows, and by then it would be too old.
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
