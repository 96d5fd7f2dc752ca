package proxy

// This file owns the form of the list: which bytes of discovery's are one list, on one line or on many, and
// what it says. It must never take a part of a list, nor let one that was cut swallow those behind it.

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
)

var (
	errNoList = errors.New("no list of instances")
	errCut    = errors.New("cut off")
)

// roll is one list, or the changes of one.
type roll struct {
	Generation int64   `json:"generation"`
	Reset      bool    `json:"reset"`
	Instances  []entry `json:"instances"`
}

type entry struct {
	ID      string  `json:"instanceId"`
	Addr    string  `json:"hostPort"`
	Zone    string  `json:"zone"`
	Kind    string  `json:"machineType"`
	Cell    int64   `json:"cell"`
	State   string  `json:"lifecycle"`
	Weight  float64 `json:"weight"`
	Started float64 `json:"startedAtMs"`
}

// parseRoll reads one list. One with an entry that cannot be used is refused whole.
func parseRoll(text []byte) (roll, error) {
	var r roll
	if err := json.Unmarshal(text, &r); err != nil {
		return r, err
	}
	if r.Instances == nil {
		return r, errNoList
	}
	for _, e := range r.Instances {
		if e.ID == "" || e.Addr == "" && e.State != "gone" {
			return r, errors.New("an entry without id or address")
		}
	}
	return r, nil
}

// listText is what has come of a watch's answer: lists, each one JSON object, with any white space in and
// between them.
type listText struct {
	held []byte // emptied list by list
}

func (t *listText) add(b []byte) { t.held = append(t.held, b...) }

// next cuts the next list off; false when more has to come. What is no list gives one error, however many
// lines it has.
func (t *listText) next() (r roll, whole bool, err error) {
	t.held = bytes.TrimLeft(t.held, " \t\r\n")
	if len(t.held) == 0 {
		t.held = nil
		return r, false, nil
	}
	n, err := object(t.held)
	switch {
	case err == nil:
		r, err = parseRoll(t.held[:n])
		t.held = t.held[n:]
	case errors.Is(err, io.ErrUnexpectedEOF):
		n = t.behind()
		if n < 0 {
			return r, false, nil
		}
		t.held, err = t.held[n:], errCut
	default: // what begins a line goes on
		if n = bytes.Index(t.held, []byte("\n{")); n < 0 {
			n = len(t.held) - 1
		}
		t.held = t.held[n+1:]
	}
	return r, true, err
}

// behind finds a whole list that begins a line behind one that never became whole; -1 where there is none.
func (t *listText) behind() int {
	for from := 0; ; {
		i := bytes.Index(t.held[from:], []byte("\n{"))
		if i < 0 {
			return -1
		}
		from += i + 1
		if n, err := object(t.held[from:]); err == nil {
			if _, err := parseRoll(t.held[from : from+n]); err == nil {
				return from
			}
		}
	}
}

// object says how long the JSON object is that a text begins with; io.ErrUnexpectedEOF where it is not whole.
func object(text []byte) (int, error) {
	if text[0] != '{' {
		return 0, errNoList
	}
	d := json.NewDecoder(bytes.NewReader(text))
	var raw json.RawMessage
	err := d.Decode(&raw)
	return int(d.InputOffset()), err
}
