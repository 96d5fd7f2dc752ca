package lab

// This file holds the reports of an experiment: tables and a chart, each with the commit, the seeds and the experiment
// that it is from. A report must never leave a run out, nor include an unusable run in an average.

import (
	"encoding/csv"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"os"
	"path/filepath"
	"slices"
	"strconv"

	"github.com/wcharczuk/go-chart/v2"
	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// Result holds an experiment's runs and what they are of.
type Result struct {
	Experiment string
	About      string
	Mode       string
	Commit     string
	Variants   []string
	Runs       []*Figures
	Faults     []Span // the fault schedule, marked in the chart
}

// Span is the time of a fault, in seconds from the start of the load.
type Span struct {
	Kind     string
	From, To float64
}

// NewResult returns the result of an experiment's runs.
func NewResult(e *Experiment, commit string, runs []*Figures) *Result {
	r := &Result{Experiment: e.Name, About: e.About, Mode: e.Mode, Commit: commit, Runs: runs}
	for _, v := range e.Variants {
		r.Variants = append(r.Variants, v.Name)
	}
	for _, x := range e.Faults {
		r.Faults = append(r.Faults, Span{x.Kind, float64(x.At) / 1e9, float64(x.At+x.For) / 1e9})
	}
	return r
}

// Summary is the summary of one variant over all seeds.
type Summary struct {
	Variant                           string
	Runs, Unusable                    int
	Median, Low, High, Mean, From, To float64 // of service; From to To is the 95% confidence interval of the mean
	P50, P90, P99, Denied, Aborted    float64 // medians
	Breaches                          [5]int
	Best, Inverted, Recovered         float64 // medians
	Micro                             float64 // microseconds of processor time per client attempt
	PerAsk, Further                   float64 // dispatches per request, and dispatches beyond the first per dispatched attempt
	Crashes                           int
	Return                            *ReturnSummary // nil: no proxy was killed
}

// ReturnSummary summarises mass restarts over all seeds. Full is in seconds from the kill.
type ReturnSummary struct {
	Before, After                            float64 // medians
	Full, FullWorst                          float64 // of the fleet
	EachMedian, EachWorst                    float64 // of single proxies
	Never                                    int     // proxies, over all runs, whose service did not recover
	Discovery, DiscoveryCalm, Conns, ConCalm float64 // highest value of any run
}

// summarizeReturns summarises the mass restarts of several runs; nil if there are none.
func summarizeReturns(runs []*Return) *ReturnSummary {
	if len(runs) == 0 {
		return nil
	}
	s := &ReturnSummary{}
	var before, after, full, each []float64
	never := func(x float64) float64 {
		if x < 0 {
			return math.Inf(1)
		}
		return x
	}
	for _, r := range runs {
		before, after, full = append(before, r.Before), append(after, r.After), append(full, never(r.Full))
		for _, x := range r.Each {
			if each = append(each, never(x)); x < 0 {
				s.Never++
			}
		}
		s.Discovery, s.DiscoveryCalm = max(s.Discovery, r.Discovery), max(s.DiscoveryCalm, r.DiscoveryCalm)
		s.Conns, s.ConCalm = max(s.Conns, r.Conns), max(s.ConCalm, r.ConnsCalm)
	}
	s.Before, s.After, s.Full, s.FullWorst = median(before), median(after), median(full), slices.Max(full)
	if len(each) > 0 {
		s.EachMedian, s.EachWorst = median(each), slices.Max(each)
	}
	return s
}

// Summaries returns the summary of each variant.
func (r *Result) Summaries() (all []Summary) {
	for _, v := range r.Variants {
		s := Summary{Variant: v}
		var service, p50, p90, p99, denied, aborted, best, inverted, recovered, perAsk, further, micro []float64
		var back []*Return
		for _, f := range r.Runs {
			if f.Variant != v {
				continue
			}
			s.Runs++
			s.Crashes += f.Crashes
			for i, n := range f.Breaches {
				s.Breaches[i] += n
			}
			if f.Unusable != "" {
				s.Unusable++
				continue
			}
			service, p50, p90, p99 = append(service, f.Service), append(p50, f.P50), append(p90, f.P90), append(p99, f.P99)
			asks := float64(max(1, f.Asks))
			best, inverted, recovered = append(best, f.Best), append(inverted, f.Inverted), append(recovered, f.Recovered)
			if f.Return != nil {
				back = append(back, f.Return)
			}
			micro = append(micro, f.Processor*1e6/max(1, asks*f.Tries))
			perAsk = append(perAsk, float64(f.Sends)/asks)
			further = append(further, float64(f.Sends)/float64(max(1, f.Dispatched))-1)
			denied, aborted = append(denied, float64(f.Denied)/asks), append(aborted, float64(f.Aborted)/asks)
		}
		if n := len(service); n > 0 {
			s.Median, s.Low, s.High = median(service), slices.Min(service), slices.Max(service)
			s.Mean, s.From, s.To = interval(service)
			s.P50, s.P90, s.P99, s.Denied, s.Aborted = median(p50), median(p90), median(p99), median(denied), median(aborted)
			s.Best, s.Inverted, s.Recovered = median(best), median(inverted), median(recovered)
			s.Micro = median(micro)
			s.PerAsk, s.Further = median(perAsk), median(further)
		}
		s.Return = summarizeReturns(back)
		all = append(all, s)
	}
	return all
}

func median(x []float64) float64 {
	x = slices.Sorted(slices.Values(x))
	return (x[(len(x)-1)/2] + x[len(x)/2]) / 2
}

// interval returns the mean and its 95% confidence interval by Student's t; the interval is infinite for a single run.
func interval(x []float64) (mean, from, to float64) {
	mean = stat.Mean(x, nil)
	if len(x) < 2 {
		return mean, math.Inf(-1), math.Inf(1)
	}
	t := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: float64(len(x) - 1)}.Quantile(0.975)
	half := t * stat.StdDev(x, nil) / math.Sqrt(float64(len(x)))
	return mean, mean - half, mean + half
}

