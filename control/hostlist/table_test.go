package hostlist

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ivybank/rehearse/system"
	"ivybank/wire"
)

// TestReplicasFollow changes a table at random. Replicas that miss changes request those since their offset, and end
// up equal to the table.
func TestReplicasFollow(t *testing.T) {
	for seed := range uint64(100) {
		random := rand.New(rand.NewPCG(seed, 4))
		term := uint64(1)
		table, replica := NewTable(0, term), &Replica{}
		var listed []wire.Host
		for range 400 {
			listed = change(listed, random)
			if random.IntN(100) == 0 { // a new owner takes over
				term++
				table = NewTable(0, term)
			}
			update := table.Replace(listed)
			if update == nil || random.IntN(10) == 0 {
				continue // no change, or the message is lost
			}
			if !replica.Apply(update) {
				for _, missed := range table.Since(replica.At) {
					assert.Assert(t, replica.Apply(missed))
				}
			}
			assert.DeepEqual(t, replica.Hosts, table.hosts)
			assert.Equal(t, replica.At, table.At())
		}
	}
}

func change(hosts []wire.Host, random *rand.Rand) []wire.Host {
	next := append([]wire.Host{}, hosts...)
	switch {
	case random.IntN(3) == 0 && len(next) > 0:
		next[random.IntN(len(next))].Draining = true
	case random.IntN(2) == 0 && len(next) > 0:
		next = next[1:]
	default:
		next = append(next, wire.Host{ID: fmt.Sprint(random.Uint32()), Service: "s"})
	}
	return next
}

func TestReplicaFarBehindGetsTheFullTable(t *testing.T) {
	table := NewTable(0, 1)
	for i := range maxKeptChanges + 10 {
		table.Replace([]wire.Host{{ID: fmt.Sprint(i)}})
	}
	missed := table.Since(wire.HostsOffset{Term: 1, Offset: 2})
	assert.Equal(t, len(missed), 1)
	assert.Assert(t, missed[0].Full)
	assert.Equal(t, len(table.Since(wire.HostsOffset{Term: 1, Offset: maxKeptChanges})), 10)
	assert.Equal(t, len(table.Since(table.At())), 0)
}

func TestReaderReadsAllPages(t *testing.T) {
	platform := system.NewPlatform()
	defer platform.Close()
	var all []system.Instance
	for i := range 7 {
		all = append(all, system.Instance{ID: fmt.Sprint(i), Backend: "s", Address: "127.0.0.1:1", State: "ready"})
	}
	all[3].State = "draining"
	platform.SetInstances(all...)
	hosts, err := NewReader(platform.Address()).Read(context.Background())
	assert.NilError(t, err)
	assert.Equal(t, len(hosts), 7)
	for i, h := range hosts {
		assert.Equal(t, h.Draining, i == 3)
	}
}

func TestReaderReturnsNoPartialList(t *testing.T) {
	for name, answer := range map[string]http.HandlerFunc{
		"over the rate": func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusTooManyRequests) },
		"no list":       func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "[") },
		"cut": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "99")
			fmt.Fprint(w, "{}")
		},
		"never ends": func(w http.ResponseWriter, _ *http.Request) {
			fmt.Fprint(w, `{"instances":[],"next_token":"again"}`)
		},
	} {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(answer)
			defer server.Close()
			_, err := NewReader(server.Listener.Addr().String()).Read(context.Background())
			assert.Assert(t, err != nil)
		})
	}
}

// Guards against a platform that takes a control process over its memory limit, or keeps it from reading the list again.
func TestReaderBoundsTheList(t *testing.T) {
	const more = `],"next_token":"again"}`
	padding := strings.Repeat(" ", maxPageBytes-1024)
	for name, test := range map[string]struct {
		answer http.HandlerFunc
		want   error
	}{
		"a long page": {func(w http.ResponseWriter, _ *http.Request) {
			fmt.Fprint(w, `{"instances":[`+padding+strings.Repeat(" ", 2048)+`]}`)
		}, ErrTooLong},
		"long pages": {func(w http.ResponseWriter, _ *http.Request) {
			fmt.Fprint(w, `{"instances":[`+padding+more)
		}, ErrTooLong},
		"many hosts in a page": {func(w http.ResponseWriter, _ *http.Request) {
			fmt.Fprint(w, `{"instances":[`+strings.Repeat("{},", maxHosts)+`{}]}`)
		}, ErrTooLong},
		"many hosts in all pages": {func(w http.ResponseWriter, _ *http.Request) {
			fmt.Fprint(w, `{"instances":[`+strings.Repeat("{},", maxHosts/2)+`{}`+more)
		}, ErrTooLong},
		"slow pages": {func(w http.ResponseWriter, _ *http.Request) {
			time.Sleep(callTimeout / 2)
			fmt.Fprint(w, `{"instances":[`+more)
		}, context.DeadlineExceeded},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			server := httptest.NewServer(test.answer)
			defer server.Close()
			start := time.Now()
			_, err := NewReader(server.Listener.Addr().String()).Read(context.Background())
			assert.ErrorIs(t, err, test.want)
			assert.Assert(t, time.Since(start) < ReadTimeout+callTimeout)
		})
	}
}
