package conf

// This file holds the operator file: what operators set in addition to the platform's configuration. Features that
// the file does not mention work as they do without a file.

import (
	"fmt"
	"slices"
	"strings"

	"github.com/sirupsen/logrus"
)

// OperatorFormat is the value of the field "format" of an operator file.
const OperatorFormat = "ivybank/operator/1"

// OperatorConfig is the content of an operator file. Tables that are nil are not configured.
type OperatorConfig struct {
	Format string `toml:"format"`
	Log    struct {
		Level  string `toml:"level"`  // debug, info, warning or error
		Format string `toml:"format"` // text or json
	} `toml:"log"`
	Idempotency *struct {
		Header           string   `toml:"header"`
		Folder           string   `toml:"folder"` // empty: keys are kept in memory only
		MaxKeys          int      `toml:"entries"`
		MaxResponseBytes int64    `toml:"answer_bytes"`   // of all stored responses together
		MaxResponseSize  int      `toml:"largest_answer"` // bytes; of a larger response only the outcome is stored
		MaxWaiters       int      `toml:"waiters"`        // per key
		MaxKeyLength     int      `toml:"longest_key"`    // bytes
		RetryAfter       Duration `toml:"retry_in"`
		RuleSets         []struct {
			Name   string   `toml:"name"`
			Retain Duration `toml:"retain"` // after the request has ended
		} `toml:"ruleset"`
	} `toml:"idempotency"`
	Fleet    *FleetConfig    `toml:"fleet"`
	Recovery *RecoveryConfig `toml:"return"`

	Maintenance *MaintenanceConfig `toml:"maintenance"`
}

// LoadOperator reads and checks an operator file.
func LoadOperator(path string) (*OperatorConfig, error) {
	o := &OperatorConfig{}
	f, err := Load(path, o)
	if err != nil {
		return nil, err
	}
	levels := []string{"", "debug", "info", "warning", "error"}
	switch {
	case o.Format != OperatorFormat:
		return nil, f.FieldErrorf("format", "expected %q", OperatorFormat)
	case !slices.Contains(levels, o.Log.Level):
		return nil, f.FieldErrorf("log.level", "%q: expected one of %v", o.Log.Level, levels[1:])
	case !slices.Contains([]string{"", "text", "json"}, o.Log.Format):
		return nil, f.FieldErrorf("log.format", "%q: expected text or json", o.Log.Format)
	}
	if err := o.checkIdempotency(f); err != nil {
		return nil, err
	}
	if err := o.checkRecovery(f); err != nil {
		return nil, err
	}
	if err := o.checkMaintenance(f); err != nil {
		return nil, err
	}
	if err := o.checkFleet(f); err != nil {
		return nil, err
	}
	if err := o.checkLimits(f); err != nil {
		return nil, err
	}
	return o, nil
}

func (o *OperatorConfig) checkIdempotency(f *File) error {
	k := o.Idempotency
	if k == nil {
		return nil
	}
	rules := []Rule{
		{k.Header == "" || strings.ContainsAny(k.Header, " :\t"), "header", "expected the name of a header"},
		{k.MaxKeys <= 0, "entries", "expected a number above 0"},
		{k.MaxResponseBytes < 0, "answer_bytes", "expected 0 or more"},
		{k.MaxResponseSize < 0 || k.MaxResponseSize > 1<<16, "largest_answer", "expected 0 to 65536"},
		{k.MaxWaiters <= 0, "waiters", "expected a number above 0"},
		{k.MaxKeyLength <= 0 || k.MaxKeyLength > 4096, "longest_key", "expected 1 to 4096"},
		{k.RetryAfter <= 0, "retry_in", "expected a duration above 0"},
		{len(k.RuleSets) == 0, "ruleset", "expected at least one"},
	}
	names := map[string]bool{}
	for i, r := range k.RuleSets {
		prefix := fmt.Sprintf("ruleset.%d.", i)
		rules = append(rules, Rule{r.Name == "" || names[r.Name], prefix + "name", "expected a unique name"},
			Rule{r.Retain <= 0, prefix + "retain", "expected a duration above 0"})
		names[r.Name] = true
	}
	return f.CheckRules("idempotency.", rules)
}

// ApplyLogging sets the process's log level and format to those of the file.
func (o *OperatorConfig) ApplyLogging() {
	if level, err := logrus.ParseLevel(o.Log.Level); err == nil && o.Log.Level != "" {
		logrus.SetLevel(level)
	}
	if o.Log.Format == "json" {
		logrus.SetFormatter(&logrus.JSONFormatter{})
	}
}
