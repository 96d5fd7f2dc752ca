package ledger

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"reflect"
	"sync"
	"syscall"
	"testing"

	"ivybank/keys/idempotency"
)

func record(i int, kind Kind) Record {
	r := Record{kind, idempotency.Entry{Key: idempotency.Key{Tenant: "t", RuleSet: "filing", Name: fmt.Sprint("key-", i)}, Print: idempotency.Print{byte(i)}, At: int64(i) * 1e9}}
	if kind == End {
		r.Entry.State = idempotency.Done
		r.Entry.Answer = idempotency.Answer{Status: 200, Kept: true, Fields: [][2]string{{"Content-Type", "a/b"}}, Body: bytes.Repeat([]byte{byte(i)}, i%50)}
		if len(r.Entry.Answer.Body) == 0 {
			r.Entry.Answer.Body = nil
		}
	}
	return r
}

func opened(t *testing.T, path string) (*Ledger, []Record, Report) {
	t.Helper()
	var got []Record
	l, rep, err := Open(path, func(r Record) { got = append(got, r) })
	if err != nil {
		t.Fatal(err)
	}
	return l, got, rep
}

// durable appends and waits.
func durable(l *Ledger, rs ...Record) error {
	var wait sync.WaitGroup
	var mu sync.Mutex
	var all error
	for _, r := range rs {
		wait.Add(1)
		l.Append(r, func(err error) { mu.Lock(); all = errors.Join(all, err); mu.Unlock(); wait.Done() })
	}
	wait.Wait()
	return all
}

func TestLedger(t *testing.T) {
	path := filepath.Join(t.TempDir(), "ledger")
	l, got, rep := opened(t, path)
	if len(got) != 0 || rep.Damaged != -1 {
		t.Fatalf("got %v, %+v", got, rep)
	}
	var want []Record
	for i := range 300 {
		want = append(want, record(i, []Kind{Begin, End, Free}[i%3]))
	}
	if err := durable(l, want...); err != nil {
		t.Fatal(err)
	}
	if n := l.Syncs(); n >= 300 {
		t.Errorf("got %d syncs for 300 records, want those that come together made durable together", n)
	}
	if _, _, err := Open(path, func(Record) {}); !errors.Is(err, ErrLocked) {
		t.Errorf("got %v while it is in use", err)
	}
	l.Close()
	l, got, _ = opened(t, path)
	if !reflect.DeepEqual(got, want) {
		t.Fatal("what was read is not what was written")
	}
	old := l.Size()
	done := make(chan error, 2)
	l.Anew(want[:10], func(err error) { done <- err })
	l.Append(want[20], func(err error) { done <- err })
	if err := errors.Join(<-done, <-done); err != nil || l.Size() >= old {
		t.Fatalf("got %v, %d bytes of %d", err, l.Size(), old)
	}
	l.Close()
	l, got, _ = opened(t, path)
	l.Close()
	if !reflect.DeepEqual(got, append(want[:10:10], want[20])) {
		t.Error("what was written anew is not what was asked for, and what came after")
	}
}

// Cut at any byte, a file gives all records that were whole and none else, and goes on from there.
func TestTorn(t *testing.T) {
	text := []byte(header)
	var ends []int
	for i := range 40 {
		text = appendRecord(text, record(i, []Kind{Begin, End}[i%2]))
		ends = append(ends, len(text))
	}
	r := rand.New(rand.NewPCG(1, 1))
	for range 200 {
		cut := r.IntN(len(text) + 1)
		path := filepath.Join(t.TempDir(), "ledger")
		if err := os.WriteFile(path, text[:cut], 0o600); err != nil {
			t.Fatal(err)
		}
		whole := 0
		for whole < len(ends) && ends[whole] <= cut {
			whole++
		}
		l, got, rep := opened(t, path)
		if len(got) != whole || rep.Damaged != -1 {
			t.Fatalf("cut at %d: got %d records, %+v, want %d", cut, len(got), rep, whole)
		}
		if err := durable(l, record(99, Begin)); err != nil {
			t.Fatal(err)
		}
		l.Close()
		l, got, rep = opened(t, path)
		l.Close()
		if len(got) != whole+1 || rep.Torn != 0 || got[whole].Entry.Key.Name != "key-99" {
			t.Fatalf("cut at %d: got %d records, %+v after a further one", cut, len(got), rep)
		}
	}
}

// A flipped bit is never read as something else: what it hit is missing and told, the rest is there.
func TestFlipped(t *testing.T) {
	text := []byte(header)
	var want []Record
	for i := range 20 {
		want = append(want, record(i, End))
		text = appendRecord(text, want[i])
	}
	last := len(appendRecord(nil, want[19]))
	r := rand.New(rand.NewPCG(2, 1))
	for range 2000 {
		o := len(header) + r.IntN(len(text)-len(header)-last)
		spoilt := bytes.Clone(text)
		spoilt[o] ^= 1 << r.IntN(8)
		var got []Record
		rep, _, err := Read(spoilt, func(r Record) { got = append(got, r) })
		if err != nil || rep.Damaged < 0 || len(got) != 19 {
			t.Fatalf("bit at %d: got %d records, %+v, %v, want one missing and told", o, len(got), rep, err)
		}
		at := 0
		for _, g := range got {
			for at < len(want) && !reflect.DeepEqual(want[at], g) {
				at++
			}
			if at++; at > len(want) {
				t.Fatalf("bit at %d: got a record that was never written: %+v", o, g)
			}
		}
	}
}

