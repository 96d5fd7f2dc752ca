package charter

import (
	"fmt"
	"runtime"
	"strings"
	"syscall"
	"testing"
)

const (
	teams        = 500
	rulesPerTeam = 40
)

// largeCharter returns the files of 500 teams with 40 rules each, 20,000 in all, by name. Each team has three tenants
// and a rule set, is a child of one of 20 divisions, and uses a rule set of its neighbour by grant.
func largeCharter() (texts map[string]string) {
	texts = map[string]string{}
	var head strings.Builder
	head.WriteString("format = \"ivybank/fleet/charter/1\"\nnamespace = \"fleet\"\nteam = " +
		"\"fleet\"\n[claims]\nzones = [\"z0\", \"z1\", \"z2\", \"z3\"]\ncells = [1, 2, 3, 4, 5, 6, 7, 8]\n")
	for i := range 10 {
		fmt.Fprintf(&head, "[[window]]\nname = \"w%d\"\nfrom = \"%02d:00\"\nuntil = \"%02d:30\"\n", i, 2*i, 2*i+3)
	}
	for i := range 20 {
		fmt.Fprintf(&head, "[[delegate]]\nto = \"division%d\"\n", i)
	}
	texts["fleet"] = head.String() + "[[rule]]\nid = \"all\"\nkind = \"limit\"\nunit = \"reqs\"\nper = " +
		"\"second\"\nnumber = 1e9\n"
	for i := range 20 {
		var b strings.Builder
		fmt.Fprintf(&b, "format = \"ivybank/fleet/charter/1\"\nnamespace = \"division%d\"\nteam = \"d\"\nparent "+
			"= \"fleet\"\n", i)
		for j := i; j < teams; j += 20 {
			fmt.Fprintf(&b, "[[delegate]]\nto = \"team%d\"\n", j)
		}
		var tenants, sets []string
		for j := i; j < teams; j += 20 {
			tenants = append(tenants, fmt.Sprintf("\"t%d-0\", \"t%d-1\", \"t%d-2\"", j, j, j))
			sets = append(sets, fmt.Sprintf("\"s%d\"", j))
		}
		fmt.Fprintf(&b, "[claims]\ntenants = [%s]\nrulesets = [%s]\n", strings.Join(tenants, ","),
			strings.Join(sets, ","))
		fmt.Fprintf(&b, "[[rule]]\nid = \"top\"\nkind = \"limit\"\nunit = \"reqs\"\nper = \"second\"\nnumber = "+
			"1e8\n")
		texts[fmt.Sprint("division", i)] = b.String()
	}
	for i := range teams {
		texts[fmt.Sprint("team", i)] = teamFile(i, 0)
	}
	return texts
}

// teamFile returns the file of a team; more is added to the numbers of some rules.
func teamFile(i, more int) string {
	var b strings.Builder
	fmt.Fprintf(&b, "format = \"ivybank/fleet/charter/1\"\nnamespace = \"team%d\"\nteam = \"t\"\nparent = "+
		"\"division%d\"\n", i, i%20)
	fmt.Fprintf(&b, "[claims]\ntenants = [\"t%d-0\", \"t%d-1\", \"t%d-2\"]\nrulesets = [\"s%d\"]\n", i, i, i, i)
	fmt.Fprintf(&b, "[[grant]]\nid = \"g\"\nto = \"team%d\"\nrulesets = [\"s%d\"]\n", (i+1)%teams, i)
	for k := range rulesPerTeam {
		fmt.Fprintf(&b, "[[rule]]\nid = \"r%d\"\ntenants = [\"t%d-%d\"]\n", k, i, k%3)
		if k%2 == 0 {
			fmt.Fprintf(&b, "window = \"w%d\"\n", k%10)
		}
		if k%7 == 0 {
			fmt.Fprintf(&b, "rulesets = [\"s%d\"]\n", (i+teams-1)%teams)
		}
		switch k % 8 {
		case 0, 1:
			fmt.Fprintf(&b, "kind = \"limit\"\nunit = \"reqs\"\nper = \"second\"\nnumber = %d\n", 1000+k+more)
		case 2, 3:
			fmt.Fprintf(&b, "kind = \"guarantee\"\nunit = \"reqs\"\nnumber = %d\n", 10+more)
		case 4:
			fmt.Fprintf(&b, "kind = \"quota\"\nunit = \"reqs\"\nper = \"day\"\nnumber = %d\n", 100000+k)
		case 5:
			fmt.Fprintf(&b, "kind = \"value\"\nnumber = %d\n", 3)
		case 6:
			fmt.Fprintf(&b, "kind = \"never\"\nzones = [\"z%d\"]\n", k%4)
		case 7:
			fmt.Fprintf(&b, "kind = \"deny\"\nnumber = %d\n", k)
		}
	}
	return b.String()
}

