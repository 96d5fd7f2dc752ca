package lab

// This file holds the generator of synthetic traces: files in the public layouts, for tests and experiments where no
// real trace is available. They say nothing about any real cluster.

import (
	"bufio"
	"fmt"
	"io"
	"math"
	"slices"

	"ivybank/internal/rng"
)

// MadeLayouts lists the layouts that MakeTrace can write.
var MadeLayouts = []string{"alibaba-2018-batch-task", "azure-2021-invocations", "google-2011-task-events"}

// MakeTrace writes a trace with the given number of rows, drawn by seed. The rate, in arrivals per second, varies with
// a period of a minute, and the work has a long-tailed distribution.
func MakeTrace(to io.Writer, layout string, rows int, rate float64, seed uint64) error {
	if !slices.Contains(MadeLayouts, layout) {
		return fmt.Errorf("layout %q: expected one of %v", layout, MadeLayouts)
	}
	if rows <= 0 || rate <= 0 {
		return fmt.Errorf("rows %d, rate %g: expected numbers above 0", rows, rate)
	}
	w := bufio.NewWriter(to)
	random := rng.Source{Seed: seed}
	if layout == "azure-2021-invocations" {
		fmt.Fprintln(w, "app,func,end_timestamp,duration")
	}
	at := 600.0
	for range rows {
		at += -math.Log(random.Next()) / (rate * (1 + 0.5*math.Sin(at/60*2*math.Pi)))
		work := 0.02 * math.Exp(0.8*math.Sqrt(-2*math.Log(random.Next()))*math.Cos(2*math.Pi*random.Next()))
		key, tenant := int(math.Pow(random.Next(), 2)*500), int(random.Next()*5)
		at, work = math.Round(at*1e6)/1e6, math.Round(work*1e6)/1e6
		switch layout {
		case "azure-2021-invocations":
			// The rows are in order of arrival, which is what the reader expects; their end times are in no order.
			fmt.Fprintf(w, "app%d,func%d,%.6f,%.6f\n", tenant, key, at+work, work)
		case "alibaba-2018-batch-task":
			fmt.Fprintf(w, "M1,1,j_%d,%d,Terminated,%.0f,%.0f,100,0.3\n", key, tenant, math.Floor(at), math.Floor(at)+math.Ceil(work))
		default:
			fmt.Fprintf(w, "%.0f,,%d,0,%d,0,user%d,%d,9,%.4f,0.01,0.0001,0\n", at*1e6, key, key%40, tenant, tenant%4, work)
			if random.Next() < 0.3 { // a schedule event, which is not an arrival
				fmt.Fprintf(w, "%.0f,,%d,0,%d,1,user%d,%d,9,%.4f,0.01,0.0001,0\n", at*1e6, key, key%40, tenant, tenant%4, work)
			}
		}
	}
	return w.Flush()
}
