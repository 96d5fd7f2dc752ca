package coordination

import (
	"errors"
	"time"
	"unicode/utf8"

	"ivybank/wire"
)

// ErrInvalid is matched by all that Check finds wrong with a command.
var ErrInvalid = errors.New("coordination: invalid command")

// invalid is what is wrong with a command.
type invalid string

func (e invalid) Error() string { return "coordination: " + string(e) }

func (e invalid) Is(target error) bool { return target == ErrInvalid }

// What can be wrong with a command.
const (
	errKind   invalid = "unknown kind of command"
	errName   invalid = "name is empty, too long or no UTF-8"
	errHolder invalid = "holder is empty, too long or no UTF-8"
	errHold   invalid = "hold_ms is out of bounds"
	errFence  invalid = "fence is missing"
	errValue  invalid = "value is too long or no UTF-8"
	errGroup  invalid = "a watch names a group, up to its first dot"
	errWait   invalid = "wait_ms is out of bounds"
)

// Validate tells whether a command's fields are there and within their bounds. It depends on the command alone.
func Validate(c *wire.Command) error {
	if !validText(c.Name, MaxNameBytes) {
		return errName
	}
	switch c.Kind {
	case wire.BeginLock:
		return firstError(checkHolder(c), checkHold(c))
	case wire.HeartbeatLock:
		return firstError(checkHolder(c), checkFence(c), checkHold(c))
	case wire.FinishLock:
		return firstError(checkHolder(c), checkFence(c))
	case wire.ReplaceKey:
		return checkValue(c)
	case wire.WatchGroup:
		return checkWatch(c)
	case wire.NextNumber, wire.GetKey:
		return nil
	default:
		return errKind
	}
}

func checkHolder(c *wire.Command) error {
	if !validText(c.Holder, MaxHolderBytes) {
		return errHolder
	}
	return nil
}

func checkHold(c *wire.Command) error {
	if c.HoldMS < MinHold.Milliseconds() || c.HoldMS > MaxHold.Milliseconds() {
		return errHold
	}
	return nil
}

func checkFence(c *wire.Command) error {
	if c.Fence == 0 {
		return errFence
	}
	return nil
}

func checkValue(c *wire.Command) error {
	if !validValue(c.Value) {
		return errValue
	}
	return nil
}

func checkWatch(c *wire.Command) error {
	if GroupOf(c.Name) != c.Name {
		return errGroup
	}
	if c.WaitMS < 0 || c.WaitMS > MaxWait.Milliseconds() {
		return errWait
	}
	return nil
}

// validText tells whether a name can be kept and told. CBOR and JSON carry UTF-8 only.
func validText(text string, maxBytes int) bool {
	return text != "" && len(text) <= maxBytes && utf8.ValidString(text)
}

func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// holdOf gives for how long a command asks to hold its lock.
func holdOf(c *wire.Command) time.Duration { return time.Duration(c.HoldMS) * time.Millisecond }
