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
	errNoList    = errors.New("no list of instances")
	errTruncated = errors.New("cut off")
)

// hostList is one whole list, or the changes of one.
type hostList struct {
	Generation int64       `json:"generation"`
	Reset      bool        `json:"reset"`
	Instances  []hostEntry `json:"instances"`
}

type hostEntry struct {
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
func parseHostList(text []byte) (hostList, error) {
	var list hostList
	if err := json.Unmarshal(text, &list); err != nil {
		return list, err
	}
	if list.Instances == nil {
		return list, errNoList
	}
	for _, e := range list.Instances {
		if e.ID == "" || e.Addr == "" && e.State != "gone" {
			return list, errors.New("an entry without id or address")
		}
	}
	return list, nil
}

// listBuffer holds the unread part of a watch's response: lists, each one JSON object, with any white space in and
// between them.
type listBuffer struct {
	data []byte // shrinks list by list
}

func (l *listBuffer) add(b []byte) { l.data = append(l.data, b...) }

// next removes and returns the next list; false if it is incomplete. Consecutive lines that are no list give one
// error.
func (l *listBuffer) next() (list hostList, complete bool, err error) {
	l.data = bytes.TrimLeft(l.data, " \t\r\n")
	if len(l.data) == 0 {
		l.data = nil
		return list, false, nil
	}
	n, err := objectLength(l.data)
	switch {
	case err == nil:
		list, err = parseHostList(l.data[:n])
		l.data = l.data[n:]
	case errors.Is(err, io.ErrUnexpectedEOF):
		n = l.findNext()
		if n < 0 {
			return list, false, nil
		}
		l.data, err = l.data[n:], errTruncated
	default: // invalid up to the next line that begins with an object
		if n = bytes.Index(l.data, []byte("\n{")); n < 0 {
			n = len(l.data) - 1
		}
		l.data = l.data[n+1:]
	}
	return list, true, err
}

// findNext returns the offset of a complete list that begins a line behind a truncated one, or -1.
func (l *listBuffer) findNext() int {
	for from := 0; ; {
		i := bytes.Index(l.data[from:], []byte("\n{"))
		if i < 0 {
			return -1
		}
		from += i + 1
		if n, err := objectLength(l.data[from:]); err == nil {
			if _, err := parseHostList(l.data[from : from+n]); err == nil {
				return from
			}
		}
	}
}

// objectLength returns the length of the JSON object at the start of text; io.ErrUnexpectedEOF if it is incomplete.
func objectLength(text []byte) (int, error) {
	if text[0] != '{' {
		return 0, errNoList
	}
	decoder := json.NewDecoder(bytes.NewReader(text))
	var raw json.RawMessage
	err := decoder.Decode(&raw)
	return int(decoder.InputOffset()), err
}
