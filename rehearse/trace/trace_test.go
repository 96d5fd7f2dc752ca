package trace

import (
	"errors"
	"io"
	"strings"
	"testing"
)

// readAll reads a trace to its end and gives its rows and the errors of bad rows.
func readAll(t *testing.T, layout, text string, names map[string]string) (rows []Row, problems []string, truncated bool) {
	t.Helper()
	r, err := NewReader(strings.NewReader(text), Layouts[layout], names)
	if err != nil {
		t.Fatal(err)
	}
	for {
		row, err := r.Next()
		var bad *RowError
		switch {
		case err == io.EOF:
			return rows, problems, r.Truncated()
		case errors.As(err, &bad):
			problems = append(problems, bad.Error())
		case err != nil:
			t.Fatal(err)
		default:
			rows = append(rows, row)
		}
	}
}

func TestLayouts(t *testing.T) {
	for layout, c := range map[string]struct {
		text string
		want Row
	}{
		"google-2011-task-events": {"5000000,,3418309,0,4155527081,0,bob,3,9,0.125,0.07,0.0004,0\n6000000,,3418309,0,1,1,bob,3,9,0.1,0.1,0,0\n",
			Row{1, 5e9, 125e6, "3", "3418309", "bob"}},
		"alibaba-2018-batch-task": {"M1,1,j_1,A,Terminated,86400,86403,100,0.3\nM2,1,j_1,A,Failed,1,2,100,0.3\n",
			Row{1, 86400e9, 3e9, "A", "j_1", "A"}},
		"azure-2021-invocations": {"app,func,end_timestamp,duration\na,f,10.5,0.5\n", Row{2, 10e9, 5e8, "f", "f", "a"}},
	} {
		t.Run(layout, func(t *testing.T) {
			rows, problems, truncated := readAll(t, layout, c.text, nil)
			if len(rows) != 1 || rows[0] != c.want || len(problems) > 0 || truncated {
				t.Errorf("got %+v, %v, truncated %v, want %+v", rows, problems, truncated, c.want)
			}
		})
	}
}

// Each bad row is reported with its line number, and the rows around it are read.
func TestBadRows(t *testing.T) {
	head := "app,func,end_timestamp,duration\n"
	good := "a,f,10,1\n"
	for name, c := range map[string]struct {
		text, want string
		rows       int
		truncated  bool
	}{
		"not a number":              {head + good + "a,f,soon,1\n" + good, `line 3: end_timestamp="soon" is no number`, 2, false},
		"infinite":                  {head + "a,f,inf,1\n" + good, `line 2: end_timestamp="inf" is no number`, 1, false},
		"missing column":            {head + "a,f,10\n" + good, "line 2: missing columns, or a truncated line: 3 of 4", 1, false},
		"extra column":              {head + "a,f,10,1,x\n" + good, "line 2: too many columns: 5 of 4", 1, false},
		"out of order":              {head + "a,f,20,1\n" + good + "a,f,30,1\n", "line 3: out of time order: 9.000000 s after 19.000000 s", 2, false},
		"before the start":          {head + "a,f,1,2\n", "line 2: times out of range: arrival -1, work 2", 0, false},
		"quoted newline":            {head + "\"a\nb\",f,10,1\na,f,x,1\n", `line 4: end_timestamp="x" is no number`, 1, false},
		"a stray quote":             {head + "a,\"f\"x,10,1\n" + good, "line 2: extraneous or missing \" in quoted-field", 1, false},
		"truncated within a quote":  {head + good + "a,\"f", "line 3: extraneous or missing \" in quoted-field", 1, true},
		"truncated within a number": {head + good + "a,f,10", "line 3: missing columns, or a truncated line: 3 of 4", 1, true},
	} {
		t.Run(name, func(t *testing.T) {
			rows, problems, truncated := readAll(t, "azure-2021-invocations", c.text, nil)
			if len(rows) != c.rows || len(problems) != 1 || problems[0] != c.want || truncated != c.truncated {
				t.Errorf("got %d rows, %q, truncated %v, want %d, %q, %v", len(rows), problems, truncated, c.rows, c.want, c.truncated)
			}
		})
	}
}

func TestHeader(t *testing.T) {
	rows, _, _ := readAll(t, "azure-2021-invocations", "duration,x,when,func,app\n1,,10,f,a\n", map[string]string{"end_timestamp": "when"})
	if len(rows) != 1 || rows[0].At != 9e9 || rows[0].Tenant != "a" {
		t.Errorf("got %+v, want columns found by name", rows)
	}
	for name, text := range map[string]string{"renamed": "app,func,end,duration\n", "empty": ""} {
		if _, err := NewReader(strings.NewReader(text), Layouts["azure-2021-invocations"], nil); err == nil || !strings.HasPrefix(err.Error(), "line 1: no ") {
			t.Errorf("%s: got %v, want an error for line 1", name, err)
		}
	}
}
