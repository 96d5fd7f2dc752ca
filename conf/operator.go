package conf

// This file owns the operator file: what operators set beside the platform's configuration. What a file does not name stays
// as it is without one.

import (
	"slices"

	"github.com/sirupsen/logrus"
)

// OperatorFormat is what an operator file says it is.
const OperatorFormat = "ivybank/operator/1"

// Operator is an operator file.
type Operator struct {
	Format string `toml:"format"`
	Log    struct {
		Level  string `toml:"level"`  // debug, info, warning or error
		Format string `toml:"format"` // text or json
	} `toml:"log"`
}

// LoadOperator reads and checks one.
func LoadOperator(path string) (*Operator, error) {
	o := &Operator{}
	f, err := Load(path, o)
	if err != nil {
		return nil, err
	}
	levels := []string{"", "debug", "info", "warning", "error"}
	switch {
	case o.Format != OperatorFormat:
		return nil, f.Fault("format", "expected %q", OperatorFormat)
	case !slices.Contains(levels, o.Log.Level):
		return nil, f.Fault("log.level", "%q: expected one of %v", o.Log.Level, levels[1:])
	case !slices.Contains([]string{"", "text", "json"}, o.Log.Format):
		return nil, f.Fault("log.format", "%q: expected text or json", o.Log.Format)
	}
	return o, nil
}

// Apply puts it in force.
func (o *Operator) Apply() {
	if level, err := logrus.ParseLevel(o.Log.Level); err == nil && o.Log.Level != "" {
		logrus.SetLevel(level)
	}
	if o.Log.Format == "json" {
		logrus.SetFormatter(&logrus.JSONFormatter{})
	}
}
