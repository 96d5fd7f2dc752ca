// Package trace reads public cluster traces in CSV, row by row, into one row type. It owns the column layouts that it
// knows and what counts as a bad row. It must never hold a file, put rows into another order, or pass over a row without
// saying so.
package trace

import (
	"encoding/csv"
	"errors"
	"fmt"
	"io"
	"math"
	"slices"
	"strconv"
	"strings"
)

// Row is one row that stands for work that arrived.
type Row struct {
	Line   int
	At     int64 // nanoseconds from the trace's own start
	Work   int64 // nanoseconds of one core
	Kind   string
	Key    string
	Tenant string
}

// Problem is what is wrong with one row, which is left out for it.
type RowError struct {
	Line   int
	Reason string
}

func (p *RowError) Error() string { return fmt.Sprintf("line %d: %s", p.Line, p.Reason) }

// Layout says which columns mean what. Names count where the file has a header, else places from 0.
type Layout struct {
	Header          bool
	Columns         []string          // all of them, in order; with a header only those that must be there
	At              string            // arrival; End less Work where there is none
	End             string            // end, where the file tells that instead
	Work            string            // duration; End less At where there is none
	Kind            string            // what the rule set goes by
	Key             string            // what reqs are about
	Tenant          string            // who asks
	Filter          map[string]string // rows with other values in these columns are no arrivals, and are no problem
	UnitNanoseconds float64           // nanoseconds in a unit of time
	WorkScale       float64           // what a unit of Work is in units of time; 0: one
}

// Layouts are those known by name, after the published descriptions of each trace.
var Layouts = map[string]Layout{
	// Google cluster data 2011, task_events: microseconds, no header; event type 0 is a submission. Its request for cores
	// stands in for the work, which the table does not tell.
	"google-2011-task-events": {
		Columns: []string{"time", "missing_info", "job_id", "task_index", "machine_id", "event_type", "user",
			"scheduling_class", "priority", "cpu_request", "memory_request", "disk_space_request", "different_machines"},
		At: "time", Work: "cpu_request", Kind: "scheduling_class", Key: "job_id", Tenant: "user",
		Filter: map[string]string{"event_type": "0"}, UnitNanoseconds: 1e3, WorkScale: 1e6,
	},
	// Alibaba cluster trace 2018, batch_task: seconds, no header.
	"alibaba-2018-batch-task": {
		Columns: []string{"task_name", "instance_num", "job_name", "task_type", "status", "start_time", "end_time",
			"plan_cpu", "plan_mem"},
		At: "start_time", End: "end_time", Kind: "task_type", Key: "job_name", Tenant: "task_type",
		Filter: map[string]string{"status": "Terminated"}, UnitNanoseconds: 1e9,
	},
	// Azure Functions invocation trace 2021: seconds, with a header; it tells when an invocation ended.
	"azure-2021-invocations": {
		Header: true, Columns: []string{"app", "func", "end_timestamp", "duration"},
		End: "end_timestamp", Work: "duration", Kind: "func", Key: "func", Tenant: "app", UnitNanoseconds: 1e9,
	},
}

// Reader reads rows.
type Reader struct {
	csv         *csv.Reader
	layout      Layout
	columnIndex map[string]int // place of each column
	width       int
	lastArrival int64
	input       *lastByteReader
}

// tail remembers the last byte that was read: a file that does not end a line was cut.
type lastByteReader struct {
	io.Reader
	last byte
}

func (t *lastByteReader) Read(b []byte) (int, error) {
	n, err := t.Reader.Read(b)
	if n > 0 {
		t.last = b[n-1]
	}
	return n, err
}

