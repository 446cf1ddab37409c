package node

import (
	"context"

	"mangohill.example/mangohill/control"
	"mangohill.example/mangohill/replica"
)

// leadershipCapacity is the number of leadership changes that wait for the
// control service. When it is full the adapter waits.
const leadershipCapacity = 4

// replicaAdapter presents a replica to the control service.
type replicaAdapter struct {
	*replica.Replica
	name       string
	leadership chan control.Leadership
}

func newReplicaAdapter(name string, r *replica.Replica) *replicaAdapter {
	return &replicaAdapter{Replica: r, name: name, leadership: make(chan control.Leadership, leadershipCapacity)}
}

// run passes on the changes of leadership until ctx ends.
func (a *replicaAdapter) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case change, ok := <-a.Replica.Leadership():
			if !ok || !a.pass(ctx, change) {
				return
			}
		}
	}
}

func (a *replicaAdapter) pass(ctx context.Context, change replica.Leadership) bool {
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