func readLargeCharter(tb testing.TB) (files []*File, texts map[string]string) {
	texts = largeCharter()
	for name, text := range texts {
		f, err := Read(name+".toml", []byte(text))
		if err != nil {
			tb.Fatal(err)
		}
		files = append(files, f)
	}
	return files, texts
}

// cpuTimeMs returns the CPU time that this process has used, in ms. Wall clock time says little on a shared machine.
func cpuTimeMs() float64 {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return float64(u.Utime.Nano()+u.Stime.Nano()) / 1e6
}

// BenchmarkReadAndMerge makes the charter from the files' bytes. MB is the memory that the process has obtained from
// the system: files, charter, snapshot and garbage.
func BenchmarkReadAndMerge(b *testing.B) {
	texts := largeCharter()
	b.ReportAllocs()
	start := cpuTimeMs()
	for b.Loop() {
		var files []*File
		for name, text := range texts {
			f, err := Read(name+".toml", []byte(text))
			if err != nil {
				b.Fatal(err)
			}
			files = append(files, f)
		}
		c := Merge(files, now, nil)
		if c.Snapshot(now); len(c.Refused()) != 0 {
			b.Fatal(c.Refused()[:1])
		}
	}
	b.ReportMetric((cpuTimeMs()-start)/float64(b.N), "cpu-ms/op")
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	b.ReportMetric(float64(m.Sys)/1e6, "MB")
}

// BenchmarkMerge merges files that are already parsed.
func BenchmarkMerge(b *testing.B) {
	files, _ := readLargeCharter(b)
	b.ReportAllocs()
	start := cpuTimeMs()
	for b.Loop() {
		Merge(files, now, nil)
	}
	b.ReportMetric((cpuTimeMs()-start)/float64(b.N), "cpu-ms/op")
}

// BenchmarkChange changes one namespace, from the bytes of its file to the edition in force.
func BenchmarkChange(b *testing.B) {
	files, _ := readLargeCharter(b)
	s := &State{}
	at := map[string]*File{}
	for _, f := range files {
		at[f.Namespace] = f
	}
	s.Editions, s.Binding = []*Edition{{1, 1, at, Merge(files, now, nil)}}, 1
	n := 0
	b.ReportAllocs()
	start := cpuTimeMs()
	for b.Loop() {
		n++
		was := *s
		if err := was.Apply(2, 1, newProposal(1, fileChange("team7.toml", teamFile(7, n%3+1))), nil); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric((cpuTimeMs()-start)/float64(b.N), "cpu-ms/op")
}

// BenchmarkLookup looks up the values for a request, with one and with two binding editions.
func BenchmarkLookup(b *testing.B) {
	files, _ := readLargeCharter(b)
	c := Merge(files, now, nil)
	for name, p := range map[string]*Snapshot{"alone": c.Snapshot(now), "joint": NewSnapshot(now, c, c)} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			var e Effective
			for b.Loop() {
				p.Lookup("t7-0", "s7", &e)
			}
			if e.Bound[LimitSlot(0, 0)] >= 1e8 {
				b.Fatal("no limit found")
			}
		})
	}
}

// Lookups on the request path do not allocate.
func TestNoAllocation(t *testing.T) {
	c := Merge([]*File{read(t, "r.toml", root), read(t, "a.toml", fileWithTenantLimit(3)),
		read(t, "b.toml", childFile("b", ""))}, now, nil)
	p := NewSnapshot(now, c, c)
	var e Effective
	if n := testing.AllocsPerRun(100, func() { p.Lookup("t1", "s1", &e) }); n != 0 || e.Bound[LimitSlot(0, 0)] != 3 {
		t.Errorf("%v allocations, %v", n, e.Bound[0])
	}
}
