package coordination

import (
	"errors"
	"time"
	"unicode/utf8"

	"ivybank/wire"
)

// ErrInvalid is matched by every error that Validate returns.
var ErrInvalid = errors.New("coordination: invalid command")

// validationError is the reason why a command is invalid.
type validationError string

func (e validationError) Error() string { return "coordination: " + string(e) }

func (e validationError) Is(target error) bool { return target == ErrInvalid }

// The reasons why a command can be invalid.
const (
	errKind   validationError = "kind of command is unknown"
	errName   validationError = "name is empty, too long or not valid UTF-8"
	errHolder validationError = "holder is empty, too long or not valid UTF-8"
	errHold   validationError = "hold_ms is out of bounds"
	errFence  validationError = "fence is missing"
	errValue  validationError = "value is too long or not valid UTF-8"
	errGroup  validationError = "name of a watch is not a group: it continues after its first dot"
	errWait   validationError = "wait_ms is out of bounds"
)

// Validate checks that the fields that a command needs are present and within their limits. The result depends on the
// command alone. Errors match ErrInvalid.
func Validate(c *wire.Command) error {
	if !isValidName(c.Name, MaxNameBytes) {
		return errName
	}
	switch c.Kind {
	case wire.BeginLock:
		return firstError(validateHolder(c), validateHold(c))
	case wire.HeartbeatLock:
		return firstError(validateHolder(c), validateFence(c), validateHold(c))
	case wire.FinishLock:
		return firstError(validateHolder(c), validateFence(c))
	case wire.ReplaceKey:
		return validateValue(c)
	case wire.WatchGroup:
		return validateWatch(c)
	case wire.NextNumber, wire.GetKey:
		return nil
	default:
		return errKind
	}
}

func validateHolder(c *wire.Command) error {
	if !isValidName(c.Holder, MaxHolderBytes) {
		return errHolder
	}
	return nil
}

func validateHold(c *wire.Command) error {
	if c.HoldMS < MinHold.Milliseconds() || c.HoldMS > MaxHold.Milliseconds() {
		return errHold
	}
	return nil
}

func validateFence(c *wire.Command) error {
	if c.Fence == 0 {
		return errFence
	}
	return nil
}

func validateValue(c *wire.Command) error {
	if !isValidValue(c.Value) {
		return errValue
	}
	return nil
}

func validateWatch(c *wire.Command) error {
	if GroupOf(c.Name) != c.Name {
		return errGroup
	}
	if c.WaitMS < 0 || c.WaitMS > MaxWait.Milliseconds() {
		return errWait
	}
	return nil
}

// isValidName reports whether a name can be stored and sent: CBOR and JSON carry UTF-8 text only.
func isValidName(text string, maxBytes int) bool {
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

// holdDuration returns for how long a command asks to hold its lock.
func holdDuration(c *wire.Command) time.Duration { return time.Duration(c.HoldMS) * time.Millisecond }
