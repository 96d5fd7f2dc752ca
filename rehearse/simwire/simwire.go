// Package simwire speaks the simulator's wire: it reads batches of events, hands the fields to one
// balance.Balancer for each instance, and writes their decisions. The wire's names end here.
package simwire

import (
	"bufio"
	"encoding/base64"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"

	"ivybank/balance"
	"ivybank/terms"
)

// adapter is the state of one stream.
type adapter struct {
	in        *bufio.Reader
	out       *bufio.Writer
	line      int
	now       int64
	inRound   bool
	serial    string
	instances map[string]*balance.Balancer // emptied by HALT
	touched   []string                     // instances with an event in this batch; emptied by FLUSH
	lists     [16][]balance.Server         // nil until sent, replaced by the next list of that number
}

// Run serves the wire until its input ends. The error names the line that could not be read.
func Run(in io.Reader, out io.Writer) error {
	a := &adapter{in: bufio.NewReaderSize(in, 1<<20), out: bufio.NewWriterSize(out, 1<<20),
		instances: map[string]*balance.Balancer{}}
	for {
		text, err := a.next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err == nil {
			err = a.event(text)
		}
		if err != nil {
			return fmt.Errorf("line %d: %w", a.line, err)
		}
	}
}

func (a *adapter) next() (string, error) {
	text, err := a.in.ReadString('\n')
	if err != nil && (text == "" || !errors.Is(err, io.EOF)) {
		return "", err
	}
	a.line++
	return strings.TrimRight(text, "\r\n"), nil
}

func split(text string) (string, *terms.Values) {
	name, rest, _ := strings.Cut(text, " ")
	f := &terms.Values{At: map[string]string{}}
	for part := range strings.SplitSeq(rest, " ") {
		if k, v, ok := strings.Cut(part, "="); ok {
			f.At[k] = v
		}
	}
	return name, f
}

func (a *adapter) event(text string) error {
	if text == "" {
		return nil
	}
	name, f := split(text)
	if name == "ROUND" {
		if a.inRound {
			return errors.New("ROUND inside a round: expected FLUSH first")
		}
		a.inRound, a.now, a.serial = true, int64(f.ID("TsNs")), f.At["serial"]
		f.ID("serial")
		return f.Err
	}
	if !a.inRound {
		return fmt.Errorf("%s outside a round: expected ROUND", name)
	}
	switch name {
	case "FLUSH":
		return a.flush()
	case "LEDGER":
		return a.ledger(f)
	}
	who := f.At["Who"]
	b := a.instances[who]
	switch name {
	case "START":
		if who == "" {
			return errors.New("START without Who: expected an instance")
		}
		b = balance.New(terms.Read(f, f.ID("Prng")), a.now)
		a.instances[who] = b
	case "NEW_REQUEST", "WITHDRAWN", "HALT", "ALARM", "FINISHED", "PROBED", "STARTED", "PEER_DATA",
		"DIRECTORY_UPDATE":
		if b == nil {
			return fmt.Errorf("%s for %q: expected an instance that was started", name, who)
		}
	default:
		return nil // not known: skipped
	}
	if !slices.Contains(a.touched, who) {
		a.touched = append(a.touched, who)
	}
	return a.tell(name, who, b, f)
}

// tell hands one event to its instance.
func (a *adapter) tell(name, who string, b *balance.Balancer, f *terms.Values) error {
	form, list := balance.Unavailable, []balance.Server(nil)
	var id uint64
	switch name {
	case "DIRECTORY_UPDATE":
		var ok bool
		form, ok = map[string]balance.Form{"update": balance.Changes, "replace": balance.Whole,
			"restored": balance.Restored, "unavailable": balance.Unavailable}[f.At["Form"]]
		if !ok {
			return nil
		}
		if form != balance.Unavailable {
			n := f.ID("Ref")
			if f.Err != nil {
				return f.Err
			}
			if n >= uint64(len(a.lists)) || a.lists[n] == nil {
				//lint:ignore ST1005 the text begins with the name of a field
				return fmt.Errorf("Ref=%d: expected a list that was sent", n)
			}
			list = a.lists[n]
		}
	case "HALT":
		delete(a.instances, who)
		return nil
	case "PEER_DATA":
		if v := f.At["Bytes"]; v != "-" {
			if _, err := base64.StdEncoding.DecodeString(v); err != nil {
				f.Fail("Bytes", "base64")
			}
		}
		return f.Err
	case "ALARM":
		f.ID("Mark")
	case "PROBED":
		f.ID("Reason")
	case "NEW_REQUEST", "WITHDRAWN", "FINISHED", "STARTED":
		id = f.ID("Call")
		if name == "FINISHED" {
			f.ID("Reason")
		}
	}
	budget, work, took := f.Int("BudgetNs"), f.Int("CostGuessNs"), f.Int("DurationNs")
	try, final := int(f.Int("Try")), f.Bool("DoneFlag")
	if f.Err != nil {
		return f.Err
	}
	a.guard(who, func() {
		switch name {
		case "NEW_REQUEST":
			b.Req(balance.Arrival{ID: id, RuleSet: f.At["Priority"], Tenant: f.At["Account"],
				Key: f.At["Entity"], Budget: budget, Work: work}, a.now)
		case "WITHDRAWN":
			b.Withdrawn(id)
		case "STARTED":
			b.Started(id)
		case "FINISHED":
			b.Finished(id, try, outcome(f.At["Reason"]), final, took, a.now)
		case "DIRECTORY_UPDATE":
			b.Listed(form, list, a.now)
		}
	})
	return nil
}

