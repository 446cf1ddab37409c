package registry

import (
	"context"
	"time"

	"mangohill.example/mangohill/controlapi"
	"mangohill.example/mangohill/kind"
	"mangohill.example/mangohill/types"
)

// tickInterval is the time between checks for silent targets.
const tickInterval = 250 * time.Millisecond

// Run detects silent targets and sends refreshes to the peers until ctx ends.
func (r *Registry) Run(ctx context.Context) {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	refresh := time.NewTicker(refreshInterval)
	defer refresh.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			r.tick()
		case <-refresh.C:
			r.refreshPeers(ctx)
		}
	}
}

func (r *Registry) tick() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, t := range r.table.Tick(r.options.Now()) {
		r.publish(t.Name)
	}
	for name := range r.confirmed {
		if _, ok := r.table.Get(name); !ok {
			delete(r.confirmed, name)
		}
	}
}

func (r *Registry) refreshPeers(ctx context.Context) {
	args := RefreshArgs{From: r.options.Name, Packed: r.takeRefreshed()}
	if len(args.Packed) == 0 {
		return
	}
	for _, peer := range r.options.Peers() {
		go r.refreshPeer(ctx, peer, args)
	}
}

func (r *Registry) takeRefreshed() []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []byte
	for name := range r.refreshed {
		if t, ok := r.table.Get(name); ok {
			out = pack(out, t)
		}
	}
	clear(r.refreshed)
	return out
}

func (r *Registry) refreshPeer(ctx context.Context, peer Peer, args RefreshArgs) {
	count(r.options.Metrics.Refreshes, 1)
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var reply RefreshReply
	if err := r.options.Call(ctx, peer.Address, methodRefresh, &args, &reply); err != nil {
		return // The next refresh repeats it.
	}
	for _, id := range reply.Want {
		if !r.announceTo(ctx, peer, id) {
			return // The peer requests the rest at the next refresh.
		}
	}
}

// announceTo announces a target that the peer requested. If the peer has a
// newer record, its whole table is read.
func (r *Registry) announceTo(ctx context.Context, peer Peer, id uint32) bool {
	r.mu.Lock()
	t, ok := r.table.ByRefreshID(id)
	r.mu.Unlock()
	if !ok {
		return true // The target has changed; the change was replicated on its own.
	}
	announce := controlapi.AnnounceArgs{From: r.options.Name, Target: t, Withdrawn: t.State == types.TargetWithdrawn}
	err := r.options.Call(ctx, peer.Address, methodAnnounce, &announce, new(controlapi.AnnounceReply))
	if k := kind.Of(err); k == kind.StaleIncarnation || k == kind.InvalidTransition {
		err = r.Pull(ctx, peer)
	}
	return err == nil
}

func (r *Registry) target(name string) (types.Target, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.table.Get(name)
}

// Pull reads and applies the whole table of a peer. Entry hosts call it when a
// peer becomes live. It returns the error of the call to the peer.
func (r *Registry) Pull(ctx context.Context, peer Peer) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var reply TargetsReply
	if err := r.options.Call(ctx, peer.Address, methodTargets, &TargetsArgs{}, &reply); err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.options.Now()
	for _, record := range reply.Records {
		if r.table.Import(now, record) {
			r.publish(record.Target.Name)
		}
	}
	r.synced = true
	return nil
}

// MarkSynced marks the registry as synced because no peer is live to read a
// table from.
func (r *Registry) MarkSynced() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.synced = true
}
