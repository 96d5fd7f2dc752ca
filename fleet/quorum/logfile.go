package quorum

// This file owns what a member writes down: batches one behind another, each with its length and a checksum. It must never call a batch
// written that the disk has not, nor take one that is not whole.

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
	title  = "IVYPLAN1" // the last byte is the form's version
	prefix = 4 + 8      // length and checksum
	mostOf = 1 << 20    // bytes of one batch
)

// ErrOther is told of a file that is none of these.
var ErrOther = errors.New("not a file of plans, or of another version")

// line is a batch as it is written.
type line struct {
	_       struct{} `cbor:",toarray"`
	ID      uint64
	Hard    []byte
	Entries [][]byte
}

// File is an open one.
type File struct{ f *os.File }

// OpenFile reads what was kept and goes on behind it. The end of a write that was cut short was never acted on and is taken off; where more
// than an end cannot be read what is before it is older than what was promised: nothing is taken, and the member comes in anew.
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
	k, good, torn := read(b)
	if good == 0 || !torn {
		k, good = PersistentState{}, 0
	}
	if err = f.Truncate(int64(good)); err == nil {
		_, err = f.Seek(int64(good), io.SeekStart)
	}
	if err == nil && good == 0 {
		_, err = f.WriteString(title)
	}
	if err != nil {
		_ = f.Close()
		return nil, PersistentState{}, err
	}
	return &File{f}, k, nil
}

// read gives what is whole, how many bytes that is, and whether what is behind it is no more than the end of a write that was cut short.
func read(b []byte) (k PersistentState, good int, torn bool) {
	if len(b) < len(title) || string(b[:len(title)]) != title {
		return k, 0, len(b) < len(title)
	}
	good = len(title)
	for {
		rest := b[good:]
		if len(rest) < prefix {
			return k, good, true
		}
		n := int(binary.BigEndian.Uint32(rest))
		if n > mostOf || len(rest) < prefix+n {
			return k, good, n <= mostOf
		}
		body := rest[prefix : prefix+n]
		var l line
		if xxhash.Sum64(body) != binary.BigEndian.Uint64(rest[4:]) || cbor.Unmarshal(body, &l) != nil {
			return k, good, len(rest) == prefix+n
		}
		batch := Batch{ID: l.ID}
		if batch.HardState.Unmarshal(l.Hard) != nil {
			return k, good, false
		}
		for _, e := range l.Entries {
			var x raftpb.Entry
			if x.Unmarshal(e) != nil {
				return k, good, false
			}
			batch.Entries = append(batch.Entries, x)
		}
		k.Apply(&batch)
		good += prefix + n
	}
}

// Write writes a batch down and waits for the disk. A batch with nothing to keep is none.
func (x *File) Write(b *Batch) error {
	l := line{ID: b.ID}
	var err error
	if l.Hard, err = b.HardState.Marshal(); err != nil {
		return err
	}
	for _, e := range b.Entries {
		body, err := e.Marshal()
		if err != nil {
			return err
		}
		l.Entries = append(l.Entries, body)
	}
	if l.ID == 0 && len(l.Hard) == 0 && len(l.Entries) == 0 {
		return nil
	}
	body, err := cbor.Marshal(&l)
	if err != nil {
		return err
	}
	out := binary.BigEndian.AppendUint32(nil, uint32(len(body)))
	out = binary.BigEndian.AppendUint64(out, xxhash.Sum64(body))
	if _, err := x.f.Write(append(out, body...)); err != nil {
		return err
	}
	return x.f.Sync()
}

// Close closes it.
func (x *File) Close() { _ = x.f.Close() }
