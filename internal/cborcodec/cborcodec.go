// Package cborcodec holds the modes for encoding replicated state in CBOR (RFC
// 8949). The encoding is deterministic, so that equal states have equal snapshots.
package cborcodec

import "github.com/fxamacker/cbor/v2"

// maxElements is the largest number of elements of an array, or of pairs of a map,
// that Decode accepts in a snapshot.
const maxElements = 4 << 20

// Encode and Decode are the modes for replicated state.
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
	// The encoder does not check that strings are UTF-8. What one member encodes, each must
	// decode.
	mode, err := cbor.DecOptions{MaxArrayElements: maxElements, MaxMapPairs: maxElements, UTF8: cbor.UTF8DecodeInvalid}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}
