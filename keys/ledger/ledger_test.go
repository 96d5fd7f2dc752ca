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

func testRecord(i int, kind Kind) Record {
	r := Record{kind, idempotency.Entry{Key: idempotency.Key{Tenant: "t", RuleSet: "filing", Name: fmt.Sprint("key-", i)},
		Fingerprint: idempotency.Fingerprint{byte(i)}, At: int64(i) * 1e9}}
	if kind == End {
		r.Entry.State = idempotency.Done
		r.Entry.Response = idempotency.Response{Status: 200, Stored: true,
			Fields: [][2]string{{"Content-Type", "a/b"}}, Body: bytes.Repeat([]byte{byte(i)}, i%50)}
		if len(r.Entry.Response.Body) == 0 {
			r.Entry.Response.Body = nil
		}
	}
	return r
}

func mustOpen(t *testing.T, path string) (*Ledger, []Record, Report) {
	t.Helper()
	var got []Record
	l, rep, err := Open(path, func(r Record) { got = append(got, r) })
	if err != nil {
		t.Fatal(err)
	}
	return l, got, rep
}

// appendSync appends records and waits until they are durable.
func appendSync(l *Ledger, rs ...Record) error {
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
	l, got, rep := mustOpen(t, path)
	if len(got) != 0 || rep.DamagedAt != -1 {
		t.Fatalf("got %v, %+v", got, rep)
	}
	var want []Record
	for i := range 300 {
		want = append(want, testRecord(i, []Kind{Begin, End, Free}[i%3]))
	}
	if err := appendSync(l, want...); err != nil {
		t.Fatal(err)
	}
	if n := l.Syncs(); n >= 300 {
		t.Errorf("got %d syncs for 300 records, want one sync for several queued records", n)
	}
	if _, _, err := Open(path, func(Record) {}); !errors.Is(err, ErrLocked) {
		t.Errorf("got %v while the ledger is locked", err)
	}
	l.Close()
	l, got, _ = mustOpen(t, path)
	if !reflect.DeepEqual(got, want) {
		t.Fatal("the records read are not those written")
	}
	old := l.Size()
	done := make(chan error, 2)
	l.Rewrite(want[:10], func(err error) { done <- err })
	l.Append(want[20], func(err error) { done <- err })
	if err := errors.Join(<-done, <-done); err != nil || l.Size() >= old {
		t.Fatalf("got %v, %d bytes of %d", err, l.Size(), old)
	}
	l.Close()
	l, got, _ = mustOpen(t, path)
	l.Close()
	if !reflect.DeepEqual(got, append(want[:10:10], want[20])) {
		t.Error("the rewritten file does not hold the given records and the later one")
	}
}

// A file truncated at any byte yields exactly its complete records, and further records can be appended.
func TestTruncated(t *testing.T) {
	text := []byte(header)
	var ends []int
	for i := range 40 {
		text = appendRecord(text, testRecord(i, []Kind{Begin, End}[i%2]))
		ends = append(ends, len(text))
	}
	r := rand.New(rand.NewPCG(1, 1))
	for range 200 {
		cut := r.IntN(len(text) + 1)
		path := filepath.Join(t.TempDir(), "ledger")
		if err := os.WriteFile(path, text[:cut], 0o600); err != nil {
			t.Fatal(err)
		}
		complete := 0
		for complete < len(ends) && ends[complete] <= cut {
			complete++
		}
		l, got, rep := mustOpen(t, path)
		if len(got) != complete || rep.DamagedAt != -1 {
			t.Fatalf("truncated at %d: got %d records, %+v, want %d", cut, len(got), rep, complete)
		}
		if err := appendSync(l, testRecord(99, Begin)); err != nil {
			t.Fatal(err)
		}
		l.Close()
		l, got, rep = mustOpen(t, path)
		l.Close()
		if len(got) != complete+1 || rep.TornBytes != 0 || got[complete].Entry.Key.Name != "key-99" {
			t.Fatalf("truncated at %d: got %d records, %+v after one more was appended", cut, len(got), rep)
		}
	}
}

