package conf

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/sirupsen/logrus"
)

func TestRead(t *testing.T) {
	type item struct {
		Name string   `toml:"name"`
		For  Duration `toml:"for"`
	}
	type file struct {
		Count int    `toml:"count"`
		Items []item `toml:"item"`
		Deep  struct {
			X float64 `toml:"x"`
		} `toml:"deep"`
	}
	for name, c := range map[string]struct{ text, want string }{
		"unknown field": {"count = 1\n\n[deep]\ny = 2\n", "f.toml:4: deep.y: no such field"},
		"unknown table": {"[other]\n", "f.toml:1: other: no such field"},
		"wrong type":    {"count = 1\n[deep]\nx = \"a\"\n", "f.toml:3: deep.x: cannot decode TOML string into struct field struct { X float64 \"toml:\\\"x\\\"\" }.X of type float64"},
		"bad duration":  {"[[item]]\nfor = \"soon\"\n", "f.toml:2: item.for: \"soon\" is not a duration: expected one such as \"1.5s\" or \"80ms\""},
		"not TOML":      {"count = 1\ncount\n", ""},
		"second item":   {"[[item]]\nname = \"a\"\n[[item]]\nname = \"b\"\n", "f.toml:4: item.1.name: taken"},
		"missing field": {"[[item]]\nname = \"a\"\n[[item]]\nfor = \"1s\"\n", "f.toml:3: item.1.name: taken"},
	} {
		t.Run(name, func(t *testing.T) {
			var into file
			f, err := Read("f.toml", []byte(c.text), &into)
			if err == nil {
				err = f.FieldErrorf("item.1.name", "taken")
			}
			if err == nil || c.want != "" && err.Error() != c.want {
				t.Errorf("got %q, want %q", err, c.want)
			}
		})
	}
}

func TestOperator(t *testing.T) {
	for text, want := range map[string]string{
		"format = \"ivybank/operator/1\"\n[log]\nlevel = \"warning\"\nformat = \"json\"\n": "",
		"format = \"ivybank/operator/2\"\n":                                                "F:1: format: expected \"ivybank/operator/1\"",
		"[log]\n":                                                                          "F: format: expected \"ivybank/operator/1\"",
		"format = \"ivybank/operator/1\"\n[log]\nlevel = \"loud\"\n":                       "F:3: log.level: \"loud\": expected one of [debug info warning error]",
		"format = \"ivybank/operator/1\"\n[log]\n\nformat = \"xml\"\n":                     "F:4: log.format: \"xml\": expected text or json",
		"format = \"ivybank/operator/1\"\n[log]\nlevels = \"info\"\n":                      "F:3: log.levels: no such field",
	} {
		path := filepath.Join(t.TempDir(), "o.toml")
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		o, err := LoadOperator(path)
		if got := ""; err != nil {
			if got = err.Error(); "F"+got[len(path):] != want {
				t.Errorf("got %q, want %q", got, want)
			}
			continue
		}
		if want != "" {
			t.Errorf("got no error, want %q", want)
		}
		old := logrus.GetLevel()
		o.ApplyLogging()
		if logrus.GetLevel() != logrus.WarnLevel {
			t.Error("the log level has not been applied")
		}
		logrus.SetLevel(old)
		logrus.SetFormatter(&logrus.TextFormatter{})
	}
}
