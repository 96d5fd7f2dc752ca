package quorum

import (
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"go.etcd.io/raft/v3/raftpb"
)

func testBatches() (all []Batch) {
	return []Batch{{ID: 7}, {HardState: raftpb.HardState{Term: 2, Vote: 7, Commit: 1},
		Entries: []raftpb.Entry{{Index: 2, Term: 2, Data: []byte("a")}, {Index: 3, Term: 2}}},
		{HardState: raftpb.HardState{Term: 3, Vote: 7, Commit: 2},
			Entries: []raftpb.Entry{{Index: 3, Term: 3, Data: []byte("b")}}}}
}

// Wherever a write was truncated, the records before it are read; a file damaged before its last record counts as lost.
func TestFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "plans", "log")
	var want []PersistentState
	var ends []int
	f, k, err := OpenFile(path)
	if err != nil || k.ID != 0 {
		t.Fatal(k, err)
	}
	for _, b := range testBatches() {
		if err := f.Write(&b); err != nil {
			t.Fatal(err)
		}
		k.Apply(&b)
		want = append(want, PersistentState{k.ID, k.HardState, append([]raftpb.Entry{}, k.Entries...)})
		info, _ := os.Stat(path)
		ends = append(ends, int(info.Size()))
	}
	f.Close()
	whole, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	for n := range len(whole) + 1 {
		var at PersistentState
		for i, end := range ends {
			if n >= end {
				at = want[i]
			}
		}
		if err := os.WriteFile(path, whole[:n], 0o600); err != nil {
			t.Fatal(err)
		}
		f, got, err := OpenFile(path)
		if err != nil {
			t.Fatal(err)
		}
		f.Close()
		if got.ID != at.ID || !reflect.DeepEqual(got.HardState, at.HardState) || len(got.Entries) != len(at.Entries) {
			t.Fatalf("of %d bytes: got %+v, want %+v", n, got, at)
		}
	}
	whole[ends[0]+20] ^= 1
	if err := os.WriteFile(path, whole, 0o600); err != nil {
		t.Fatal(err)
	}
	if f, got, err := OpenFile(path); err != nil || got.ID != 0 {
		t.Errorf("got %+v, %v of a damaged file, want empty state", got, err)
	} else {
		f.Close()
	}
}
