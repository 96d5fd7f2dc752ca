// Package simwire speaks the simulator's wire: it reads batches of events, hands the fields to one
// balance.Balancer for each instance, and writes their decisions. The wire's names end here.
package simwire

import (
	"bufio"
	"encoding/base64"
	"errors"
	"fmt"
	"io"
	"math"
	"slices"
	"strconv"
	"strings"

	"ivybank/balance"
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

// fields holds the parts of one line; the first number that cannot be read stays in err.
type fields struct {
	at  map[string]string
	err error
}

func split(text string) (string, *fields) {
	name, rest, _ := strings.Cut(text, " ")
	f := &fields{at: map[string]string{}}
	for part := range strings.SplitSeq(rest, " ") {
		if k, v, ok := strings.Cut(part, "="); ok {
			f.at[k] = v
		}
	}
	return name, f
}

func (f *fields) fail(key, want string) {
	if f.err == nil {
		f.err = fmt.Errorf("%s=%q: expected %s", key, f.at[key], want)
	}
}

func (f *fields) int(key string) int64 {
	v, ok := f.at[key]
	if !ok {
		return 0
	}
	n, err := strconv.ParseInt(v, 10, 64)
	if err != nil {
		f.fail(key, "a whole number")
	}
	return n
}

// id is a number that the line must carry.
func (f *fields) id(key string) uint64 {
	n, err := strconv.ParseUint(f.at[key], 10, 64)
	if err != nil {
		f.fail(key, "a whole number")
	}
	return n
}

func (f *fields) float(key string) float64 {
	v, ok := f.at[key]
	if !ok {
		return 0
	}
	n, err := strconv.ParseFloat(v, 64)
	if err != nil || math.IsNaN(n) || math.IsInf(n, 0) {
		f.fail(key, "a number")
	}
	return n
}

func (f *fields) bool(key string) bool {
	switch f.at[key] {
	case "1", "true":
		return true
	case "", "0", "false":
		return false
	}
	f.fail(key, "1 or 0")
	return false
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
		a.inRound, a.now, a.serial = true, int64(f.id("TsNs")), f.at["serial"]
		f.id("serial")
		return f.err
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
	who := f.at["Who"]
	b := a.instances[who]
	switch name {
	case "START":
		if who == "" {
			return errors.New("START without Who: expected an instance")
		}
		b = balance.New(terms(f), a.now)
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
func (a *adapter) tell(name, who string, b *balance.Balancer, f *fields) error {
	form, list := balance.Unavailable, []balance.Server(nil)
	var id uint64
	switch name {
	case "DIRECTORY_UPDATE":
		var ok bool
		form, ok = map[string]balance.Form{"update": balance.Changes, "replace": balance.Whole,
			"restored": balance.Restored, "unavailable": balance.Unavailable}[f.at["Form"]]
		if !ok {
			return nil
		}
		if form != balance.Unavailable {
			n := f.id("Ref")
			if f.err != nil {
				return f.err
			}
			if n >= uint64(len(a.lists)) || a.lists[n] == nil {
				return fmt.Errorf("Ref=%d: expected a list that was sent", n)
			}
			list = a.lists[n]
		}
	case "HALT":
		delete(a.instances, who)
		return nil
	case "PEER_DATA":
		if v := f.at["Bytes"]; v != "-" {
			if _, err := base64.StdEncoding.DecodeString(v); err != nil {
				f.fail("Bytes", "base64")
			}
		}
		return f.err
	case "ALARM":
		f.id("Mark")
	case "PROBED":
		f.id("Reason")
	case "NEW_REQUEST", "WITHDRAWN", "FINISHED", "STARTED":
		id = f.id("Call")
		if name == "FINISHED" {
			f.id("Reason")
		}
	}
	budget, work, took := f.int("BudgetNs"), f.int("CostGuessNs"), f.int("DurationNs")
	try, final := int(f.int("Try")), f.bool("DoneFlag")
	if f.err != nil {
		return f.err
	}
	a.guard(who, func() {
		switch name {
		case "NEW_REQUEST":
			b.Req(balance.Arrival{ID: id, RuleSet: f.at["Priority"], Tenant: f.at["Account"],
				Key: f.at["Entity"], Budget: budget, Work: work}, a.now)
		case "WITHDRAWN":
			b.Withdrawn(id)
		case "STARTED":
			b.Started(id)
		case "FINISHED":
			b.Finished(id, try, outcome(f.at["Reason"]), final, took, a.now)
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

func (a *adapter) ledger(f *fields) error {
	n, count := f.id("Ref"), f.id("Elements")
	if f.err != nil {
		return f.err
	}
	if n >= uint64(len(a.lists)) {
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
		if name != "HOST" || h.at["Host"] == "" {
			return fmt.Errorf("%s: expected a HOST line", name)
		}
		state, ok := map[string]balance.State{"Running": balance.Running, "Stopping": balance.Draining,
			"Deleted": balance.Gone}[h.at["State"]]
		if !ok {
			state = balance.Draining // a state not known here: nothing new goes there
		}
		list = append(list, balance.Server{ID: h.at["Host"], Zone: h.at["RackZone"], Cell: h.int("Cell"),
			State: state, Share: h.float("Share"), Since: h.int("SinceNs")})
		if h.err != nil {
			return h.err
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

// terms decodes the settings that the module reads.
func terms(f *fields) balance.Terms {
	t := balance.Terms{
		Seed: f.id("Prng"), Zone: f.at["Zone"],
		ValuePerWork:  f.at["BillingValuePer"] == "work",
		Copies:        int(f.int("FleetSize")),
		MaxDispatches: int(f.int("Ceilings.MaxDispatches")),
		Parallel:      f.bool("Ceilings.ParallelTries"), CanCancel: f.bool("Ceilings.Cancel"),
		MustAsk:   f.at["Discovery"] == "on_request",
		AskWithin: f.int("Contract.AskWithinNs"), StartCapacity: f.float("Contract.StartCapacity"),
		RampTime: f.int("Contract.RampTimeNs"), CrossPrice: f.float("Prices.CrossZone"),
		WastePrice: f.float("Prices.Waste"), Tick: f.int("TickNs"),
	}
	if f.bool("Ceilings.RetryAfter") {
		t.MaxAdvice = f.int("Ceilings.MaxRetryAfterNs")
	}
	for i := range f.int("RuleSets.count") {
		p := fmt.Sprintf("RuleSets.%d.", i)
		effect, ok := map[string]balance.Effect{"retryable": balance.Replayable, "dedup": balance.Uniqued,
			"fragile": balance.NonReplayable}[f.at[p+"Effect"]]
		if !ok {
			effect = balance.NonReplayable // not known: the strictest
		}
		group, ok := map[string]balance.Group{"all": balance.GroupAll, "zone": balance.GroupZone,
			"cell": balance.GroupCell}[f.at[p+"Group"]]
		if !ok {
			group = balance.GroupCell
		}
		t.RuleSets = append(t.RuleSets, balance.RuleSet{Name: f.at[p+"Name"], Effect: effect, Group: group,
			Window: f.int(p + "WindowNs"), ResponseTarget: f.int(p + "ResponseTargetNs"),
			BillingValue: f.float(p + "BillingValue"), OverdueValue: f.float(p + "OverdueBillingValue")})
	}
	for i := range f.int("Tenants.count") {
		p := fmt.Sprintf("Tenants.%d.", i)
		t.Tenants = append(t.Tenants, balance.Tenant{Name: f.at[p+"Name"], Share: f.float(p + "Share")})
	}
	return t
}
