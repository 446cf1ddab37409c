package workflow

import (
	"maps"
	"slices"

	"mangohill.example/mangohill/kind"
)

const (
	// maxEvacuations bounds the failure domains that are evacuated at a time.
	maxEvacuations = 64
	// MaxDomainBytes is the longest name of a failure domain.
	MaxDomainBytes = 255
)

// SetEvacuation records an operator's order to start nothing on the workers of a failure
// domain or, if Evacuated is not set, its withdrawal. A repeated order changes nothing.
type SetEvacuation struct {
	Domain    string `cbor:"1,keyasint"`
	Evacuated bool   `cbor:"2,keyasint,omitempty"`
}

// Evacuation is an order to evacuate a failure domain that is in force.
type Evacuation struct {
	_      struct{} `cbor:",toarray"`
	Domain string
	// SinceMs is when the order was recorded, in milliseconds since the Unix epoch.
	SinceMs int64
}

// Evacuated reports whether a failure domain is evacuated.
func (v *View) Evacuated(domain string) bool {
	_, evacuated := v.evacuatedSince[domain]
	return evacuated
}

// Evacuations returns the evacuations in force, sorted by domain.
func (v *View) Evacuations() []Evacuation {
	var list []Evacuation
	for _, domain := range slices.Sorted(maps.Keys(v.evacuatedSince)) {
		list = append(list, Evacuation{Domain: domain, SinceMs: v.evacuatedSince[domain]})
	}
	return list
}

func (s *State) setEvacuation(op *SetEvacuation) error {
	switch {
	case op.Domain == "" || len(op.Domain) > MaxDomainBytes:
		return kind.Errorf(kind.BadRequest, "the name of a failure domain has 1 to %d bytes, got %d", MaxDomainBytes, len(op.Domain))
	case !op.Evacuated:
		delete(s.evacuatedSince, op.Domain)
	case s.Evacuated(op.Domain):
	case len(s.evacuatedSince) >= maxEvacuations:
		return kind.Errorf(kind.Overloaded, "%d failure domains are evacuated already", maxEvacuations)
	default:
		s.evacuatedSince[op.Domain] = s.nowMs
	}
	return nil
}
