package conf

import (
	"strings"
	"testing"
)

func TestFleetTable(t *testing.T) {
	valid := "format = \"ivybank/operator/1\"\n[fleet]\nname = \"a\"\nlisten = \"127.0.0.1:1\"\n" +
		"peers = [\"127.0.0.1:1\", \"127.0.0.1:2\"]\nme = 1\ndatagrams_per_second = 24.0\nack_wait = \"300ms\"\n" +
		"quiet = \"2300ms\"\n[fleet.overload]\nfurther = 0.1\nmost_per_member = 100.0\nover_share = 0.2\n" +
		"[fleet.probes]\nevery = \"1s\"\ntake_over_after = \"3s\"\ntimeout = \"500ms\"\npath = \"/ping\"\n"
	check := func(text string) error {
		o := &OperatorConfig{}
		f, err := Read("o.toml", []byte(text), o)
		if err != nil {
			return err
		}
		return o.checkFleet(f)
	}
	if err := check(valid); err != nil {
		t.Fatal(err)
	}
	for change, want := range map[string]string{
		"name = \"a\" -> name = \"\"":                                     "o.toml:3: fleet.name: expected a name",
		"me = 1 -> me = 2":                                                "o.toml:6: fleet.me: expected an index into peers",
		"listen = \"127.0.0.1:1\"\n -> ":                                  "o.toml:2: fleet.listen: listen and peers require each other",
		"\"127.0.0.1:2\" -> \"here\"":                                     "o.toml:5: fleet.peers: item 1",
		"datagrams_per_second = 24.0 -> datagrams_per_second = 0.0":       "o.toml:7: fleet.datagrams_per_second",
		"quiet = \"2300ms\" -> quiet = \"500ms\"":                         "o.toml:9: fleet.quiet: expected at least three times ack_wait",
		"further = 0.1 -> further = 2.0":                                  "o.toml:11: fleet.overload.further",
		"most_per_member = 100.0\n -> ":                                   "o.toml:10: fleet.overload.most_per_member",
		"over_share = 0.2 -> over_share = -1.0":                           "o.toml:13: fleet.overload.over_share",
		"take_over_after = \"3s\" -> take_over_after = \"1s\"":            "o.toml:16: fleet.probes.take_over_after",
		"path = \"/ping\" -> path = \"ping\"":                             "o.toml:18: fleet.probes.path",
		"timeout = \"500ms\" -> timeout = \"soon\"":                       "o.toml:17: fleet.probes.timeout",
		"[fleet.overload]\nfurther = 0.1 -> [fleet.overload]\nmore = 0.1": "o.toml:11: fleet.overload.more: no such field",
	} {
		from, to, _ := strings.Cut(change, " -> ")
		if err := check(strings.Replace(valid, from, to, 1)); err == nil || !strings.HasPrefix(err.Error(), want) {
			t.Errorf("%s: got %v, want %s", change, err, want)
		}
	}
}

func TestReturnTable(t *testing.T) {
	valid := "format = \"ivybank/operator/1\"\n[fleet]\nname = \"a\"\n[return]\nfolder = \"state\"\nevery = \"1s\"\n" +
		"trust = \"30s\"\n[return.learn]\nothers = 3\nfor = \"3s\"\n"
	check := func(text string) error {
		o := &OperatorConfig{}
		f, err := Read("o.toml", []byte(text), o)
		if err != nil {
			return err
		}
		return o.checkRecovery(f)
	}
	if err := check(valid); err != nil {
		t.Fatal(err)
	}
	for change, want := range map[string]string{
		"every = \"1s\" -> every = \"1ms\"":   "o.toml:6: return.every: expected at least 100ms",
		"trust = \"30s\" -> trust = \"10ms\"": "o.toml:7: return.trust: expected at least the value of every",
		"others = 3 -> others = 0":            "o.toml:9: return.learn.others: expected 1 to 16",
		"for = \"3s\" -> for = \"3h\"":        "o.toml:10: return.learn.for",
		"[fleet]\nname = \"a\"\n -> ":         "return.learn: requires a table [fleet]",
	} {
		t.Run(change, func(t *testing.T) {
			from, to, _ := strings.Cut(change, " -> ")
			if err := check(strings.Replace(valid, from, to, 1)); err == nil ||
				!strings.HasPrefix(err.Error(), want) && !strings.Contains(err.Error(), want) {
				t.Errorf("got %v, want %s", err, want)
			}
		})
	}
}
