package main

// This file holds the command that lists the entries of a ledger of idempotency keys and explains each. It must not
// write to a ledger, nor lock one that a proxy may be using.

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
	var onlyKey string
	c := &cobra.Command{Use: "ledger FILE",
		Short: "List the idempotency keys of a ledger and explain each; the file is only read",
		Args:  cobra.ExactArgs(1), RunE: func(c *cobra.Command, args []string) error {
			text, err := os.ReadFile(args[0])
			if err != nil {
				return err
			}
			return listLedger(c.OutOrStdout(), args[0], text, onlyKey)
		}}
	c.Flags().StringVar(&onlyKey, "key", "", "list only this key")
	return c
}

// meanings explains what a request with a key of each state would get.
var meanings = map[idempotency.State]string{
	idempotency.Open:   "may have been dispatched, no end recorded: a repeat at a proxy that starts now gets 409 unsure",
	idempotency.Done:   "done: a repeat gets the stored response",
	idempotency.Unsure: "aborted, may have been executed: a repeat gets 409 and is not dispatched",
}

// listLedger prints the state of each key after the last of its records. If onlyKey is not empty, other keys are left
// out.
func listLedger(w io.Writer, path string, text []byte, onlyKey string) error {
	var order []idempotency.Key
	last := map[idempotency.Key]ledger.Record{}
	rep, _, err := ledger.Read(text, func(r ledger.Record) {
		if _, known := last[r.Entry.Key]; !known {
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
		if onlyKey != "" && k.Name != onlyKey {
			continue
		}
		state, meaning, response := r.Entry.State.String(), meanings[r.Entry.State], "-"
		switch {
		case r.Kind == ledger.Free:
			state, meaning = "free", "provably not executed: a repeat is dispatched"
		case r.Entry.State == idempotency.Done && !r.Entry.Response.Stored:
			meaning = "done, its response was too large to store: a repeat gets 409"
			fallthrough
		case r.Entry.State == idempotency.Done:
			response = fmt.Sprintf("%d, %d bytes", r.Entry.Response.Status, len(r.Entry.Response.Body))
		}
		counts[state]++
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%q\t%s\t%s\n", state, time.Unix(0, r.Entry.At).UTC().Format("2006-01-02T15:04:05.000Z"),
			k.Tenant, k.RuleSet, k.Name, response, meaning)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	fmt.Fprintf(w, "%d records: %d keys done, %d unsure, %d open, %d free\n",
		rep.Records, counts["done"], counts["unsure"], counts["open"], counts["free"])
	if rep.TornBytes > 0 {
		fmt.Fprintf(w, "the last %d bytes are an incomplete record: a write that was interrupted, on which nothing was done\n",
			rep.TornBytes)
	}
	if rep.DamagedAt >= 0 {
		fmt.Fprintf(w, "DAMAGED at byte %d: a proxy refuses keys that are not listed here until the file is removed\n",
			rep.DamagedAt)
	}
	return nil
}
