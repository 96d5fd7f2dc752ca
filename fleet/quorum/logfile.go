package quorum

// This file holds the log file of a member: a sequence of records, one per batch, each with its length and a checksum.
// It must never report a batch as written that is not on disk, nor accept an incomplete one.

import (
	"encoding/binary"
	"errors"
	"io"
	"os"
	"path/filepath"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"go.etcd.io/raft/v3/raftpb"
)

const (
	magic             = "IVYPLAN1" // the last byte is the version of the format
	recordHeaderBytes = 4 + 8      // length and checksum
	maxRecordBytes    = 1 << 20    // of the body
)

// ErrUnknownFormat is the error for a file that is no log file of this version.
var ErrUnknownFormat = errors.New("not a plan log, or of another version")

// record is the encoded form of a batch.
type record struct {
	_         struct{} `cbor:",toarray"`
	ID        uint64
	HardState []byte
	Entries   [][]byte
}

// File is an open log file.
type File struct{ f *os.File }

// OpenFile reads the stored state and positions the file for appending. An incomplete record at the end was never
// acted on and is truncated. If more than that is unreadable, the records before it are older than what the member has
// promised: the file is emptied, and the member rejoins under a new ID.
func OpenFile(path string) (*File, PersistentState, error) {
	if err := os.MkdirAll(filepath.Dir(path), 0o700); err != nil {
		return nil, PersistentState{}, err
	}
	f, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, PersistentState{}, err
	}
	b, err := io.ReadAll(f)
	if err != nil {
		_ = f.Close()
		return nil, PersistentState{}, err
	}
	state, valid, truncated := parseRecords(b)
	if valid == 0 || !truncated {
		state, valid = PersistentState{}, 0
	}
	if err = f.Truncate(int64(valid)); err == nil {
		_, err = f.Seek(int64(valid), io.SeekStart)
	}
	if err == nil && valid == 0 {
		_, err = f.WriteString(magic)
	}
	if err != nil {
		_ = f.Close()
		return nil, PersistentState{}, err
	}
	return &File{f}, state, nil
}

// parseRecords returns the state of all complete records, their length in bytes, and whether what follows is no more
// than one truncated write.
func parseRecords(b []byte) (state PersistentState, valid int, truncated bool) {
	if len(b) < len(magic) || string(b[:len(magic)]) != magic {
		return state, 0, len(b) < len(magic)
	}
	valid = len(magic)
	for {
		rest := b[valid:]
		if len(rest) < recordHeaderBytes {
			return state, valid, true
		}
		n := int(binary.BigEndian.Uint32(rest))
		if n > maxRecordBytes || len(rest) < recordHeaderBytes+n {
			return state, valid, n <= maxRecordBytes
		}
		body := rest[recordHeaderBytes : recordHeaderBytes+n]
		var rec record
		if xxhash.Sum64(body) != binary.BigEndian.Uint64(rest[4:]) || cbor.Unmarshal(body, &rec) != nil {
			return state, valid, len(rest) == recordHeaderBytes+n
		}
		batch := Batch{ID: rec.ID}
		if batch.HardState.Unmarshal(rec.HardState) != nil {
			return state, valid, false
		}
		for _, e := range rec.Entries {
			var entry raftpb.Entry
			if entry.Unmarshal(e) != nil {
				return state, valid, false
			}
			batch.Entries = append(batch.Entries, entry)
		}
		state.Apply(&batch)
		valid += recordHeaderBytes + n
	}
}

// Write appends a batch and syncs the file. A batch without anything to store is not written.
func (f *File) Write(b *Batch) error {
	rec := record{ID: b.ID}
	var err error
	if rec.HardState, err = b.HardState.Marshal(); err != nil {
		return err
	}
	for _, e := range b.Entries {
		body, err := e.Marshal()
		if err != nil {
			return err
		}
		rec.Entries = append(rec.Entries, body)
	}
	if rec.ID == 0 && len(rec.HardState) == 0 && len(rec.Entries) == 0 {
		return nil
	}
	body, err := cbor.Marshal(&rec)
	if err != nil {
		return err
	}
	out := binary.BigEndian.AppendUint32(nil, uint32(len(body)))
	out = binary.BigEndian.AppendUint64(out, xxhash.Sum64(body))
	if _, err := f.f.Write(append(out, body...)); err != nil {
		return err
	}
	return f.f.Sync()
}

// Close closes the file and ignores errors.
func (f *File) Close() { _ = f.f.Close() }
