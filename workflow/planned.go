package workflow

// Planned is the state as a leader has decided it. Whatever changes it is part of a batch
// for the log, so that the other members come to hold the same.
type Planned struct{ state *State }

// NewPlanned returns the plan of a leader that starts from the committed state, which it
// owns from then on.
func NewPlanned(state *State) *Planned { return &Planned{state} }

// View returns the state with all decisions applied.
func (p *Planned) View() *View { return &p.state.View }

// Begin sets the state's time, in milliseconds since the Unix epoch, and returns the batch
// that does so in the log.
func (p *Planned) Begin(nowMs int64) *Batch {
	p.state.AdvanceTime(nowMs)
	return &Batch{NowMs: p.state.NowMs()}
}

// Add applies an operation and adds it to the batch that was begun last. One that the state
// refuses is not added; its error is returned.
func (p *Planned) Add(to *Batch, op Op) error {
	if err := p.state.Apply(&op); err != nil {
		return err
	}
	to.Ops = append(to.Ops, op)
	return nil
}
