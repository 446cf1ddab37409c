package replica

import (
	"context"
	"time"

	"mangohill.example/mangohill/consensus"
	"mangohill.example/mangohill/kind"
	"mangohill.example/mangohill/storage"
)

// runJoining asks for admission under a new random ID until it succeeds, and
// then runs the replica as a learner with an empty log.
func (r *Replica) runJoining() {
	defer r.group.Done()
	id := consensus.MemberID(randomID())
	r.options.Logger.Info().Stringer("member", id).Msg("the data folder is empty, asking for admission")
	cluster, ok := r.join(id)
	if !ok {
		r.finish(nil)
		return
	}
	identity := storage.Identity{Cluster: cluster, Member: id, Name: r.options.Name}
	err := r.store.Create(identity, consensus.HardState{}, nil)
	if err == nil {
		err = r.run(storage.LoadedState{Identity: &identity})
	}
	if err != nil {
		r.finish(err)
	}
}

// join asks the control addresses in turn, the leader first where one is named.
// It returns false when the replica is stopped.
func (r *Replica) join(id consensus.MemberID) (storage.ClusterID, bool) {
	hint := ""
	for turn := 0; ; turn++ {
		address := hint
		if address == "" && len(r.options.ControlAddresses) > 0 {
			address = r.options.ControlAddresses[turn%len(r.options.ControlAddresses)]
		}
		hint = ""
		if address != "" && address != r.options.Address {
			cluster, err := r.askToJoin(address, id)
			if err == nil {
				return cluster, true
			}
			hint = kind.LeaderHint(err)
			r.options.Logger.Debug().Err(err).Str("peer", address).Msg("admission not granted")
		}
		if hint == "" && !r.pause() {
			return 0, false
		}
	}
}

func (r *Replica) askToJoin(address string, id consensus.MemberID) (storage.ClusterID, error) {
	ctx, cancel := context.WithTimeout(r.stopping, 2*r.options.electionTimeout())
	defer cancel()
	args := JoinArgs{Member: id, Name: r.options.Name, Address: r.options.Address}
	reply := new(JoinReply)
	if err := r.options.Caller.Call(ctx, address, joinMethod, &args, reply); err != nil {
		return 0, err
	}
	return reply.Cluster, nil
}

// pause waits between attempts, and returns false when the replica is stopped.
func (r *Replica) pause() bool {
	timer := time.NewTimer(time.Duration(r.options.HeartbeatTicks) * r.options.Tick)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.stopping.Done():
		return false
	}
}