func formatNumber(x float64) string {
	if math.IsInf(x, 0) {
		return ""
	}
	return strconv.FormatFloat(x, 'f', 4, 64)
}

// Write writes a result to a folder as runs.csv, summary.csv, service.svg and result.json.
func (r *Result) Write(folder string) error {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return err
	}
	text, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return err
	}
	for name, write := range map[string]func(io.Writer) error{
		"runs.csv": r.runs, "summary.csv": r.summary, "service.svg": r.chart,
		"result.json": func(w io.Writer) error { _, err := w.Write(append(text, '\n')); return err },
	} {
		f, err := os.Create(filepath.Join(folder, name))
		if err != nil {
			return err
		}
		if err := write(f); err != nil {
			_ = f.Close()
			return fmt.Errorf("%s: %w", name, err)
		}
		if err := f.Close(); err != nil {
			return err
		}
	}
	return nil
}

// ReadResult reads a result that Write has written.
func ReadResult(folder string) (*Result, error) {
	text, err := os.ReadFile(filepath.Join(folder, "result.json"))
	if err != nil {
		return nil, err
	}
	r := &Result{}
	if err := json.Unmarshal(text, r); err != nil {
		return nil, fmt.Errorf("%s: %w", folder, err)
	}
	return r, nil
}

func table(w io.Writer, rows [][]string) error {
	c := csv.NewWriter(w)
	if err := c.WriteAll(rows); err != nil {
		return err
	}
	return c.Error()
}