// NewReader reads a header, if the layout has one. Names renames columns: what the layout calls them to what the file does.
func NewReader(r io.Reader, l Layout, names map[string]string) (*Reader, error) {
	t := &lastByteReader{Reader: r}
	x := &Reader{csv: csv.NewReader(t), layout: l, columnIndex: map[string]int{}, lastArrival: math.MinInt64, input: t}
	x.csv.FieldsPerRecord, x.csv.ReuseRecord = -1, true
	if l.UnitNanoseconds <= 0 {
		return nil, errors.New("no unit of time")
	}
	columns := slices.Clone(l.Columns)
	for i, c := range columns {
		if to, ok := names[c]; ok {
			columns[i] = to
		}
	}
	if !l.Header {
		for i, c := range l.Columns {
			x.columnIndex[c] = i
		}
		x.width = len(l.Columns)
		return x, nil
	}
	head, err := x.csv.Read()
	if err != nil {
		return nil, fmt.Errorf("line 1: no header: %w", err)
	}
	x.width = len(head)
	for i, c := range columns {
		n := slices.Index(head, c)
		if n < 0 {
			return nil, fmt.Errorf("line 1: no column %q", c)
		}
		x.columnIndex[l.Columns[i]] = n
	}
	return x, nil
}

// Next gives the next arrival. A *Problem leaves one row out and reading may go on; io.EOF is the end.
func (r *Reader) Next() (Row, error) {
	for {
		record, err := r.csv.Read()
		if err == io.EOF {
			return Row{}, io.EOF
		}
		var bad *csv.ParseError
		if errors.As(err, &bad) {
			return Row{}, &RowError{bad.StartLine, bad.Err.Error()}
		}
		if err != nil {
			return Row{}, err
		}
		line, _ := r.csv.FieldPos(0)
		row, skip, err := r.row(line, record)
		if skip {
			continue
		}
		return row, err
	}
}

func (r *Reader) row(line int, record []string) (row Row, skip bool, err error) {
	wrong := func(format string, a ...any) (Row, bool, error) {
		return Row{}, false, &RowError{line, fmt.Sprintf(format, a...)}
	}
	if len(record) != r.width {
		what := "missing columns, or a line that was cut"
		if len(record) > r.width {
			what = "too many columns"
		}
		return wrong("%s: %d of %d", what, len(record), r.width)
	}
	l := r.layout
	value := func(column string) string {
		if column == "" {
			return ""
		}
		return strings.TrimSpace(record[r.columnIndex[column]])
	}
	for column, only := range l.Filter {
		if value(column) != only {
			return Row{}, true, nil
		}
	}
	number := func(column string) (float64, error) {
		text := value(column)
		n, err := strconv.ParseFloat(text, 64)
		if err != nil || math.IsNaN(n) || math.IsInf(n, 0) {
			return 0, &RowError{line, fmt.Sprintf("%s=%q is no number", column, text)}
		}
		return n, nil
	}
	var at, end, work float64
	for _, x := range []struct {
		column string
		to     *float64
	}{{l.At, &at}, {l.End, &end}, {l.Work, &work}} {
		if x.column == "" {
			continue
		}
		if *x.to, err = number(x.column); err != nil {
			return Row{}, false, err
		}
	}
	if l.WorkScale > 0 {
		work *= l.WorkScale
	}
	switch {
	case l.At == "":
		at = end - work
	case l.Work == "":
		work = end - at
	}
	if at < 0 || work < 0 || at*l.UnitNanoseconds > math.MaxInt64/4 || work*l.UnitNanoseconds > math.MaxInt64/4 {
		return wrong("times out of range: arrival %g, work %g", at, work)
	}
	row = Row{line, int64(math.Round(at * l.UnitNanoseconds)), int64(math.Round(work * l.UnitNanoseconds)), value(l.Kind), value(l.Key), value(l.Tenant)}
	if row.At < r.lastArrival {
		return wrong("out of time order: %.6f s after %.6f s", float64(row.At)/1e9, float64(r.lastArrival)/1e9)
	}
	r.lastArrival = row.At
	return row, false, nil
}

// Cut says, after the end, whether the last line was not ended.
func (r *Reader) Truncated() bool { return r.input.last != 0 && r.input.last != '\n' }
