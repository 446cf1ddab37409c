package types

// TargetState is the state of a target.
type TargetState string

// States of a target. A target announces only ready and leaving; entry hosts derive
// silent and withdrawn.
const (
	TargetReady     TargetState = "ready"
	TargetLeaving   TargetState = "leaving"
	TargetSilent    TargetState = "silent"
	TargetWithdrawn TargetState = "withdrawn"
)

// Target is an announcement of one server process of a service. Slots and Connections
// bound the requests and connections that all entry hosts together may open to it;
// zero Connections means no bound. InFlight is the number of requests that it executes.
type Target struct {
	Name          string      `json:"target" cbor:"1,keyasint"`
	Service       string      `json:"service" cbor:"2,keyasint"`
	Address       string      `json:"address" cbor:"3,keyasint"`
	FailureDomain string      `json:"failure_domain" cbor:"4,keyasint,omitempty"`
	Incarnation   uint64      `json:"incarnation" cbor:"5,keyasint"`
	Slots         int         `json:"slots" cbor:"6,keyasint"`
	Connections   int         `json:"connections" cbor:"7,keyasint"`
	State         TargetState `json:"state" cbor:"8,keyasint"`
	InFlight      int         `json:"in_flight" cbor:"9,keyasint,omitempty"`
}
