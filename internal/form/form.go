// Package form has the strict reading and the one way of writing CBOR that all of the project's forms share. It owns what no form may hold:
// doubled keys, lengths left open, tags. It must never know what is in one.
package form

import "github.com/fxamacker/cbor/v2"

// Modes gives a writer and a reader; limits may bound the reader further.
func Modes(limits cbor.DecOptions) (cbor.EncMode, cbor.DecMode) {
	e, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err) // the options are constants
	}
	limits.DupMapKey, limits.IndefLength, limits.TagsMd = cbor.DupMapKeyEnforcedAPF, cbor.IndefLengthForbidden, cbor.TagsForbidden
	d, err := limits.DecMode()
	if err != nil {
		panic(err)
	}
	return e, d
}