func TestOtherFiles(t *testing.T) {
	for name, c := range map[string]struct {
		text string
		want error
	}{
		"newer": {"IVYLEDG2more", ErrNewer}, "older": {"IVYLEDG0more", ErrOther}, "something else": {"hello, world", ErrOther}, "short": {"hel", ErrOther},
	} {
		path := filepath.Join(t.TempDir(), "ledger")
		if err := os.WriteFile(path, []byte(c.text), 0o600); err != nil {
			t.Fatal(err)
		}
		if _, _, err := Open(path, func(Record) {}); !errors.Is(err, c.want) {
			t.Errorf("%s: got %v, want %v", name, err, c.want)
		}
		if text, _ := os.ReadFile(path); string(text) != c.text {
			t.Errorf("%s: the file was altered", name)
		}
	}
	if _, _, err := Open(filepath.Join(t.TempDir(), "gone", "ledger"), func(Record) {}); err == nil {
		t.Error("got a ledger in a folder that is gone")
	}
}

// sick is a file whose disk fails on command.
type sick struct {
	*os.File
	room  int // bytes left on the disk
	syncs error
	cuts  error
}

func (s *sick) Write(b []byte) (int, error) {
	if len(b) > s.room {
		n, _ := s.File.Write(b[:s.room])
		s.room = 0
		return n, syscall.ENOSPC
	}
	s.room -= len(b)
	return s.File.Write(b)
}

func (s *sick) Sync() error { return errors.Join(s.syncs, s.File.Sync()) }

func (s *sick) Truncate(n int64) error {
	if s.cuts != nil {
		return s.cuts
	}
	return s.File.Truncate(n)
}

func TestSickDisk(t *testing.T) {
	build := func(t *testing.T) (*Ledger, *sick, string) {
		path := filepath.Join(t.TempDir(), "ledger")
		l, _, err := open(path, func(Record) {})
		if err != nil {
			t.Fatal(err)
		}
		s := &sick{File: l.file.(*os.File), room: 1 << 20}
		l.file = s
		go l.run()
		return l, s, path
	}
	read := func(path string) (n int, rep Report) {
		text, _ := os.ReadFile(path)
		rep, _, _ = Read(text, func(Record) { n++ })
		return n, rep
	}
	t.Run("full, then room again", func(t *testing.T) {
		l, s, path := build(t)
		defer l.Close()
		_ = durable(l, record(1, Begin))
		s.room = 10
		if err := durable(l, record(2, Begin)); !errors.Is(err, syscall.ENOSPC) {
			t.Fatalf("got %v", err)
		}
		if n, rep := read(path); n != 1 || rep.Torn != 0 {
			t.Errorf("got %d records, %+v, want the file as it was", n, rep)
		}
		s.room = 1 << 20
		if err := durable(l, record(3, Begin)); err != nil || l.Failed() {
			t.Errorf("got %v, failed %v with room again", err, l.Failed())
		}
		if n, rep := read(path); n != 2 || rep.Torn != 0 {
			t.Errorf("got %d records, %+v", n, rep)
		}
	})
	t.Run("full, and cannot be cut", func(t *testing.T) {
		l, s, _ := build(t)
		defer l.Close()
		s.room, s.cuts = 10, syscall.EIO
		if err := durable(l, record(1, Begin)); !errors.Is(err, ErrFailed) || !l.Failed() {
			t.Errorf("got %v, failed %v", err, l.Failed())
		}
	})
	t.Run("a sync that fails is final", func(t *testing.T) {
		l, s, _ := build(t)
		defer l.Close()
		s.syncs = syscall.EIO
		if err := durable(l, record(1, Begin)); !errors.Is(err, ErrFailed) {
			t.Fatalf("got %v", err)
		}
		s.syncs = nil
		if err := durable(l, record(2, Begin)); !errors.Is(err, ErrFailed) {
			t.Errorf("got %v from the next one, want it refused", err)
		}
		done := make(chan error)
		l.Anew(nil, func(err error) { done <- err })
		if err := <-done; !errors.Is(err, ErrFailed) {
			t.Errorf("got %v, want nothing written anew either", err)
		}
	})
	t.Run("no room to write anew", func(t *testing.T) {
		l, _, path := build(t)
		defer l.Close()
		_ = durable(l, record(1, Begin))
		l.make = func(path string) (file, error) {
			f, err := create(path)
			return &sick{File: f.(*os.File), room: 5}, err
		}
		done := make(chan error)
		l.Anew([]Record{record(2, Begin)}, func(err error) { done <- err })
		if err := <-done; !errors.Is(err, syscall.ENOSPC) || l.Failed() {
			t.Errorf("got %v, failed %v", err, l.Failed())
		}
		if err := durable(l, record(3, Begin)); err != nil {
			t.Error(err)
		}
		if n, _ := read(path); n != 2 {
			t.Errorf("got %d records, want the old file to hold", n)
		}
	})
}

func BenchmarkRecovery(b *testing.B) {
	for _, size := range []int{10000, 100000, 1000000} {
		b.Run(fmt.Sprint("records ", size), func(b *testing.B) {
			text := []byte(header)
			for i := range size {
				text = appendRecord(text, record(i, End))
			}
			b.SetBytes(int64(len(text)))
			for b.Loop() {
				n := 0
				if _, _, err := Read(text, func(Record) { n++ }); err != nil || n != size {
					b.Fatal(n, err)
				}
			}
		})
	}
}

func BenchmarkAppend(b *testing.B) {
	l, _, err := Open(filepath.Join(b.TempDir(), "ledger"), func(Record) {})
	if err != nil {
		b.Fatal(err)
	}
	defer l.Close()
	b.RunParallel(func(pb *testing.PB) {
		done := make(chan error, 1)
		for i := 0; pb.Next(); i++ {
			l.Append(record(i, Begin), func(err error) { done <- err })
			if err := <-done; err != nil {
				b.Error(err)
			}
		}
	})
}
