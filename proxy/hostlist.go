package proxy

// This file parses host lists: it finds the bytes of one list in discovery's stream, on one line or several, and
// reads them. It must never apply a part of a list, nor let a truncated list swallow those behind it.

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

// hostList is one whole list, or the changes of one.
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

// parseHostList reads one list. A list with an invalid entry is rejected as a whole.
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

// listBuffer holds the unread part of a watch's response: lists, each one JSON object, with any white space in and
// between them.
type listText struct {
	held []byte // shrinks list by list
}

func (t *listText) add(b []byte) { t.held = append(t.held, b...) }

// next removes and returns the next list; false if it is incomplete. Consecutive lines that are no list give one
// error.
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
	default: // invalid up to the next line that begins with an object
		if n = bytes.Index(t.held, []byte("\n{")); n < 0 {
			n = len(t.held) - 1
		}
		t.held = t.held[n+1:]
	}
	return r, true, err
}

// findNext returns the offset of a complete list that begins a line behind a truncated one, or -1.
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

// objectLength returns the length of the JSON object at the start of text; io.ErrUnexpectedEOF if it is incomplete.
func object(text []byte) (int, error) {
	if text[0] != '{' {
		return 0, errNoList
	}
	d := json.NewDecoder(bytes.NewReader(text))
	var raw json.RawMessage
	err := d.Decode(&raw)
	return int(d.InputOffset()), err
}
