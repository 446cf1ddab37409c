package replica

import (
	"context"
	"time"

	"mangohill.example/mangohill/consensus"
	"mangohill.example/mangohill/kind"
	"mangohill.example/mangohill/storage"
)

// runJoining requests admission under a new random ID until it is granted, and
// then runs the replica as a learner with an empty log.
func (r *Replica) runJoining() {
	defer r.group.Done()
	id := consensus.MemberID(randomID())
	r.options.Logger.Info().Stringer("member", id).Msg("the data folder is empty, asking for admission")
	cluster, ok := r.joinCluster(id)
	if !ok {
		r.shutDown(nil)
		return
	}
	identity := storage.Identity{Cluster: cluster, Member: id, Name: r.options.Name}
	loaded := storage.LoadedState{}
	err := r.store.Create(identity, consensus.HardState{}, nil)
	for storage.IsFull(err) {
		if loaded, ok, err = r.awaitSpace(err); !ok {
			r.shutDown(nil)
			return
		}
		if err == nil && loaded.Identity == nil {
			err = r.store.Create(identity, consensus.HardState{}, nil)
		}
	}
	if loaded.Identity == nil {
		loaded.Identity = &identity
	}
	if err == nil {
		err = r.run(loaded)
	}
	if err != nil {
		r.shutDown(err)
	}
}

// joinCluster requests admission at the control addresses in turn, and at the
// leader's address if a reply names it. It returns false if the replica is
// stopped.
func (r *Replica) joinCluster(id consensus.MemberID) (storage.ClusterID, bool) {
	hint := ""
	for attempt := 0; ; attempt++ {
		address := hint
		if address == "" && len(r.options.ControlAddresses) > 0 {
			address = r.options.ControlAddresses[attempt%len(r.options.ControlAddresses)]
		}
		hint = ""
		if address != "" && address != r.options.Address {
			cluster, err := r.requestAdmission(address, id)
			if err == nil {
				return cluster, true
			}
			hint = kind.LeaderHint(err)
			r.options.Logger.Debug().Err(err).Str("peer", address).Msg("admission not granted")
		}
		if hint == "" && !r.waitBeforeRetry() {
			return 0, false
		}
	}
}

// requestAdmission makes one Join call and returns the ID of the cluster.
func (r *Replica) requestAdmission(address string, id consensus.MemberID) (storage.ClusterID, error) {
	ctx, cancel := context.WithTimeout(r.stopping, 2*r.options.electionTimeout())
	defer cancel()
	args := JoinArgs{Member: id, Name: r.options.Name, Address: r.options.Address}
	reply := new(JoinReply)
	if err := r.options.Caller.Call(ctx, address, joinMethod, &args, reply); err != nil {
		return 0, err
	}
	return reply.Cluster, nil
}

// waitBeforeRetry waits for one heartbeat interval. It returns false if the
// replica is stopped.
func (r *Replica) waitBeforeRetry() bool { return r.waitTicks(r.options.HeartbeatTicks) }

func (r *Replica) waitTicks(ticks int) bool {
	timer := time.NewTimer(time.Duration(ticks) * r.options.Tick)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.stopping.Done():
		return false
	}
}
