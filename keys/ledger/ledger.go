// Package ledger stores idempotency keys on disk in an append-only file. Records are synced in groups, and the file is
// rewritten when most of them are obsolete. The package must not report a record as durable before the kernel has, change
// what it cannot read, or decide what a record means.
package ledger

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"

	"ivybank/keys/idempotency"
)

const (
	header           = "IVYLEDG1" // the last byte is the format's version
	recordMark       = "\xC7ivy"  // precedes each record, to find the next one after damage
	recordHeaderSize = len(recordMark) + 8
	maxRecordSize    = 1 << 20 // bytes
)

// The errors that callers may distinguish.
var (
	ErrNewerVersion = errors.New("written by a newer version")
	ErrNotLedger    = errors.New("not a ledger")
	ErrLocked       = errors.New("in use by another process")
	ErrFailed       = errors.New("writing to the disk has failed, and no further record is accepted")
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Kind is the kind of a record.
type Kind byte

// The kinds of record.
const (
	Begin Kind = 'B' // the key's request may be dispatched once this is durable
	End   Kind = 'E' // the request has ended; the key is done or unsure
	Free  Kind = 'F' // the request was provably not executed
)

// Record is a change of a key's state.
type Record struct {
	Kind  Kind
	Entry idempotency.Entry
}

// Report is the result of reading a file.
type Report struct {
	Records   int
	TornBytes int64 // of an incomplete record at the end, which Open truncates
	DamagedAt int64 // offset of the first unreadable record before the end; -1: there is none
}

// appendRecord appends an encoded record to b.
func appendRecord(b []byte, r Record) []byte {
	start := len(b)
	b = append(b, recordMark...)
	b = append(b, 0, 0, 0, 0, 0, 0, 0, 0)
	text := func(s string) {
		b = binary.AppendUvarint(b, uint64(len(s)))
		b = append(b, s...)
	}
	e := &r.Entry
	b = append(b, byte(r.Kind), byte(e.State))
	b = binary.AppendVarint(b, e.At)
	text(e.Key.Tenant)
	text(e.Key.RuleSet)
	text(e.Key.Name)
	b = append(b, e.Fingerprint[:]...)
	stored := byte(0)
	if e.Response.Stored {
		stored = 1
	}
	b = append(b, stored)
	b = binary.AppendUvarint(b, uint64(e.Response.Status))
	b = binary.AppendUvarint(b, uint64(len(e.Response.Fields)))
	for _, f := range e.Response.Fields {
		text(f[0])
		text(f[1])
	}
	text(string(e.Response.Body))
	payload := b[start+recordHeaderSize:]
	binary.LittleEndian.PutUint32(b[start+len(recordMark):], uint32(len(payload)))
	binary.LittleEndian.PutUint32(b[start+len(recordMark)+4:], crc32.Checksum(payload, castagnoli))
	return b
}

// decode decodes a payload whose checksum is right.
func decode(b []byte) (r Record, ok bool) {
	in := bytes.NewReader(b)
	bad := false
	number := func() uint64 {
		n, err := binary.ReadUvarint(in)
		bad = bad || err != nil
		return n
	}
	text := func() string {
		n := number()
		if bad || n > uint64(in.Len()) {
			bad = true
			return ""
		}
		s := make([]byte, n)
		_, _ = io.ReadFull(in, s)
		return string(s)
	}
	one := func() byte {
		c, err := in.ReadByte()
		bad = bad || err != nil
		return c
	}
	r.Kind, r.Entry.State = Kind(one()), idempotency.State(one())
	at, err := binary.ReadVarint(in)
	bad = bad || err != nil || r.Kind != Begin && r.Kind != End && r.Kind != Free || r.Entry.State > idempotency.Unsure
	r.Entry.At = at
	r.Entry.Key = idempotency.Key{Tenant: text(), RuleSet: text(), Name: text()}
	if _, err := io.ReadFull(in, r.Entry.Fingerprint[:]); err != nil {
		bad = true
	}
	r.Entry.Response.Stored = one() == 1
	r.Entry.Response.Status = int(number())
	for n := number(); n > 0 && !bad; n-- {
		r.Entry.Response.Fields = append(r.Entry.Response.Fields, [2]string{text(), text()})
	}
	if body := text(); body != "" {
		r.Entry.Response.Body = []byte(body)
	}
	return r, !bad && in.Len() == 0
}

// readRecord reads the record at offset o; n is its length with its header.
func readRecord(text []byte, o int) (r Record, n int, ok bool) {
	if len(text)-o < recordHeaderSize || string(text[o:o+len(recordMark)]) != recordMark {
		return r, 0, false
	}
	size := int(binary.LittleEndian.Uint32(text[o+len(recordMark):]))
	if size > maxRecordSize || len(text)-o-recordHeaderSize < size {
		return r, 0, false
	}
	payload := text[o+recordHeaderSize : o+recordHeaderSize+size]
	if crc32.Checksum(payload, castagnoli) != binary.LittleEndian.Uint32(text[o+len(recordMark)+4:]) {
		return r, 0, false
	}
	r, ok = decode(payload)
	return r, recordHeaderSize + size, ok
}

// Read decodes a ledger and calls each for every readable record. Good is the offset up to which it is to be kept: what
// follows is an incomplete record. The error is ErrNotLedger or ErrNewerVersion.
func Read(text []byte, each func(Record)) (rep Report, good int, err error) {
	rep.DamagedAt = -1
	switch {
	case len(text) < len(header) && bytes.HasPrefix([]byte(header), text):
		rep.TornBytes = int64(len(text)) // the header itself is incomplete
		return rep, 0, nil
	case len(text) < len(header) || string(text[:len(header)-1]) != header[:len(header)-1]:
		return rep, 0, ErrNotLedger
	case text[len(header)-1] > header[len(header)-1]:
		return rep, 0, ErrNewerVersion
	case text[len(header)-1] != header[len(header)-1]:
		return rep, 0, ErrNotLedger
	}
	o := len(header)
	for o < len(text) {
		r, n, ok := readRecord(text, o)
		if ok {
			each(r)
			rep.Records++
			o += n
			continue
		}
		next := o + 1
		for ; next < len(text); next++ {
			i := bytes.Index(text[next:], []byte(recordMark))
			if i < 0 {
				next = len(text)
				break
			}
			next += i
			if _, _, ok := readRecord(text, next); ok {
				break
			}
		}
		if next >= len(text) {
			rep.TornBytes = int64(len(text) - o)
			return rep, o, nil
		}
		if rep.DamagedAt < 0 {
			rep.DamagedAt = int64(o)
		}
		o = next
	}
	return rep, o, nil
}

// file is the part of *os.File that a ledger uses; tests replace it.
type file interface {
	io.Writer
	Sync() error
	Truncate(size int64) error
	Close() error
}

// Ledger is an open ledger. One goroutine, the writer, does all writing.
type Ledger struct {
	path       string
	lock       *os.File
	createFile func(path string) (file, error) // creates the file of a rewrite

	mu     sync.Mutex
	queue  []operation // emptied by each round of the writer
	wake   chan struct{}
	closed chan struct{}

	file        file         // used by the writer only
	durableSize int64        // bytes of durable records; used by the writer only
	size        atomic.Int64 // the same, for other goroutines
	failed      atomic.Bool
	syncs       atomic.Int64
}

// operation is a record to append, a rewrite of the whole file, or the request to close it.
type operation struct {
	record  Record
	all     []Record
	rewrite bool
	close   bool
	done    func(error)
}

// Lock locks a ledger for this process. The error is ErrLocked if another process holds it.
func Lock(path string) (*os.File, error) {
	f, err := os.OpenFile(path+".lock", os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = f.Close()
		if errors.Is(err, syscall.EWOULDBLOCK) {
			return nil, fmt.Errorf("%s: %w", path, ErrLocked)
		}
		return nil, err
	}
	return f, nil
}

// Open locks a ledger or creates it, calls each for every record and truncates an incomplete record at the end.
func Open(path string, each func(Record)) (*Ledger, Report, error) {
	lock, err := Lock(path)
	if err != nil {
		return nil, Report{}, err
	}
	l, rep, err := open(path, each)
	if err != nil {
		_ = lock.Close()
		return nil, rep, fmt.Errorf("%s: %w", path, err)
	}
	l.lock = lock
	go l.run()
	return l, rep, nil
}

func create(path string) (file, error) {
	return os.OpenFile(path, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
}

func open(path string, each func(Record)) (*Ledger, Report, error) {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, Report{}, err
	}
	text, err := io.ReadAll(f)
	var rep Report
	good := 0
	if err == nil {
		rep, good, err = Read(text, each)
	}
	if err == nil && rep.TornBytes > 0 {
		err = f.Truncate(int64(good))
	}
	if err == nil {
		_, err = f.Seek(int64(good), io.SeekStart)
	}
	if err == nil && good == 0 {
		good = len(header)
		_, err = io.WriteString(f, header)
	}
	if err == nil {
		err = errors.Join(f.Sync(), syncFolder(path))
	}
	if err != nil {
		_ = f.Close()
		return nil, rep, err
	}
	l := newLedger(path, f, int64(good))
	return l, rep, nil
}

func newLedger(path string, f file, good int64) *Ledger {
	l := &Ledger{path: path, file: f, durableSize: good, createFile: create,
		wake: make(chan struct{}, 1), closed: make(chan struct{})}
	l.size.Store(good)
	return l
}

// syncFolder syncs the folder that holds a file, so that the file's name is durable.
func syncFolder(path string) error {
	d, err := os.Open(filepath.Dir(path))
	if err != nil {
		return err
	}
	return errors.Join(d.Sync(), d.Close())
}

// Append appends a record. The writer's goroutine calls done once the record is durable, or with the error.
func (l *Ledger) Append(r Record, done func(error)) { l.enqueue(operation{record: r, done: done}) }

// Rewrite replaces the file's content by the given records; later appends follow them. The writer's goroutine calls
// done with the result.
func (l *Ledger) Rewrite(all []Record, done func(error)) {
	l.enqueue(operation{all: all, rewrite: true, done: done})
}

// Size returns the size of the file in bytes.
func (l *Ledger) Size() int64 { return l.size.Load() }

// Syncs returns how often appended records were synced.
func (l *Ledger) Syncs() int64 { return l.syncs.Load() }

// Failed reports whether the ledger has stopped accepting records after a disk failure.
func (l *Ledger) Failed() bool { return l.failed.Load() }

// Close writes and syncs what was appended, closes the file and unlocks it.
func (l *Ledger) Close() {
	l.enqueue(operation{close: true})
	<-l.closed
	if l.lock != nil {
		_ = l.lock.Close()
	}
}

func (l *Ledger) enqueue(o operation) {
	l.mu.Lock()
	l.queue = append(l.queue, o)
	l.mu.Unlock()
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

func (l *Ledger) run() {
	defer close(l.closed)
	for range l.wake {
		l.mu.Lock()
		ops := l.queue
		l.queue = nil
		l.mu.Unlock()
		for len(ops) > 0 {
			n := 0
			for n < len(ops) && !ops[n].rewrite && !ops[n].close {
				n++
			}
			if n > 0 { // one sync for all queued records
				l.commit(ops[:n])
				ops = ops[n:]
				continue
			}
			o := ops[0]
			ops = ops[1:]
			if o.close {
				_ = l.file.Close()
				return
			}
			report(o, l.rewrite(o.all))
		}
	}
}

func report(o operation, err error) {
	if o.done != nil {
		o.done(err)
	}
}

func (l *Ledger) commit(ops []operation) {
	var b []byte
	for _, o := range ops {
		b = appendRecord(b, o.record)
	}
	err := l.write(b)
	for _, o := range ops {
		report(o, err)
	}
}

// write makes bytes durable or leaves the file as it was. A failed sync is final: the kernel may have dropped the data,
// and another sync would not write it.
func (l *Ledger) write(b []byte) error {
	if l.failed.Load() {
		return ErrFailed
	}
	if _, err := l.file.Write(b); err != nil {
		if cut := l.file.Truncate(l.durableSize); cut != nil {
			l.failed.Store(true)
			return errors.Join(ErrFailed, err, cut)
		}
		if s, ok := l.file.(io.Seeker); ok {
			if _, seek := s.Seek(l.durableSize, io.SeekStart); seek != nil {
				l.failed.Store(true)
				return errors.Join(ErrFailed, err, seek)
			}
		}
		return err // not final: the disk may have room again later
	}
	l.syncs.Add(1)
	if err := l.file.Sync(); err != nil {
		l.failed.Store(true)
		return errors.Join(ErrFailed, err)
	}
	l.durableSize += int64(len(b))
	l.size.Store(l.durableSize)
	return nil
}

// rewrite writes a new file beside the old one and renames it to the old name once it is durable.
func (l *Ledger) rewrite(all []Record) error {
	if l.failed.Load() {
		return ErrFailed
	}
	next := l.path + ".next"
	f, err := l.createFile(next)
	if err != nil {
		return err
	}
	b := []byte(header)
	for _, r := range all {
		b = appendRecord(b, r)
	}
	if _, err = f.Write(b); err == nil {
		err = f.Sync()
	}
	if err == nil {
		err = os.Rename(next, l.path)
	}
	if err != nil { // the old file remains in use
		return errors.Join(err, f.Close(), os.Remove(next))
	}
	if err := syncFolder(l.path); err != nil {
		l.failed.Store(true) // a crash could leave either file under the name
		return errors.Join(ErrFailed, err, f.Close())
	}
	_ = l.file.Close()
	l.file, l.durableSize = f, int64(len(b))
	l.size.Store(l.durableSize)
	return nil
}
