// Package conf loads the TOML files that operators and experimenters write. A file is checked against a struct and
// further rules when it is loaded; each error names its file, line and field. The package must not fill in values
// that a file omits, nor accept a file in part.
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

// Duration is a non-negative duration in nanoseconds, written as "1.5s" or "80ms".
type Duration int64

// UnmarshalText parses a duration. It fails for a negative one.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil || v < 0 {
		return fmt.Errorf("%q is not a duration: expected one such as \"1.5s\" or \"80ms\"", text)
	}
	*d = Duration(v)
	return nil
}

// FieldError is one error in a file. Line is 0 and Field is empty if they are not known.
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

// File is a loaded file with the line number of each field.
type File struct {
	Path  string
	lines map[string]int
}

// Format returns the value of a file's field "format", which tells its kind; empty if it has none.
func Format(text []byte) string {
	var head struct {
		Format string `toml:"format"`
	}
	_ = toml.Unmarshal(text, &head)
	return head.Format
}

// Load reads a file and decodes it into a struct. Fields that the struct lacks and values of a wrong type are
// reported as a *FieldError.
func Load(path string, into any) (*File, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Read(path, text, into)
}

// Read is Load for text that is already in memory; path is used in errors only.
func Read(path string, text []byte, into any) (*File, error) {
	f := &File{path, map[string]int{}}
	d := toml.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	err := d.Decode(into)
	var unknown *toml.StrictMissingError
	var invalid *toml.DecodeError
	switch {
	case errors.As(err, &unknown):
		first := unknown.Errors[0]
		line, _ := first.Position()
		return nil, &FieldError{path, line, strings.Join(first.Key(), "."), "no such field"}
	case errors.As(err, &invalid):
		line, _ := invalid.Position()
		return nil, &FieldError{path, line, strings.Join(invalid.Key(), "."), strings.TrimPrefix(invalid.Error(), "toml: ")}
	case err != nil:
		return nil, &FieldError{path, 0, "", err.Error()}
	}
	f.indexLines(text)
	return f, nil
}

// indexLines records the line of each field. Items of an array of tables are numbered from 0.
func (f *File) indexLines(text []byte) {
	var p unstable.Parser
	p.Reset(text)
	table, items := "", map[string]int{}
	at, lines := 0, 1 // lines is the line number at offset at; it is advanced from one key to the next
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

// Rule is a constraint on one field beyond its type.
type Rule = struct {
	Violated bool
	Field    string
	Expected string // the error message
}

// CheckRules returns an error for the first rule that is violated. Table is prepended to the rules' fields; it is
// empty for fields of the whole file.
func (f *File) CheckRules(table string, rules []Rule) error {
	for _, r := range rules {
		if r.Violated {
			return f.FieldErrorf(table+r.Field, "%s", r.Expected)
		}
	}
	return nil
}

// FieldErrorf returns a *FieldError for a field. If the field is missing from the file, the error has the line of
// the table that should contain it.
func (f *File) FieldErrorf(field, format string, a ...any) error {
	line := 0
	for at := field; line == 0 && at != ""; {
		line = f.lines[at]
		at = at[:max(0, strings.LastIndexByte(at, '.'))]
	}
	return &FieldError{f.Path, line, field, fmt.Sprintf(format, a...)}
}
