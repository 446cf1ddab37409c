package interference

import (
	"maps"
	"slices"
)

// Clone returns a copy that shares nothing with p. What-if questions use it: Image adds
// the images that it does not know, of which a model holds only a limited number.
func (p *PairModel) Clone() *PairModel {
	c := &PairModel{images: maps.Clone(p.images), losses: make([][]loss, len(p.losses)), shareSums: slices.Clone(p.shareSums)}
	for victim := range p.losses {
		c.losses[victim] = slices.Clone(p.losses[victim])
	}
	return c
}
