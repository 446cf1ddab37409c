package controlapi

// MaxKeptResponseBytes limits the total size of header and body of a response that is
// kept for resends of a claimed request.
const MaxKeptResponseBytes = 4096

// ClaimArgs claims the idempotency key of a request before the request is sent. Token
// identifies the claimant: a repeated call with the same token gets the same reply.
type ClaimArgs struct {
	Service string
	Key     string
	Token   string
	// Digest is a hash of method, path and body. A claim of the same key with
	// another digest is rejected.
	Digest uint64
}

// ClaimState is the state of the claim of an idempotency key.
type ClaimState string

// States of a claim.
const (
	// ClaimGranted allows the claimant to send the request once.
	ClaimGranted ClaimState = "granted"
	// ClaimHeld means that another token holds the claim and has not resolved it.
	ClaimHeld ClaimState = "held"
	// ClaimResolved means that the request ended. The reply contains its result.
	ClaimResolved ClaimState = "resolved"
	// ClaimMismatch means that the key was claimed for a request with another digest.
	ClaimMismatch ClaimState = "mismatch"
)

// ClaimReply is the reply to ClaimArgs. Result is set if the claim is resolved.
type ClaimReply struct {
	State  ClaimState
	Result ClaimResult
}

// ClaimResult is the recorded result of a claimed request. Kept is false if the
// response was too large to keep.
type ClaimResult struct {
	Outcome string            `cbor:"1,keyasint,omitempty"`
	Kept    bool              `cbor:"2,keyasint,omitempty"`
	Status  int               `cbor:"3,keyasint,omitempty"`
	Header  map[string]string `cbor:"4,keyasint,omitempty"`
	Body    []byte            `cbor:"5,keyasint,omitempty"`
}

// ResolveArgs records the result of a claimed request. A claim resolved as not-run is
// released, and its key may be claimed again.
type ResolveArgs struct {
	Service string
	Key     string
	Token   string
	Result  ClaimResult
}

// ResolveReply is the empty reply to ResolveArgs.
type ResolveReply struct{}
