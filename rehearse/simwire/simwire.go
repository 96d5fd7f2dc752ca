// Package simwire implements the simulator's wire protocol: it reads batches of events, passes them to one
// balance.Balancer for each instance, and writes their decisions. The names of the protocol appear only here.
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

// adapter is the state of one protocol stream.
type adapter struct {
	in        *bufio.Reader
	out       *bufio.Writer
	line      int
	now       int64 // ns
	inRound   bool
	serial    string
	instances map[string]*balance.Balancer // by name, from START to HALT
	active    []string                     // instances with an event in this round
	lists     [16][]balance.Server         // by number; nil until received
}

// Run serves the protocol until its input ends. An error names the line that could not be handled.
func Run(in io.Reader, out io.Writer) error {
	a := &adapter{in: bufio.NewReaderSize(in, 1<<20), out: bufio.NewWriterSize(out, 1<<20),
		instances: map[string]*balance.Balancer{}}
	for {
		text, err := a.readLine()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err == nil {
			err = a.handleLine(text)
		}
		if err != nil {
			return fmt.Errorf("line %d: %w", a.line, err)
		}
	}
}

func (a *adapter) readLine() (string, error) {
	text, err := a.in.ReadString('\n')
	if err != nil && (text == "" || !errors.Is(err, io.EOF)) {
		return "", err
	}
	a.line++
	return strings.TrimRight(text, "\r\n"), nil
}

// splitLine returns the message name and the fields of a line.
func splitLine(text string) (string, *terms.Values) {
	name, rest, _ := strings.Cut(text, " ")
	f := &terms.Values{Raw: map[string]string{}}
	for part := range strings.SplitSeq(rest, " ") {
		if k, v, ok := strings.Cut(part, "="); ok {
			f.Raw[k] = v
		}
	}
	return name, f
}

func (a *adapter) handleLine(text string) error {
	if text == "" {
		return nil
	}
	name, f := splitLine(text)
	if name == "ROUND" {
		if a.inRound {
			return errors.New("ROUND inside a round: expected FLUSH first")
		}
		a.inRound, a.now, a.serial = true, int64(f.ID("TsNs")), f.Raw["serial"]
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
		return a.readList(f)
	}
	instance := f.Raw["Who"]
	b := a.instances[instance]
	switch name {
	case "START":
		if instance == "" {
			return errors.New("START without Who: expected an instance")
		}
		b = balance.New(terms.Decode(f, f.ID("Prng")), a.now)
		a.instances[instance] = b
	case "NEW_REQUEST", "WITHDRAWN", "HALT", "ALARM", "FINISHED", "PROBED", "STARTED", "PEER_DATA",
		"DIRECTORY_UPDATE":
		if b == nil {
			return fmt.Errorf("%s for %q: expected an instance that was started", name, instance)
		}
	default:
		return nil // unknown messages are ignored
	}
	if !slices.Contains(a.active, instance) {
		a.active = append(a.active, instance)
	}
	return a.dispatchEvent(name, instance, b, f)
}

