package timeline

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// gossip is a node that sends a datagram to all on each tick and counts the datagrams received from each.
type gossip struct {
	me, of   int
	ticks    int
	heard    []int
	outgoing []int
}

func (g *gossip) Tick(int64) {
	g.ticks++
	for i := range g.of {
		g.outgoing = append(g.outgoing, i)
	}
}

func (g *gossip) Receive(from int, _ []byte, _ int64) { g.heard[from]++ }

func (g *gossip) Next() (int, []byte, bool) {
	if len(g.outgoing) == 0 {
		return 0, nil, false
	}
	to := g.outgoing[0]
	g.outgoing = g.outgoing[1:]
	return to, []byte{1, 2, 3}, true
}

type chat struct {
	*Simulation
	maxTicks int // number of ticks of a node above which the invariant is violated; 0: no bound
}

func (c *chat) Start(place int, _ uint64, _ int64) Node {
	return &gossip{me: place, of: len(c.Names), heard: make([]int, len(c.Names))}
}

func (c *chat) Apply(int, string, []string) error { return errors.New("no such verb") }

func (c *chat) Step() error {
	for i := range c.Names {
		if g, ok := c.Node(i).(*gossip); ok && c.maxTicks > 0 && g.ticks > c.maxTicks {
			return fmt.Errorf("%s ticked %d times", c.Names[i], g.ticks)
		}
	}
	return nil
}

func (c *chat) Observe(place int, what string) (string, error) {
	if place < 0 || what != "heard" {
		return "", errors.New("nothing to be seen")
	}
	g, ok := c.Node(place).(*gossip)
	if !ok {
		return "dead", nil
	}
	said := "heard"
	for i, n := range g.heard {
		if n > 0 {
			said += " " + c.Names[i]
		}
	}
	clear(g.heard)
	return said, nil
}

func play(text string, most int) Report {
	return Play(text, 1, func(w *Simulation) Cluster { return &chat{w, most} })
}

// Links are cut as the table says, dead and stopped nodes send nothing, and the result shows what was observed.
func TestPlay(t *testing.T) {
	got := play(`
at    rig       a         b       c
100ms  .         heard?    heard?  heard?
100ms  cut a|bc  .         .       .
150ms  .         heard?    heard?  heard?
300ms  heal      heard?    heard?  heard?
300ms  a-x->c    .         .       .
350ms  .         heard?    heard?  heard?
400ms  .         heard?    kill    heard?
450ms  .         heard?    heard?  heard?
600ms  .         heard?; stop  back  heard?
650ms  .         heard?    heard?  heard?
900ms  .         wake; heard?   heard?  heard?
`, 0)
	want := `at     rig       a                    b          c
100ms  .         heard b c            heard a c  heard a b
100ms  cut a|bc  .                    .          .
150ms  .         heard                heard c    heard b
300ms  heal      heard                heard c    heard b
300ms  a-x->c    .                    .          .
350ms  .         heard b c            heard a c  heard b
400ms  .         heard b c            kill       heard b
450ms  .         heard c              dead       heard
600ms  .         heard c; stop        back       heard
650ms  .         heard                heard c    heard b
900ms  .         wake; heard b c      heard c    heard b
`
	if got.Err != nil || cmp.Diff(collapseSpaces(want), collapseSpaces(got.Table)) != "" {
		t.Errorf("%v\n%s", got.Err, SideBySide(got.Table, want))
	}
}

func collapseSpaces(s string) []string {
	var all []string
	for _, l := range strings.Split(strings.TrimSpace(s), "\n") {
		all = append(all, strings.Join(strings.Fields(l), " "))
	}
	return all
}

// A violated invariant is the last row of the table; a table that can't be run is reported with its line.
func TestErrorsAreReported(t *testing.T) {
	for text, want := range map[string]string{
		"":                               "an empty run",
		"at  a  b":                       "line 1: expected at, rig and the nodes' names",
		"at  rig  a\n1s  .":              "line 2: 2 cells, expected 3",
		"at  rig  a\nsoon  .  .":         `line 2: "soon": no time`,
		"at  rig  a\n2s  .  .\n1s  .  .": `line 3: "1s": no time, or earlier`,
		"at  rig  a\n1s  .  dance":       `line 2: "dance": no such verb`,
		"at  rig  a\n1s  cut a|x  .":     "no node a or x",
		"at  rig  a\n3s  .  .":           "a ticked 101 times",
	} {
		r := play(text, 100)
		if r.Err == nil || !strings.Contains(r.Err.Error(), want) {
			t.Errorf("%q: %v, want %s", text, r.Err, want)
		}
	}
	r := play("at  rig  a\n3s  .  .", 100)
	if !strings.Contains(r.Table, "! a ticked 101 times") {
		t.Errorf("not in the table:\n%s", r.Table)
	}
	s := SideBySide("x  1\nsame", "x  2\nsame")
	if !strings.Contains(s, "*  x  1") || strings.Count(s, "*") != 1 {
		t.Errorf("not marked:\n%s", s)
	}
}

// With lost, duplicated, late and corrupted datagrams, the same table and seed give the same result.
func TestSameSeedSameRun(t *testing.T) {
	text := "at  rig  a  b\n" +
		"0s  loss 0.5; double 0.5; late 0.5; garble 0.2  rate 100  clock 90s\n3s  .  heard?  heard?\n"
	first := play(text, 0)
	if second := play(text, 0); first.Err != nil || first.Table != second.Table {
		t.Errorf("%v\n%s", first.Err, SideBySide(first.Table, second.Table))
	}
}
