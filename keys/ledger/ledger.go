// Package ledger keeps idempotency keys on disk: records are appended, made durable several at a time, and written anew when
// most are of the past. It owns the file and its format. It must never call a record durable that the kernel did not, alter
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
	header   = "IVYLEDG1" // the last byte is the format's version
	mark     = "\xC7ivy"  // before each record, to find the next one behind damage
	overhead = len(mark) + 8
	largest  = 1 << 20 // bytes of a record
)

// What can be wrong with a file.
var (
	ErrNewer  = errors.New("written by a newer version")
	ErrOther  = errors.New("not a ledger")
	ErrLocked = errors.New("in use by another process")
	ErrFailed = errors.New("the disk has failed to keep what it was given")
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Kind is what a record tells.
type Kind byte

// The kinds of record.
const (
	Begin Kind = 'B' // the key's attempt may be dispatched from here on
	End   Kind = 'E' // it is done or unsure
	Free  Kind = 'F' // it provably never ran
)

// Record is one record.
type Record struct {
	Kind  Kind
	Entry idempotency.Entry
}

// Report is what opening a file found.
type Report struct {
	Records int
	Torn    int64 // bytes of a last record that was not whole, cut off
	Damaged int64 // where a record within cannot be read; -1: all can
}

// appendRecord writes a record.
func appendRecord(b []byte, r Record) []byte {
	start := len(b)
	b = append(b, mark...)
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
	b = append(b, e.Print[:]...)
	kept := byte(0)
	if e.Answer.Kept {
		kept = 1
	}
	b = append(b, kept)
	b = binary.AppendUvarint(b, uint64(e.Answer.Status))
	b = binary.AppendUvarint(b, uint64(len(e.Answer.Fields)))
	for _, f := range e.Answer.Fields {
		text(f[0])
		text(f[1])
	}
	text(string(e.Answer.Body))
	payload := b[start+overhead:]
	binary.LittleEndian.PutUint32(b[start+len(mark):], uint32(len(payload)))
	binary.LittleEndian.PutUint32(b[start+len(mark)+4:], crc32.Checksum(payload, castagnoli))
	return b
}

// decode reads a payload whose sum is right.
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
	if _, err := io.ReadFull(in, r.Entry.Print[:]); err != nil {
		bad = true
	}
	r.Entry.Answer.Kept = one() == 1
	r.Entry.Answer.Status = int(number())
	for n := number(); n > 0 && !bad; n-- {
		r.Entry.Answer.Fields = append(r.Entry.Answer.Fields, [2]string{text(), text()})
	}
	if body := text(); body != "" {
		r.Entry.Answer.Body = []byte(body)
	}
	return r, !bad && in.Len() == 0
}

// at reads the record that begins at an offset; n is its length.
func at(text []byte, o int) (r Record, n int, ok bool) {
	if len(text)-o < overhead || string(text[o:o+len(mark)]) != mark {
		return r, 0, false
	}
	size := int(binary.LittleEndian.Uint32(text[o+len(mark):]))
	if size > largest || len(text)-o-overhead < size {
		return r, 0, false
	}
	payload := text[o+overhead : o+overhead+size]
	if crc32.Checksum(payload, castagnoli) != binary.LittleEndian.Uint32(text[o+len(mark)+4:]) {
		return r, 0, false
	}
	r, ok = decode(payload)
	return r, overhead + size, ok
}

// Read goes through a ledger's text. What is whole before the end of good is all that is whole from the start on.
func Read(text []byte, each func(Record)) (rep Report, good int, err error) {
	rep.Damaged = -1
	switch {
	case len(text) < len(header) && bytes.HasPrefix([]byte(header), text):
		rep.Torn = int64(len(text)) // ended before its first record
		return rep, 0, nil
	case len(text) < len(header) || string(text[:len(header)-1]) != header[:len(header)-1]:
		return rep, 0, ErrOther
	case text[len(header)-1] > header[len(header)-1]:
		return rep, 0, ErrNewer
	case text[len(header)-1] != header[len(header)-1]:
		return rep, 0, ErrOther
	}
	o := len(header)
	for o < len(text) {
		r, n, ok := at(text, o)
		if ok {
			each(r)
			rep.Records++
			o += n
			continue
		}
		next := o + 1
		for ; next < len(text); next++ {
			i := bytes.Index(text[next:], []byte(mark))
			if i < 0 {
				next = len(text)
				break
			}
			next += i
			if _, _, ok := at(text, next); ok {
				break
			}
		}
		if next >= len(text) {
			rep.Torn = int64(len(text) - o)
			return rep, o, nil
		}
		if rep.Damaged < 0 {
			rep.Damaged = int64(o)
		}
		o = next
	}
	return rep, o, nil
}

// file is what a ledger needs of one; tests put their own in its place.
type file interface {
	io.Writer
	Sync() error
	Truncate(size int64) error
	Close() error
}