func (r *Result) runs(w io.Writer) error {
	rows := [][]string{{"experiment", "mode", "commit", "seed", "variant", "asks", "done", "denied", "aborted", "unanswered", "service",
		"p50_ms", "p90_ms", "p99_ms", "tries", "executions", "breaches_1", "breaches_2", "breaches_3", "breaches_4", "cold_strain",
		"decisions", "late_ms", "bad_rows", "best", "inverted", "recovered_s", "sends", "dispatched", "probes_most", "datagrams_most", "bytes_most", "crashes", "unusable",
		"before_kill", "after_kill", "full_s", "full_each_s", "full_each_worst_s", "discovery_calls_most", "conns_most", "conns_calm",
		"worked_on", "worked_twice", "out_most", "plan_s", "worst_5_s"}}
	for _, f := range r.Runs {
		rows = append(rows, []string{r.Experiment, r.Mode, r.Commit, strconv.FormatUint(f.Seed, 10), f.Variant, strconv.Itoa(f.Asks),
			strconv.Itoa(f.Done), strconv.Itoa(f.Denied), strconv.Itoa(f.Aborted), strconv.Itoa(f.Unanswered), formatNumber(f.Service), formatNumber(f.P50),
			formatNumber(f.P90), formatNumber(f.P99), formatNumber(f.Tries), strconv.Itoa(f.Begun), strconv.Itoa(f.Breaches[1]), strconv.Itoa(f.Breaches[2]),
			strconv.Itoa(f.Breaches[3]), strconv.Itoa(f.Breaches[4]), formatNumber(f.Strain), f.Hash, formatNumber(f.Late), strconv.Itoa(f.Problems),
			formatNumber(f.Best), formatNumber(f.Inverted), formatNumber(f.Recovered), strconv.Itoa(f.Sends), strconv.Itoa(f.Dispatched), strconv.Itoa(f.probesMost()),
			strconv.Itoa(f.peersMost(func(c PeerCount) int { return c.Datagrams })), strconv.Itoa(f.peersMost(func(c PeerCount) int { return c.Bytes })),
			strconv.Itoa(f.Crashes), f.Unusable})
		if x := f.Return; x != nil {
			one := summarizeReturns([]*Return{x})
			for _, y := range []float64{x.Before, x.After, x.Full, one.EachMedian, one.EachWorst, x.Discovery, x.Conns, x.ConnsCalm} {
				rows[len(rows)-1] = append(rows[len(rows)-1], formatNumber(y))
			}
		} else {
			rows[len(rows)-1] = append(rows[len(rows)-1], make([]string, 8)...)
		}
		if x := f.Plan; x != nil {
			rows[len(rows)-1] = append(rows[len(rows)-1], strconv.Itoa(x.Servers), strconv.Itoa(x.Twice), strconv.Itoa(x.Most), formatNumber(x.Took), formatNumber(f.Worst))
		} else {
			rows[len(rows)-1] = append(rows[len(rows)-1], "", "", "", "", formatNumber(f.Worst))
		}
	}
	return table(w, rows)
}

// probesMost returns the number of probes at the server that received the most.
func (f *Figures) probesMost() (most int) {
	for _, n := range f.Probes {
		most = max(most, n)
	}
	return most
}

// peersMost returns the highest value of a count over all proxies.
func (f *Figures) peersMost(of func(PeerCount) int) (most int) {
	for _, c := range f.Peers {
		most = max(most, of(c))
	}
	return most
}

func (r *Result) summary(w io.Writer) error {
	rows := [][]string{{"experiment", "mode", "commit", "variant", "runs", "unusable", "service_median", "service_low", "service_high",
		"service_mean", "mean_from_95", "mean_to_95", "p50_ms", "p90_ms", "p99_ms", "denied", "aborted",
		"best", "inverted", "recovered_s", "dispatches_per_ask", "further", "crashes", "breaches_1", "breaches_2", "breaches_3", "breaches_4"}}
	for _, s := range r.Summaries() {
		row := []string{r.Experiment, r.Mode, r.Commit, s.Variant, strconv.Itoa(s.Runs), strconv.Itoa(s.Unusable)}
		for _, x := range []float64{s.Median, s.Low, s.High, s.Mean, s.From, s.To, s.P50, s.P90, s.P99, s.Denied, s.Aborted, s.Best, s.Inverted, s.Recovered, s.PerAsk, s.Further} {
			row = append(row, formatNumber(x))
		}
		row = append(row, strconv.Itoa(s.Crashes))
		for _, n := range s.Breaches[1:] {
			row = append(row, strconv.Itoa(n))
		}
		rows = append(rows, row)
	}
	return table(w, rows)
}

