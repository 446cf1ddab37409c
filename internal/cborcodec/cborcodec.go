// Package cborcodec holds the modes in which replicated state is encoded in CBOR
// (RFC 8949): deterministic, so that equal states have equal snapshots.
package cborcodec

import "github.com/fxamacker/cbor/v2"

// maxElements bounds the arrays and maps of a snapshot.
const maxElements = 4 << 20

// Modes of encoding and decoding.
var (
	Encode = mustEncMode()
	Decode = mustDecMode()
)

func mustEncMode() cbor.EncMode {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

func mustDecMode() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: maxElements, MaxMapPairs: maxElements}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}