// A flipped bit never yields a different record: the damaged record is missing and reported, the others are read.
func TestFlippedBit(t *testing.T) {
	text := []byte(header)
	var want []Record
	for i := range 20 {
		want = append(want, testRecord(i, End))
		text = appendRecord(text, want[i])
	}
	last := len(appendRecord(nil, want[19]))
	r := rand.New(rand.NewPCG(2, 1))
	for range 2000 {
		o := len(header) + r.IntN(len(text)-len(header)-last)
		damaged := bytes.Clone(text)
		damaged[o] ^= 1 << r.IntN(8)
		var got []Record
		rep, _, err := Read(damaged, func(r Record) { got = append(got, r) })
		if err != nil || rep.DamagedAt < 0 || len(got) != 19 {
			t.Fatalf("bit at %d: got %d records, %+v, %v, want one missing and reported", o, len(got), rep, err)
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

func TestForeignFiles(t *testing.T) {
	for name, c := range map[string]struct {
		text string
		want error
	}{
		"newer version":   {"IVYLEDG2more", ErrNewerVersion},
		"older version":   {"IVYLEDG0more", ErrNotLedger},
		"other content":   {"hello, world", ErrNotLedger},
		"shorter content": {"hel", ErrNotLedger},
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
	if _, _, err := Open(filepath.Join(t.TempDir(), "missing", "ledger"), func(Record) {}); err == nil {
		t.Error("opened a ledger in a folder that does not exist")
	}
}

// faultyFile is a file whose operations fail as configured.
type faultyFile struct {
	*os.File
	room        int   // bytes left on the disk
	syncErr     error // returned by Sync if set
	truncateErr error // returned by Truncate if set
}

func (s *faultyFile) Write(b []byte) (int, error) {
	if len(b) > s.room {
		n, _ := s.File.Write(b[:s.room])
		s.room = 0
		return n, syscall.ENOSPC
	}
	s.room -= len(b)
	return s.File.Write(b)
}

func (s *faultyFile) Sync() error { return errors.Join(s.syncErr, s.File.Sync()) }

func (s *faultyFile) Truncate(n int64) error {
	if s.truncateErr != nil {
		return s.truncateErr
	}
	return s.File.Truncate(n)
}

func TestDiskErrors(t *testing.T) {
	build := func(t *testing.T) (*Ledger, *faultyFile, string) {
		path := filepath.Join(t.TempDir(), "ledger")
		l, _, err := open(path, func(Record) {})
		if err != nil {
			t.Fatal(err)
		}
		s := &faultyFile{File: l.file.(*os.File), room: 1 << 20}
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
		_ = appendSync(l, testRecord(1, Begin))
		s.room = 10
		if err := appendSync(l, testRecord(2, Begin)); !errors.Is(err, syscall.ENOSPC) {
			t.Fatalf("got %v", err)
		}
		if n, rep := read(path); n != 1 || rep.TornBytes != 0 {
			t.Errorf("got %d records, %+v, want the file unchanged", n, rep)
		}
		s.room = 1 << 20
		if err := appendSync(l, testRecord(3, Begin)); err != nil || l.Failed() {
			t.Errorf("got %v, failed %v with room again", err, l.Failed())
		}
		if n, rep := read(path); n != 2 || rep.TornBytes != 0 {
			t.Errorf("got %d records, %+v", n, rep)
		}
	})
	t.Run("full, and truncation fails", func(t *testing.T) {
		l, s, _ := build(t)
		defer l.Close()
		s.room, s.truncateErr = 10, syscall.EIO
		if err := appendSync(l, testRecord(1, Begin)); !errors.Is(err, ErrFailed) || !l.Failed() {
			t.Errorf("got %v, failed %v", err, l.Failed())
		}
	})
	t.Run("a failed sync is final", func(t *testing.T) {
		l, s, _ := build(t)
		defer l.Close()
		s.syncErr = syscall.EIO
		if err := appendSync(l, testRecord(1, Begin)); !errors.Is(err, ErrFailed) {
			t.Fatalf("got %v", err)
		}
		s.syncErr = nil
		if err := appendSync(l, testRecord(2, Begin)); !errors.Is(err, ErrFailed) {
			t.Errorf("got %v from the next one, want it refused", err)
		}
		done := make(chan error)
		l.Rewrite(nil, func(err error) { done <- err })
		if err := <-done; !errors.Is(err, ErrFailed) {
			t.Errorf("got %v, want a rewrite refused as well", err)
		}
	})
	t.Run("no room to rewrite", func(t *testing.T) {
		l, _, path := build(t)
		defer l.Close()
		_ = appendSync(l, testRecord(1, Begin))
		l.createFile = func(path string) (file, error) {
			f, err := create(path)
			return &faultyFile{File: f.(*os.File), room: 5}, err
		}
		done := make(chan error)
		l.Rewrite([]Record{testRecord(2, Begin)}, func(err error) { done <- err })
		if err := <-done; !errors.Is(err, syscall.ENOSPC) || l.Failed() {
			t.Errorf("got %v, failed %v", err, l.Failed())
		}
		if err := appendSync(l, testRecord(3, Begin)); err != nil {
			t.Error(err)
		}
		if n, _ := read(path); n != 2 {
			t.Errorf("got %d records, want the old file to stay in use", n)
		}
	})
}

func BenchmarkRecovery(b *testing.B) {
	for _, size := range []int{10000, 100000, 1000000} {
		b.Run(fmt.Sprint("records ", size), func(b *testing.B) {
			text := []byte(header)
			for i := range size {
				text = appendRecord(text, testRecord(i, End))
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
			l.Append(testRecord(i, Begin), func(err error) { done <- err })
			if err := <-done; err != nil {
				b.Error(err)
			}
		}
	})
}