// chart draws service second by second, each variant's median over the seeds.
func (r *Result) chart(w io.Writer) error {
	c := chart.Chart{Title: fmt.Sprintf("%s (%s, %s)", r.Experiment, r.Mode, r.Commit), Width: 960, Height: 420,
		Background: chart.Style{Padding: chart.Box{Top: 50, Left: 20, Right: 20, Bottom: 20}},
		XAxis:      chart.XAxis{Name: "seconds"},
		YAxis:      chart.YAxis{Name: "service", Range: &chart.ContinuousRange{Min: 0, Max: 1.02}}}
	for _, v := range r.Variants {
		var x, y []float64
		for second := 0; ; second++ {
			var at []float64
			for _, f := range r.Runs {
				if f.Variant == v && f.Unusable == "" && second < len(f.Line) {
					at = append(at, f.Line[second])
				}
			}
			if len(at) == 0 {
				break
			}
			x, y = append(x, float64(second)), append(y, median(at))
		}
		if len(x) < 2 {
			continue
		}
		c.Series = append(c.Series, chart.ContinuousSeries{Name: v, XValues: x, YValues: y, Style: chart.Style{StrokeWidth: 2}})
	}
	if len(c.Series) > 0 {
		c.Series = append(c.Series, r.marks()...)
	}
	if len(c.Series) == 0 {
		_, err := io.WriteString(w, "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"400\" height=\"40\"><text x=\"10\" y=\"25\">no usable run</text></svg>\n")
		return err
	}
	c.Elements = []chart.Renderable{chart.LegendThin(&c)}
	return c.Render(chart.SVG, w)
}

// marks draws each fault as a bar along the foot of the chart, the first lowest.
func (r *Result) marks() (all []chart.Series) {
	for i, x := range r.Faults {
		y := 0.02 + 0.03*float64(i)
		bar := chart.ContinuousSeries{Name: "fault: " + x.Kind, XValues: []float64{x.From, max(x.To, x.From+0.2)}, YValues: []float64{y, y},
			Style: chart.Style{StrokeWidth: 4, StrokeColor: chart.ColorAlternateGray}}
		note := chart.AnnotationSeries{Annotations: []chart.Value2{{XValue: x.From, YValue: y, Label: x.Kind}}}
		all = append(all, bar, note)
	}
	return all
}

// Table prints the summary as text.
func (r *Result) Table(w io.Writer) {
	fmt.Fprintf(w, "%s (%s, commit %s)\n", r.Experiment, r.Mode, r.Commit)
	fmt.Fprintf(w, "%-14s %5s  %-7s %-17s %-17s %8s %8s  %7s %8s  %s\n", "variant", "runs", "service", "spread", "mean, 95%", "p50 ms", "p99 ms",
		"denied", "aborted", "breaches of rule 1 2 3 4")
	for _, s := range r.Summaries() {
		between := fmt.Sprintf("%.3f to %.3f", s.From, s.To)
		if math.IsInf(s.From, 0) {
			between = "one run"
		}
		fmt.Fprintf(w, "%-14s %5d  %-7.3f %-17s %-17s %8.0f %8.0f  %6.1f%% %7.1f%%  %v", s.Variant, s.Runs, s.Median,
			fmt.Sprintf("%.3f to %.3f", s.Low, s.High), between, s.P50, s.P99, 100*s.Denied, 100*s.Aborted, s.Breaches[1:])
		if s.Unusable > 0 {
			fmt.Fprintf(w, "  %d runs unusable", s.Unusable)
		}
		fmt.Fprintln(w)
	}
	r.returnTable(w)
	r.limitTable(w)
	if r.Mode != "processes" {
		return
	}
	fmt.Fprintf(w, "%-14s %7s %9s %12s %8s %8s %9s %9s\n", "", "best", "inverted", "recovered s", "per ask", "further", "crashes", "us a try")
	for _, s := range r.Summaries() {
		fmt.Fprintf(w, "%-14s %7.3f %8.1f%% %12.2f %8.3f %8.3f %9d %9.0f\n", s.Variant, s.Best, 100*s.Inverted, s.Recovered, s.PerAsk, s.Further, s.Crashes, s.Micro)
	}
}

// returnTable prints the figures of mass restarts, if there were any.
func (r *Result) returnTable(w io.Writer) {
	for i, s := range r.Summaries() {
		x := s.Return
		if x == nil {
			return
		}
		if i == 0 {
			fmt.Fprintf(w, "%-14s %7s %7s %7s %7s %9s %9s %6s %16s %16s\n", "", "before", "10 s", "full s", "worst", "each med", "worst", "never", "lists a s (calm)", "conns a s (calm)")
		}
		fmt.Fprintf(w, "%-14s %7.3f %7.3f %7.2f %7.2f %9.2f %9.2f %6d %9.0f (%4.0f) %9.0f (%4.0f)\n", s.Variant, x.Before, x.After, x.Full, x.FullWorst, x.EachMedian, x.EachWorst,
			x.Never, x.Discovery, x.DiscoveryCalm, x.Conns, x.ConCalm)
	}
}
