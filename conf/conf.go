// Package conf loads the files that operators and experimenters write: TOML, checked against a schema when loaded, each
// fault with its file, line and field. It owns how faults are told. It must never fill in what a file left out, nor take
// a file in part.
package conf

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// Duration is a time such as "1.5s" or "80ms".
type Duration int64

// UnmarshalText reads one.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil || v < 0 {
		return fmt.Errorf("%q is no time: expected one such as \"1.5s\" or \"80ms\"", text)
	}
	*d = Duration(v)
	return nil
}

// FieldError is one thing that is wrong with a file.
type FieldError struct {
	File    string
	Line    int
	Field   string
	Message string
}

func (f *FieldError) Error() string {
	at := f.File
	if f.Line > 0 {
		at += ":" + strconv.Itoa(f.Line)
	}
	if f.Field != "" {
		at += ": " + f.Field
	}
	return at + ": " + f.Message
}

// File is a loaded file: it knows on which line each field stands.
type File struct {
	Path  string
	lines map[string]int
}

// Format says which kind of file a text is by its field format; empty where it has none.
func Format(text []byte) string {
	var head struct {
		Format string `toml:"format"`
	}
	_ = toml.Unmarshal(text, &head)
	return head.Format
}

// Load reads a file into a struct. Fields that the struct lacks, and values of another kind, are faults.
func Load(path string, into any) (*File, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Read(path, text, into)
}

// Read is Load for a text.
func Read(path string, text []byte, into any) (*File, error) {
	f := &File{path, map[string]int{}}
	d := toml.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	err := d.Decode(into)
	var strict *toml.StrictMissingError
	var bad *toml.DecodeError
	switch {
	case errors.As(err, &strict):
		first := strict.Errors[0]
		line, _ := first.Position()
		return nil, &FieldError{path, line, strings.Join(first.Key(), "."), "no such field"}
	case errors.As(err, &bad):
		line, _ := bad.Position()
		return nil, &FieldError{path, line, strings.Join(bad.Key(), "."), strings.TrimPrefix(bad.Error(), "toml: ")}
	case err != nil:
		return nil, &FieldError{path, 0, "", err.Error()}
	}
	f.index(text)
	return f, nil
}

// index notes where each field stands; items of a list count from 0.
func (f *File) index(text []byte) {
	var p unstable.Parser
	p.Reset(text)
	table, items := "", map[string]int{}
	at, lines := 0, 1 // counted on from the key before
	for p.NextExpression() {
		e := p.Expression()
		var name []string
		line := 0
		for k := e.Key(); k.Next(); {
			name = append(name, string(k.Node().Data))
			from := int(p.Range(k.Node().Data).Offset)
			if from < at {
				at, lines = 0, 1
			}
			lines += bytes.Count(text[at:from], []byte{'\n'})
			at, line = from, lines
		}
		key := strings.Join(name, ".")
		switch e.Kind {
		case unstable.Table:
			table = key + "."
		case unstable.ArrayTable:
			key = fmt.Sprintf("%s.%d", key, items[key])
			items[strings.Join(name, ".")]++
			table = key + "."
		default:
			key = table + key
		}
		f.lines[key] = line
	}
}

// Rule is one thing that a file has to keep beyond the kinds of its fields.
type Rule = struct {
	Violated bool
	Field    string
	Expected string
}

// CheckRules tells of the first rule that is not kept, in a table of the file or, where that is empty, in all of it.
func (f *File) CheckRules(table string, rules []Rule) error {
	for _, r := range rules {
		if r.Violated {
			return f.FieldErrorf(table+r.Field, "%s", r.Expected)
		}
	}
	return nil
}

// FieldErrorf tells of a field; one that is missing is told where its table begins.
func (f *File) FieldErrorf(field, format string, a ...any) error {
	line := 0
	for at := field; line == 0 && at != ""; {
		line = f.lines[at]
		at = at[:max(0, strings.LastIndexByte(at, '.'))]
	}
	return &FieldError{f.Path, line, field, fmt.Sprintf(format, a...)}
}
