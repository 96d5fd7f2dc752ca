package holds

import (
	"os"
	"path/filepath"
	"testing"
)

func openStore(t *testing.T, path string) *Store {
	t.Helper()
	s, err := Open(path)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func setHold(t *testing.T, s *Store, id string, out bool, now int64) Table {
	t.Helper()
	table, err := s.Set(id, out, now)
	if err != nil {
		t.Fatal(err)
	}
	return table
}

func TestStore(t *testing.T) {
	path := filepath.Join(t.TempDir(), "holds")
	one, two := openStore(t, path), openStore(t, path)
	t.Run("out twice, back twice", func(t *testing.T) {
		if got := setHold(t, one, "a", true, 10).Hosts["a"]; got != (Hold{Out: true, Since: 10}) {
			t.Errorf("got %+v", got)
		}
		if got := setHold(t, one, "a", true, 20); got.Hosts["a"].Since != 10 || got.Version != 1 {
			t.Errorf("got %+v, want the first call to count", got)
		}
		if got := setHold(t, one, "a", false, 30).Hosts["a"]; got != (Hold{Since: 10, ReturnedAt: 30}) {
			t.Errorf("got %+v", got)
		}
		if got := setHold(t, one, "a", false, 40); got.Hosts["a"].ReturnedAt != 30 || got.Version != 2 {
			t.Errorf("got %+v, want the first call to count", got)
		}
		if got := setHold(t, one, "never out", false, 40); len(got.Hosts) != 1 {
			t.Errorf("got %+v, want nothing kept of a host that was not out", got)
		}
	})
	t.Run("changes reach the other process", func(t *testing.T) {
		got, changed := two.Refresh()
		if !changed || got.Version != 2 {
			t.Errorf("got %+v, %v", got, changed)
		}
		if _, changed := two.Refresh(); changed {
			t.Error("got a change where there was none")
		}
		setHold(t, one, "b", true, 50)
		if got := setHold(t, two, "c", true, 60); !got.Hosts["b"].Out || !got.Hosts["c"].Out {
			t.Errorf("got %+v, want the other's change kept", got)
		}
		if got, changed := one.Refresh(); !changed || !got.Hosts["c"].Out {
			t.Errorf("got %+v, %v", got, changed)
		}
	})
	t.Run("the next process reads the table", func(t *testing.T) {
		if got := openStore(t, path).Table(); !got.Hosts["b"].Out || got.Hosts["a"].Out {
			t.Errorf("got %+v", got)
		}
	})
	t.Run("old returns are removed", func(t *testing.T) {
		if got := setHold(t, one, "d", true, 40+returnRetention); len(got.Hosts) != 3 ||
			got.Hosts["a"].ReturnedAt != 0 {
			t.Errorf("got %+v, want a gone", got)
		}
	})
}

func TestTruncatedFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "holds")
	if err := os.WriteFile(path, []byte(`{"version":7,"hosts":`), 0o600); err != nil {
		t.Fatal(err)
	}
	s, err := Open(path)
	if err == nil {
		t.Fatal("got no error for a truncated file")
	}
	setHold(t, s, "a", true, 1)
	if got := openStore(t, path).Table(); !got.Hosts["a"].Out {
		t.Errorf("got %+v, want the file rewritten", got)
	}
}

// If the folder is missing a hold applies in this process, and the error says that it is not stored.
func TestNoFolder(t *testing.T) {
	s := openStore(t, filepath.Join(t.TempDir(), "gone", "holds"))
	got, err := s.Set("a", true, 1)
	if err == nil || !got.Hosts["a"].Out || !s.Table().Hosts["a"].Out {
		t.Errorf("got %+v, %v, want the hold and an error", got, err)
	}
}

// A table that was stored elsewhere is adopted and written if it is newer, as after the loss of the file.
func TestRestore(t *testing.T) {
	path := t.TempDir() + "/holds"
	s, err := Open(path)
	if err != nil {
		t.Fatal(err)
	}
	if !s.Restore(Table{Version: 3, Hosts: map[string]Hold{"a": {Out: true}}}) || s.Restore(Table{Version: 2}) {
		t.Error("an older table was adopted, or a newer one was not")
	}
	again, err := Open(path)
	if err != nil || !again.Table().Hosts["a"].Out {
		t.Errorf("got %+v, %v", again.Table(), err)
	}
}
