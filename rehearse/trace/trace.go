// Package trace reads public cluster traces in CSV, row by row, into one row type. It defines the known column layouts
// and what counts as a bad row. It never keeps a whole file in memory, reorders rows, or drops a bad row without an
// error.
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

// Row is one row of a trace, which describes the arrival of work.
type Row struct {
	Line   int
	At     int64 // nanoseconds since the start of the trace
	Work   int64 // core time in nanoseconds
	Kind   string
	Key    string
	Tenant string
}

// RowError is the error of one bad row, which is skipped.
type RowError struct {
	Line   int
	Reason string
}

func (p *RowError) Error() string { return fmt.Sprintf("line %d: %s", p.Line, p.Reason) }

// Layout assigns meanings to the columns of a file. Columns are found by name if the file has a header, else by position,
// counted from 0.
type Layout struct {
	Header          bool
	Columns         []string          // all columns in order; with a header only the required ones
	At              string            // arrival; if empty, it is End minus Work
	End             string            // end, for files that have it instead of one of the others
	Work            string            // duration; if empty, it is End minus At
	Kind            string            // what a rule set is chosen by
	Key             string            // the key that requests concern
	Tenant          string            // who sends the request
	Filter          map[string]string // rows with other values in these columns are skipped without an error
	UnitNanoseconds float64           // length of the file's unit of time, in nanoseconds
	WorkScale       float64           // factor from the unit of Work to the unit of time; 0: the same
}

// Layouts are the known layouts by name, from the published description of each trace.
var Layouts = map[string]Layout{
	// Google cluster data 2011, task_events: microseconds, no header; event type 0 is a submission. The requested cores are
	// used as the work, which the table doesn't contain.
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
	// Azure Functions invocation trace 2021: seconds, with a header; it contains the end of each invocation.
	"azure-2021-invocations": {
		Header: true, Columns: []string{"app", "func", "end_timestamp", "duration"},
		End: "end_timestamp", Work: "duration", Kind: "func", Key: "func", Tenant: "app", UnitNanoseconds: 1e9,
	},
}

// Reader reads the rows of a trace.
type Reader struct {
	csv         *csv.Reader
	layout      Layout
	columnIndex map[string]int // position of each column by name
	width       int
	lastArrival int64
	input       *lastByteReader
}

// lastByteReader keeps the last byte that was read: a file whose last line has no end was truncated.
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

// NewReader reads the header, if the layout has one. Names maps column names of the layout to those of the file.
func NewReader(r io.Reader, l Layout, names map[string]string) (*Reader, error) {
	input := &lastByteReader{Reader: r}
	x := &Reader{csv: csv.NewReader(input), layout: l, columnIndex: map[string]int{}, lastArrival: math.MinInt64, input: input}
	x.csv.FieldsPerRecord, x.csv.ReuseRecord = -1, true
	if l.UnitNanoseconds <= 0 {
		return nil, errors.New("layout has no unit of time")
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

// Next gives the next arrival. After a *RowError, which skips one row, reading can go on; io.EOF is the end.
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
	bad := func(format string, a ...any) (Row, bool, error) {
		return Row{}, false, &RowError{line, fmt.Sprintf(format, a...)}
	}
	if len(record) != r.width {
		reason := "missing columns, or a truncated line"
		if len(record) > r.width {
			reason = "too many columns"
		}
		return bad("%s: %d of %d", reason, len(record), r.width)
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
		return bad("times out of range: arrival %g, work %g", at, work)
	}
	row = Row{line, int64(math.Round(at * l.UnitNanoseconds)), int64(math.Round(work * l.UnitNanoseconds)), value(l.Kind), value(l.Key), value(l.Tenant)}
	if row.At < r.lastArrival {
		return bad("out of time order: %.6f s after %.6f s", float64(row.At)/1e9, float64(r.lastArrival)/1e9)
	}
	r.lastArrival = row.At
	return row, false, nil
}

// Truncated says, after the end of the file, whether its last line has no end.
func (r *Reader) Truncated() bool { return r.input.last != 0 && r.input.last != '\n' }
