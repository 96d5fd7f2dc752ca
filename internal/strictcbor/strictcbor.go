// Package strictcbor provides the CBOR encoding that all formats of the project share: a deterministic encoder, and a
// strict decoder that rejects duplicate map keys, indefinite lengths and tags. It must not depend on
// any particular format.
package strictcbor

import "github.com/fxamacker/cbor/v2"

// Modes returns an encoder and a decoder; limits may restrict the decoder further.
func Modes(limits cbor.DecOptions) (cbor.EncMode, cbor.DecMode) {
	encoder, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err) // the options are constants
	}
	limits.DupMapKey, limits.IndefLength, limits.TagsMd =
		cbor.DupMapKeyEnforcedAPF, cbor.IndefLengthForbidden, cbor.TagsForbidden
	decoder, err := limits.DecMode()
	if err != nil {
		panic(err)
	}
	return encoder, decoder
}