// dispatchEvent passes one event to its instance.
func (a *adapter) dispatchEvent(name, instance string, b *balance.Balancer, f *terms.Values) error {
	form, list := balance.ListUnavailable, []balance.Server(nil)
	var id uint64
	switch name {
	case "DIRECTORY_UPDATE":
		var ok bool
		form, ok = map[string]balance.ListForm{"update": balance.ListUpdate, "replace": balance.ListReplace,
			"restored": balance.ListRestored, "unavailable": balance.ListUnavailable}[f.Raw["Form"]]
		if !ok {
			return nil
		}
		if form != balance.ListUnavailable {
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
		delete(a.instances, instance)
		return nil
	case "PEER_DATA":
		if v := f.Raw["Bytes"]; v != "-" {
			if _, err := base64.StdEncoding.DecodeString(v); err != nil {
				f.SetError("Bytes", "base64")
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
	a.recoverPanic(instance, func() {
		switch name {
		case "NEW_REQUEST":
			b.AddRequest(balance.Arrival{ID: id, RuleSet: f.Raw["Priority"], Tenant: f.Raw["Account"],
				Key: f.Raw["Entity"], Budget: budget, Work: work}, a.now)
		case "WITHDRAWN":
			b.Withdrawn(id)
		case "STARTED":
			b.StreamStarted(id)
		case "FINISHED":
			b.Finished(id, try, outcome(f.Raw["Reason"]), final, took, a.now)
		case "DIRECTORY_UPDATE":
			b.UpdateList(form, list, a.now)
		}
	})
	return nil
}

// recoverPanic runs decide and turns a panic of the balancer into an EXCEPTION message for that instance.
func (a *adapter) recoverPanic(instance string, decide func()) {
	defer func() {
		if p := recover(); p != nil {
			text := strings.ReplaceAll(fmt.Sprint(p), "\n", " ")
			fmt.Fprintf(a.out, "EXCEPTION Who=%s Msg=%s\n", instance, text)
		}
	}()
	decide()
}

// readList reads a server list: the HOST lines that follow a LEDGER message.
func (a *adapter) readList(f *terms.Values) error {
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
		text, err := a.readLine()
		if errors.Is(err, io.EOF) {
			return errors.New("input ended: expected a HOST line")
		}
		if err != nil {
			return err
		}
		name, h := splitLine(text)
		if name != "HOST" || h.Raw["Host"] == "" {
			return fmt.Errorf("%s: expected a HOST line", name)
		}
		state, ok := map[string]balance.State{"Running": balance.Running, "Stopping": balance.Draining,
			"Deleted": balance.Gone}[h.Raw["State"]]
		if !ok {
			state = balance.Draining // unknown state: the server gets no new requests
		}
		list = append(list, balance.Server{ID: h.Raw["Host"], Zone: h.Raw["RackZone"], Kind: h.Raw["Shape"],
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

// flush writes the decisions of all instances that had an event in this round, and ends the reply.
func (a *adapter) flush() error {
	for _, instance := range a.active {
		b := a.instances[instance]
		if b == nil {
			continue
		}
		a.recoverPanic(instance, func() {
			for d, ok := b.Next(a.now); ok; d, ok = b.Next(a.now) {
				a.write(instance, d)
			}
		})
	}
	a.active = a.active[:0]
	a.inRound = false
	fmt.Fprintf(a.out, "ACK serial=%s\n", a.serial)
	return a.out.Flush()
}

func (a *adapter) write(instance string, d balance.Decision) {
	switch d.Kind {
	case balance.Dispatch:
		fmt.Fprintf(a.out, "CALL_OUT Who=%s Call=%d Host=%s TryUntilNs=%d\n", instance, d.Request, d.Server, d.Time)
	case balance.Deny:
		fmt.Fprintf(a.out, "SAY_NO Who=%s Call=%d BackoffNs=%d\n", instance, d.Request, d.Time)
	case balance.Abort:
		fmt.Fprintf(a.out, "LOSE Who=%s Call=%d\n", instance, d.Request)
	case balance.Cancel:
		fmt.Fprintf(a.out, "STOP_ATTEMPT Who=%s Call=%d Try=%d\n", instance, d.Request, d.Attempt)
	case balance.RequestList:
		fmt.Fprintf(a.out, "LISTEN Who=%s On=1\n", instance)
	case balance.CloseConnections:
		fmt.Fprintf(a.out, "HANG_UP Who=%s Host=%s\n", instance, d.Server)
	case balance.Wake:
		fmt.Fprintf(a.out, "NOTIFY_ME Who=%s DelayNs=%d Mark=0\n", instance, d.Time)
	case balance.Log:
		fmt.Fprintf(a.out, "TRACE Who=%s Msg=%s\n", instance, d.Text)
	}
}
