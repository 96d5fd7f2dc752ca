package charter

import (
	"fmt"
	"runtime"
	"strings"
	"syscall"
	"testing"
)

const (
	teams   = 500
	perTeam = 40
)

// large writes the files of 500 teams with 40 rules each: 20,000. Each team has three tenants and a rule set,
// lives below one of 20 divisions, and uses a rule set of its neighbour by grant.
func large() (texts map[string]string) {
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
		texts[fmt.Sprint("team", i)] = team(i, 0)
	}
	return texts
}

func team(i, more int) string {
	var b strings.Builder
	fmt.Fprintf(&b, "format = \"ivybank/fleet/charter/1\"\nnamespace = \"team%d\"\nteam = \"t\"\nparent = "+
		"\"division%d\"\n", i, i%20)
	fmt.Fprintf(&b, "[claims]\ntenants = [\"t%d-0\", \"t%d-1\", \"t%d-2\"]\nrulesets = [\"s%d\"]\n", i, i, i, i)
	fmt.Fprintf(&b, "[[grant]]\nid = \"g\"\nto = \"team%d\"\nrulesets = [\"s%d\"]\n", (i+1)%teams, i)
	for k := range perTeam {
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

func parsed(tb testing.TB) (files []*File, texts map[string]string) {
	texts = large()
	for name, text := range texts {
		f, err := Read(name+".toml", []byte(text))
		if err != nil {
			tb.Fatal(err)
		}
		files = append(files, f)
	}
	return files, texts
}

// spent is the processor time that this process has taken, ms: on a machine that others use the clock on the
// wall says little.
func spent() float64 {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return float64(u.Utime.Nano()+u.Stime.Nano()) / 1e6
}

// The whole charter, from the files' bytes. MB is all that the process has taken from the system: files,
// charter, picture and garbage.
func BenchmarkWhole(b *testing.B) {
	texts := large()
	b.ReportAllocs()
	began := spent()
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
		if c.Picture(now); len(c.Refused()) != 0 {
			b.Fatal(c.Refused()[:1])
		}
	}
	b.ReportMetric((spent()-began)/float64(b.N), "cpu-ms/op")
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	b.ReportMetric(float64(m.Sys)/1e6, "MB")
}

// The merge alone, of files that are read.
func BenchmarkMerge(b *testing.B) {
	files, _ := parsed(b)
	b.ReportAllocs()
	began := spent()
	for b.Loop() {
		Merge(files, now, nil)
	}
	b.ReportMetric((spent()-began)/float64(b.N), "cpu-ms/op")
}

// One namespace changed, from its bytes to the edition in force.
func BenchmarkChanged(b *testing.B) {
	files, _ := parsed(b)
	s := &State{}
	at := map[string]*File{}
	for _, f := range files {
		at[f.Namespace] = f
	}
	s.Editions, s.Binding = []*Edition{{1, 1, at, Merge(files, now, nil)}}, 1
	n := 0
	b.ReportAllocs()
	began := spent()
	for b.Loop() {
		n++
		was := *s
		if err := was.Apply(2, 1, propose(1, change("team7.toml", team(7, n%3+1))), nil); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric((spent()-began)/float64(b.N), "cpu-ms/op")
}

func BenchmarkDecision(b *testing.B) {
	files, _ := parsed(b)
	c := Merge(files, now, nil)
	for name, p := range map[string]*Picture{"alone": c.Picture(now), "joint": Draw(now, c, c)} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			var e Effective
			for b.Loop() {
				p.Of("t7-0", "s7", &e)
			}
			if e.Bound[Limit(0, 0)] >= 1e8 {
				b.Fatal("no limit found")
			}
		})
	}
}

// What the req path reads costs no allocation.
func TestNoAllocation(t *testing.T) {
	c := Merge([]*File{read(t, "r.toml", root), read(t, "a.toml", tenantLimit(3)), read(t, "b.toml", child("b",
		""))}, now, nil)
	p := Draw(now, c, c)
	var e Effective
	if n := testing.AllocsPerRun(100, func() { p.Of("t1", "s1", &e) }); n != 0 || e.Bound[Limit(0, 0)] != 3 {
		t.Errorf("%v allocations, %v", n, e.Bound[0])
	}
}