// Ledger is an open ledger with one goroutine that writes.
type Ledger struct {
	path string
	lock *os.File
	make func(path string) (file, error) // of a file that is written anew

	mu    sync.Mutex
	queue []op // emptied by each round of the writer
	bell  chan struct{}
	ended chan struct{}

	file   file         // the writer's
	good   int64        // bytes that are whole; the writer's
	size   atomic.Int64 // the same, for others
	failed atomic.Bool
	syncs  atomic.Int64
}

// op is a record to append, or all that the file is to hold.
type op struct {
	record Record
	all    []Record
	anew   bool
	end    bool
	done   func(error)
}

// Lock takes a ledger for this process; ErrLocked where another has it.
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

// Open takes a ledger, reads it and cuts off a last record that is not whole.
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
	if err == nil && rep.Torn > 0 {
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
	l := &Ledger{path: path, file: f, good: good, make: create, bell: make(chan struct{}, 1), ended: make(chan struct{})}
	l.size.Store(good)
	return l
}

// syncFolder makes a file's name durable.
func syncFolder(path string) error {
	d, err := os.Open(filepath.Dir(path))
	if err != nil {
		return err
	}
	return errors.Join(d.Sync(), d.Close())
}

// Append adds a record; done is told, on the writer, once it is durable or why it is not.
func (l *Ledger) Append(r Record, done func(error)) { l.put(op{record: r, done: done}) }

// Anew has the file hold these records and what is appended from here on, nothing else.
func (l *Ledger) Anew(all []Record, done func(error)) { l.put(op{all: all, anew: true, done: done}) }

// Size is how large the file is.
func (l *Ledger) Size() int64 { return l.size.Load() }

// Syncs is how often records were made durable.
func (l *Ledger) Syncs() int64 { return l.syncs.Load() }

// Failed says whether nothing can be made durable any more.
func (l *Ledger) Failed() bool { return l.failed.Load() }

// Close makes durable what was appended and ends.
func (l *Ledger) Close() {
	l.put(op{end: true})
	<-l.ended
	if l.lock != nil {
		_ = l.lock.Close()
	}
}

func (l *Ledger) put(o op) {
	l.mu.Lock()
	l.queue = append(l.queue, o)
	l.mu.Unlock()
	select {
	case l.bell <- struct{}{}:
	default:
	}
}

func (l *Ledger) run() {
	defer close(l.ended)
	for range l.bell {
		l.mu.Lock()
		ops := l.queue
		l.queue = nil
		l.mu.Unlock()
		for len(ops) > 0 {
			n := 0
			for n < len(ops) && !ops[n].anew && !ops[n].end {
				n++
			}
			if n > 0 { // those that came together are made durable together
				l.commit(ops[:n])
				ops = ops[n:]
				continue
			}
			o := ops[0]
			ops = ops[1:]
			if o.end {
				_ = l.file.Close()
				return
			}
			tell(o, l.anew(o.all))
		}
	}
}

func tell(o op, err error) {
	if o.done != nil {
		o.done(err)
	}
}

func (l *Ledger) commit(ops []op) {
	var b []byte
	for _, o := range ops {
		b = appendRecord(b, o.record)
	}
	err := l.write(b)
	for _, o := range ops {
		tell(o, err)
	}
}

// write makes bytes durable or leaves the file as it was. A sync that failed is final: what the kernel has dropped by then
// would not come back by another.
func (l *Ledger) write(b []byte) error {
	if l.failed.Load() {
		return ErrFailed
	}
	if _, err := l.file.Write(b); err != nil {
		if cut := l.file.Truncate(l.good); cut != nil {
			l.failed.Store(true)
			return errors.Join(ErrFailed, err, cut)
		}
		if s, ok := l.file.(io.Seeker); ok {
			if _, seek := s.Seek(l.good, io.SeekStart); seek != nil {
				l.failed.Store(true)
				return errors.Join(ErrFailed, err, seek)
			}
		}
		return err // the disk may have room again later
	}
	l.syncs.Add(1)
	if err := l.file.Sync(); err != nil {
		l.failed.Store(true)
		return errors.Join(ErrFailed, err)
	}
	l.good += int64(len(b))
	l.size.Store(l.good)
	return nil
}

// anew writes the file anew beside the old one and puts it in its place once it is durable.
func (l *Ledger) anew(all []Record) error {
	if l.failed.Load() {
		return ErrFailed
	}
	next := l.path + ".next"
	f, err := l.make(next)
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
	if err != nil { // the old one holds
		return errors.Join(err, f.Close(), os.Remove(next))
	}
	if err := syncFolder(l.path); err != nil {
		l.failed.Store(true) // which of the two there is after a crash is not known
		return errors.Join(ErrFailed, err, f.Close())
	}
	_ = l.file.Close()
	l.file, l.good = f, int64(len(b))
	l.size.Store(l.good)
	return nil
}
