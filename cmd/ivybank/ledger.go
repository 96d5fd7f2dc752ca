package main

// This file owns the command that lists the entries of a ledger of idempotency keys and says what each means. It must never
// write to one, nor take it from the proxy that has it.

import (
	"fmt"
	"io"
	"os"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"ivybank/keys/idempotency"
	"ivybank/keys/ledger"
)

func ledgerCommand() *cobra.Command {
	var key string
	c := &cobra.Command{Use: "ledger FILE", Short: "List the idempotency keys of a ledger and what each means; the file is only read",
		Args: cobra.ExactArgs(1), RunE: func(c *cobra.Command, args []string) error {
			text, err := os.ReadFile(args[0])
			if err != nil {
				return err
			}
			return listLedger(c.OutOrStdout(), args[0], text, key)
		}}
	c.Flags().StringVar(&key, "key", "", "only this key")
	return c
}

// meanings are what a repeat of a key would get.
var meanings = map[idempotency.State]string{
	idempotency.Open:   "may have been dispatched, no end recorded: a repeat at a proxy that starts now is told that it is unsure (409)",
	idempotency.Done:   "done: a repeat gets its answer",
	idempotency.Unsure: "aborted, it may have run: a repeat is told so (409) and not dispatched",
}

// listLedger prints what the records come to.
func listLedger(w io.Writer, path string, text []byte, only string) error {
	var order []idempotency.Key
	last := map[idempotency.Key]ledger.Record{}
	rep, _, err := ledger.Read(text, func(r ledger.Record) {
		if _, had := last[r.Entry.Key]; !had {
			order = append(order, r.Entry.Key)
		}
		last[r.Entry.Key] = r
	})
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "STATE\tSINCE\tTENANT\tRULE SET\tKEY\tANSWER\tMEANING")
	counts := map[string]int{}
	for _, k := range slices.Compact(order) {
		r := last[k]
		if only != "" && k.Name != only {
			continue
		}
		state, meaning, answer := r.Entry.State.String(), meanings[r.Entry.State], "-"
		switch {
		case r.Kind == ledger.Free:
			state, meaning = "free", "provably never ran: a repeat is dispatched"
		case r.Entry.State == idempotency.Done && !r.Entry.Response.Stored:
			meaning = "done, its answer was too large to keep: a repeat is told so (409)"
			fallthrough
		case r.Entry.State == idempotency.Done:
			answer = fmt.Sprintf("%d, %d bytes", r.Entry.Response.Status, len(r.Entry.Response.Body))
		}
		counts[state]++
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%q\t%s\t%s\n", state, time.Unix(0, r.Entry.At).UTC().Format("2006-01-02T15:04:05.000Z"),
			k.Tenant, k.RuleSet, k.Name, answer, meaning)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	fmt.Fprintf(w, "%d records: %d keys done, %d unsure, %d open, %d free\n", rep.Records, counts["done"], counts["unsure"], counts["open"], counts["free"])
	if rep.TornBytes > 0 {
		fmt.Fprintf(w, "the last %d bytes are no whole record: a write that was cut short, it was never acted on\n", rep.TornBytes)
	}
	if rep.DamagedAt >= 0 {
		fmt.Fprintf(w, "DAMAGED at byte %d: a proxy refuses keys that are not listed here until the file is taken away\n", rep.DamagedAt)
	}
	return nil
}
