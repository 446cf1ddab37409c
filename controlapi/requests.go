package controlapi

// MaxKeptResponseBytes bounds the header and body of an answer that is kept for the
// resends of a claimed request, in bytes.
const MaxKeptResponseBytes = 4096

// ClaimArgs claims a non-idempotent request by its key before it is sent.
// Token identifies the claimant: a repeat of the call with the same token gets
// the same answer.
type ClaimArgs struct {
	Service string
	Key     string
	Token   string
	// Digest is a hash of method, path and body. The same key with another
	// digest is refused.
	Digest uint64
}

// ClaimState is the state of a claimed key.
type ClaimState string

// States of a claim.
const (
	// ClaimGranted: the caller of Claim may send the request, once.
	ClaimGranted ClaimState = "granted"
	// ClaimHeld: another token holds the claim and has not resolved it.
	ClaimHeld ClaimState = "held"
	// ClaimResolved: the request ended; the reply holds what was kept of it.
	ClaimResolved ClaimState = "resolved"
	// ClaimMismatch: the key was claimed for a request with another digest.
	ClaimMismatch ClaimState = "mismatch"
)

// ClaimReply answers a claim.
type ClaimReply struct {
	State  ClaimState
	Result ClaimResult
}

// ClaimResult is the recorded end of a claimed request. Kept is false when the
// answer was too large to keep.
type ClaimResult struct {
	Outcome string            `cbor:"1,keyasint,omitempty"`
	Kept    bool              `cbor:"2,keyasint,omitempty"`
	Status  int               `cbor:"3,keyasint,omitempty"`
	Header  map[string]string `cbor:"4,keyasint,omitempty"`
	Body    []byte            `cbor:"5,keyasint,omitempty"`
}

// ResolveArgs records the end of a claimed request. A claim resolved as not-run
// is released: its key may be claimed again.
type ResolveArgs struct {
	Service string
	Key     string
	Token   string
	Result  ClaimResult
}

// ResolveReply answers a ResolveArgs.
type ResolveReply struct{}
