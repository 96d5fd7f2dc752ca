// Package validate checks operators' configurations: their form by a CUE schema, and what refers to other parts of
// them by config.Check. It is apart from package config because only control processes need it.
package validate

import (
	_ "embed"
	"fmt"
	"sync"

	"cuelang.org/go/cue"
	"cuelang.org/go/cue/cuecontext"
	"cuelang.org/go/cue/errors"
	"cuelang.org/go/encoding/json"

	"ivybank/config"
)

// renewAfter is how many checks share a CUE context, which never frees what it has built.
const renewAfter = 32

//go:embed schema.cue
var schemaText string

// Validator checks configurations, one at a time. It is safe for concurrent use.
type Validator struct {
	mu      sync.Mutex
	context *cue.Context
	schema  cue.Value
	uses    int
}

// Parse reads and checks a configuration. The error names the field and the cause.
func (v *Validator) Parse(body []byte) (*config.Config, error) {
	if err := v.checkForm(body); err != nil {
		return nil, err
	}
	c, err := config.Read(body)
	if err != nil {
		return nil, err
	}
	return c, c.Check()
}

func (v *Validator) checkForm(body []byte) error {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.uses%renewAfter == 0 {
		v.context = cuecontext.New()
		v.schema = v.context.CompileString(schemaText, cue.Filename("schema.cue")).LookupPath(cue.ParsePath("#Config"))
	}
	v.uses++
	expression, err := json.Extract("configuration", body)
	if err != nil {
		return fmt.Errorf("configuration: %w", firstOf(err))
	}
	value := v.schema.Unify(v.context.BuildExpr(expression))
	if err := value.Validate(cue.Concrete(true)); err != nil {
		return fmt.Errorf("configuration: %w", firstOf(err))
	}
	return nil
}

// firstOf gives the first of the errors that CUE has collected.
func firstOf(err error) error {
	if all := errors.Errors(err); len(all) > 0 {
		return all[0]
	}
	return err
}
