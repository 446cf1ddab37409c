package node

import (
	"context"

	"mangohill.example/mangohill/control"
	"mangohill.example/mangohill/replica"
)

// leadershipBuffer is the number of leadership changes that are buffered for the
// control service. When the buffer is full the adapter blocks.
const leadershipBuffer = 4

// replicaAdapter adapts a replica to the interface control.Replica.
type replicaAdapter struct {
	*replica.Replica
	name       string
	leadership chan control.Leadership
}

func newReplicaAdapter(name string, r *replica.Replica) *replicaAdapter {
	return &replicaAdapter{Replica: r, name: name, leadership: make(chan control.Leadership, leadershipBuffer)}
}

// run forwards leadership changes until ctx ends or the replica stops.
func (a *replicaAdapter) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case change, ok := <-a.Replica.Leadership():
			if !ok || !a.forward(ctx, change) {
				return
			}
		}
	}
}

func (a *replicaAdapter) forward(ctx context.Context, change replica.Leadership) bool {
	select {
	case a.leadership <- control.Leadership{Term: change.Term, Leading: change.Leading}:
		return true
	case <-ctx.Done():
		return false
	}
}

// Leadership implements control.Replica.
func (a *replicaAdapter) Leadership() <-chan control.Leadership { return a.leadership }

// Status implements control.Replica.
func (a *replicaAdapter) Status() control.Status {
	status := a.Replica.Status()
	return control.Status{
		Name:    a.name,
		Role:    status.Role,
		Term:    status.Term,
		Leader:  status.Leader,
		Commit:  status.Commit,
		Applied: status.Applied,
		Members: status.Members,
	}
}
