package holds

import (
	"os"
	"path/filepath"
	"testing"
)

func store(t *testing.T, path string) *Store {
	t.Helper()
	s, err := Open(path)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func set(t *testing.T, s *Store, id string, out bool, now int64) Table {
	t.Helper()
	table, err := s.Set(id, out, now)
	if err != nil {
		t.Fatal(err)
	}
	return table
}

func TestStore(t *testing.T) {
	path := filepath.Join(t.TempDir(), "holds")
	one, two := store(t, path), store(t, path)
	t.Run("out, out again, back, back again", func(t *testing.T) {
		if got := set(t, one, "a", true, 10).Hosts["a"]; got != (Hold{Out: true, Since: 10}) {
			t.Errorf("got %+v", got)
		}
		if got := set(t, one, "a", true, 20); got.Hosts["a"].Since != 10 || got.Version != 1 {
			t.Errorf("got %+v, want the first call to count", got)
		}
		if got := set(t, one, "a", false, 30).Hosts["a"]; got != (Hold{Since: 10, ReturnedAt: 30}) {
			t.Errorf("got %+v", got)
		}
		if got := set(t, one, "a", false, 40); got.Hosts["a"].ReturnedAt != 30 || got.Version != 2 {
			t.Errorf("got %+v, want the first call to count", got)
		}
		if got := set(t, one, "never out", false, 40); len(got.Hosts) != 1 {
			t.Errorf("got %+v, want nothing kept of a host that was not out", got)
		}
	})
	t.Run("the other process follows", func(t *testing.T) {
		got, changed := two.Refresh()
		if !changed || got.Version != 2 {
			t.Errorf("got %+v, %v", got, changed)
		}
		if _, changed := two.Refresh(); changed {
			t.Error("got a change where there was none")
		}
		set(t, one, "b", true, 50)
		if got := set(t, two, "c", true, 60); !got.Hosts["b"].Out || !got.Hosts["c"].Out {
			t.Errorf("got %+v, want the other's change kept", got)
		}
		if got, changed := one.Refresh(); !changed || !got.Hosts["c"].Out {
			t.Errorf("got %+v, %v", got, changed)
		}
	})
	t.Run("the next process has it", func(t *testing.T) {
		if got := store(t, path).Table(); !got.Hosts["b"].Out || got.Hosts["a"].Out {
			t.Errorf("got %+v", got)
		}
	})
	t.Run("what was put back is forgotten in the end", func(t *testing.T) {
		if got := set(t, one, "d", true, 40+returnRetention); len(got.Hosts) != 3 || got.Hosts["a"].ReturnedAt != 0 {
			t.Errorf("got %+v, want a gone", got)
		}
	})
}

func TestBadFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "holds")
	if err := os.WriteFile(path, []byte(`{"version":7,"hosts":`), 0o600); err != nil {
		t.Fatal(err)
	}
	s, err := Open(path)
	if err == nil {
		t.Fatal("got no error for a file that is cut")
	}
	set(t, s, "a", true, 1)
	if got := store(t, path).Table(); !got.Hosts["a"].Out {
		t.Errorf("got %+v, want the file whole again", got)
	}
}

// Without its folder a hold is in force in this process, and the caller is told that it is not kept.
func TestNoFolder(t *testing.T) {
	s := store(t, filepath.Join(t.TempDir(), "gone", "holds"))
	got, err := s.Set("a", true, 1)
	if err == nil || !got.Hosts["a"].Out || !s.Table().Hosts["a"].Out {
		t.Errorf("got %+v, %v, want it set, with an error", got, err)
	}
}

// A table that was kept elsewhere is taken where it is newer, as when the file was lost, and written down.
func TestRestore(t *testing.T) {
	path := t.TempDir() + "/holds"
	s, err := Open(path)
	if err != nil {
		t.Fatal(err)
	}
	if !s.Restore(Table{Version: 3, Hosts: map[string]Hold{"a": {Out: true}}}) || s.Restore(Table{Version: 2}) {
		t.Error("the older was taken, or the newer not")
	}
	again, err := Open(path)
	if err != nil || !again.Table().Hosts["a"].Out {
		t.Errorf("got %+v, %v", again.Table(), err)
	}
}
