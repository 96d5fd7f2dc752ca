// Package validate checks operators' configurations: their form by a CUE schema, and references between their parts
// by config.Config.Check. It is separate from package config because only control processes need CUE.
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

// checksPerContext is how many checks share a CUE context. It is bounded because a context never frees what it has
// built.
const checksPerContext = 32

//go:embed schema.cue
var schemaText string

// Validator checks configurations one at a time. It is safe for concurrent use.
type Validator struct {
	mu         sync.Mutex
	context    *cue.Context
	schema     cue.Value
	checkCount int
}

// Parse decodes and checks a configuration. The error names the field and the cause.
func (v *Validator) Parse(body []byte) (*config.Config, error) {
	if err := v.checkSchema(body); err != nil {
		return nil, err
	}
	c, err := config.Decode(body)
	if err != nil {
		return nil, err
	}
	return c, c.Check()
}

func (v *Validator) checkSchema(body []byte) error {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.checkCount%checksPerContext == 0 {
		v.context = cuecontext.New()
		v.schema = v.context.CompileString(schemaText, cue.Filename("schema.cue")).LookupPath(cue.ParsePath("#Config"))
	}
	v.checkCount++
	expression, err := json.Extract("configuration", body)
	if err != nil {
		return fmt.Errorf("configuration: %w", firstError(err))
	}
	value := v.schema.Unify(v.context.BuildExpr(expression))
	if err := value.Validate(cue.Concrete(true)); err != nil {
		return fmt.Errorf("configuration: %w", firstError(err))
	}
	return nil
}

// firstError returns the first of the errors that CUE has collected.
func firstError(err error) error {
	if collected := errors.Errors(err); len(collected) > 0 {
		return collected[0]
	}
	return err
}
