package snapshot

import (
	"errors"
	"io/fs"
	"os"
	"reflect"
	"testing"

	"ivybank/balance"
	"ivybank/fleet/holds"
	"ivybank/fleet/warmstart"
	"ivybank/internal/decay"
)

func testSnapshot(n uint64) *warmstart.Snapshot {
	m := &warmstart.Snapshot{Proxy: "127.0.0.1:80", Incarnation: 7, Number: n, WallTime: 1e18, BootID: "b",
		Uptime: 5e9, ConfigHash: 3, Service: 0.9, NewestKey: 12,
		List: warmstart.List{Generation: 4, Age: 1e9, Hosts: []warmstart.Host{
			{Server: balance.Server{ID: "s-1", Zone: "a", Cell: 2, State: balance.Draining, Share: 1, Since: 9},
				Addr: "127.0.0.1:81"}}},
		Holds: holds.Table{Version: 2, Hosts: map[string]holds.Hold{"s-9": {Out: true, Since: 3}}}}
	m.Balancer = balance.Snapshot{Rate: 12, Tenants: []balance.TenantRate{{Name: "t", Rate: 3}}, LatencyRatio: 0.1,
		MeanTarget: 8e8, MeanValue: 4, Keys: []decay.KeyCount{{Index: 3, N: 9}},
		Servers: []balance.ServerSnapshot{{ID: "s-1", Since: 9, Health: 0.5, Streak: 1, EjectionLeft: 2e9,
			Ejections: 1, SlotTime: 1e6, Latency: 2e6, InflightCap: 4, LastOutcomeAge: 5e8}}}
	return m
}

func TestRoundTrip(t *testing.T) {
	folder := t.TempDir() + "/state"
	if _, err := Read(folder); !errors.Is(err, fs.ErrNotExist) {
		t.Errorf("got %v for a folder without a snapshot", err)
	}
	for n := range uint64(3) {
		if err := Write(folder, testSnapshot(n)); err != nil {
			t.Fatal(err)
		}
	}
	got, err := Read(folder)
	if err != nil || !reflect.DeepEqual(&got, testSnapshot(2)) {
		t.Errorf("got %+v, %v", got, err)
	}
	if all, _ := os.ReadDir(folder); len(all) != 1 {
		t.Errorf("%d files in the folder, want 1", len(all))
	}
}

// A process that is killed while it writes may leave a file of any length. No incomplete file is accepted.
func TestTruncated(t *testing.T) {
	b, err := Encode(testSnapshot(1))
	if err != nil {
		t.Fatal(err)
	}
	for n := range b {
		if _, err := Decode(b[:n]); err == nil {
			t.Fatalf("the first %d of %d bytes were accepted", n, len(b))
		}
	}
	if _, err := Decode(append(b, 0)); !errors.Is(err, ErrLength) {
		t.Errorf("got %v for a file with a trailing byte", err)
	}
}

func TestFlippedBits(t *testing.T) {
	b, err := Encode(testSnapshot(1))
	if err != nil {
		t.Fatal(err)
	}
	for i := range 8 * len(b) {
		b[i/8] ^= 1 << (i % 8)
		if _, err := Decode(b); err == nil {
			t.Fatalf("accepted with bit %d flipped", i)
		}
		b[i/8] ^= 1 << (i % 8)
	}
}

func TestDecodeErrors(t *testing.T) {
	good, err := Encode(testSnapshot(1))
	if err != nil {
		t.Fatal(err)
	}
	laterVersion := append([]byte{}, good...)
	laterVersion[len(magic)]++
	bad := testSnapshot(1)
	bad.Balancer.Servers[0].Health = -1
	invalid, err := Encode(bad)
	if err != nil {
		t.Fatal(err)
	}
	for name, c := range map[string]struct {
		b    []byte
		want error
	}{"empty": {nil, ErrNotSnapshot}, "other file": {[]byte("[log]\nlevel = 1"), ErrNotSnapshot},
		"later version": {laterVersion, ErrVersion}, "figures out of range": {invalid, ErrFormat}} {
		t.Run(name, func(t *testing.T) {
			if _, err := Decode(c.b); !errors.Is(err, c.want) {
				t.Errorf("got %v, want %v", err, c.want)
			}
		})
	}
}

// If the new file can't be written the old one stays.
func TestFailedWrite(t *testing.T) {
	folder := t.TempDir()
	if err := Write(folder, testSnapshot(1)); err != nil {
		t.Fatal(err)
	}
	if err := os.MkdirAll(Path(folder)+".new/full", 0o700); err != nil {
		t.Fatal(err)
	}
	if Write(folder, testSnapshot(2)) == nil {
		t.Error("no error though the file can't be written")
	}
	if m, err := Read(folder); err != nil || m.Number != 1 {
		t.Errorf("got snapshot %d, %v, want the old one", m.Number, err)
	}
}

func FuzzDecode(f *testing.F) {
	b, err := Encode(testSnapshot(1))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(b)
	f.Fuzz(func(t *testing.T, b []byte) {
		if m, err := Decode(b); err == nil && !m.Valid() {
			t.Error("an invalid snapshot was accepted")
		}
	})
}

func BenchmarkRead(b *testing.B) {
	m := testSnapshot(1)
	for i := range 200 {
		l := m.Balancer.Servers[0]
		l.ID = string(rune('a' + i))
		m.Balancer.Servers = append(m.Balancer.Servers, l)
		m.List.Hosts = append(m.List.Hosts, m.List.Hosts[0])
	}
	for i := range 2000 {
		m.Balancer.Keys = append(m.Balancer.Keys, decay.KeyCount{Index: i, N: 2})
	}
	folder := b.TempDir()
	if err := Write(folder, m); err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		if _, err := Read(folder); err != nil {
			b.Fatal(err)
		}
	}
}