// guard turns a panic of the module into a report for that instance.
func (a *adapter) guard(who string, decide func()) {
	defer func() {
		if p := recover(); p != nil {
			text := strings.ReplaceAll(fmt.Sprint(p), "\n", " ")
			fmt.Fprintf(a.out, "EXCEPTION Who=%s Msg=%s\n", who, text)
		}
	}()
	decide()
}

func (a *adapter) ledger(f *terms.Values) error {
	n, count := f.ID("Ref"), f.ID("Elements")
	if f.Err != nil {
		return f.Err
	}
	if n >= uint64(len(a.lists)) {
		//lint:ignore ST1005 the text begins with the name of a field
		return fmt.Errorf("Ref=%d: expected a list number from 0 to 15", n)
	}
	list := []balance.Server{}
	for range count {
		text, err := a.next()
		if errors.Is(err, io.EOF) {
			return errors.New("input ended: expected a HOST line")
		}
		if err != nil {
			return err
		}
		name, h := split(text)
		if name != "HOST" || h.At["Host"] == "" {
			return fmt.Errorf("%s: expected a HOST line", name)
		}
		state, ok := map[string]balance.State{"Running": balance.Running, "Stopping": balance.Draining,
			"Deleted": balance.Gone}[h.At["State"]]
		if !ok {
			state = balance.Draining // a state not known here: nothing new goes there
		}
		list = append(list, balance.Server{ID: h.At["Host"], Zone: h.At["RackZone"], Kind: h.At["Shape"],
			Cell:  h.Int("Cell"),
			State: state, Share: h.Float("Share"), Since: h.Int("SinceNs")})
		if h.Err != nil {
			return h.Err
		}
	}
	a.lists[n] = list
	return nil
}

func outcome(reason string) balance.Outcome {
	switch reason {
	case "0":
		return balance.Served
	case "5":
		return balance.Errored
	case "11":
		return balance.Refused
	case "110":
		return balance.TimedOut
	case "111":
		return balance.NoConnection
	case "104":
		return balance.Reset
	case "125":
		return balance.Cancelled
	case "114":
		return balance.NotSent
	}
	return balance.Unknown
}

// flush pulls the decisions of all instances that had an event, and ends the reply.
func (a *adapter) flush() error {
	for _, who := range a.touched {
		b := a.instances[who]
		if b == nil {
			continue
		}
		a.guard(who, func() {
			for d, ok := b.Next(a.now); ok; d, ok = b.Next(a.now) {
				a.write(who, d)
			}
		})
	}
	a.touched = a.touched[:0]
	a.inRound = false
	fmt.Fprintf(a.out, "ACK serial=%s\n", a.serial)
	return a.out.Flush()
}

func (a *adapter) write(who string, d balance.Decision) {
	switch d.Kind {
	case balance.Dispatch:
		fmt.Fprintf(a.out, "CALL_OUT Who=%s Call=%d Host=%s TryUntilNs=%d\n", who, d.Req, d.Server, d.Time)
	case balance.Deny:
		fmt.Fprintf(a.out, "SAY_NO Who=%s Call=%d BackoffNs=%d\n", who, d.Req, d.Time)
	case balance.Abort:
		fmt.Fprintf(a.out, "LOSE Who=%s Call=%d\n", who, d.Req)
	case balance.Cancel:
		fmt.Fprintf(a.out, "STOP_ATTEMPT Who=%s Call=%d Try=%d\n", who, d.Req, d.Attempt)
	case balance.Watch:
		fmt.Fprintf(a.out, "LISTEN Who=%s On=1\n", who)
	case balance.Close:
		fmt.Fprintf(a.out, "HANG_UP Who=%s Host=%s\n", who, d.Server)
	case balance.Wake:
		fmt.Fprintf(a.out, "NOTIFY_ME Who=%s DelayNs=%d Mark=0\n", who, d.Time)
	case balance.Log:
		fmt.Fprintf(a.out, "TRACE Who=%s Msg=%s\n", who, d.Text)
	}
}
