package registry

import (
	"context"
	"time"

	"mangohill.example/mangohill/controlapi"
	"mangohill.example/mangohill/types"
)

// tickInterval is the time between checks for silent targets.
const tickInterval = 250 * time.Millisecond

// Run finds silent targets and exchanges refreshes with the peers until ctx
// ends.
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
}

func (r *Registry) refreshPeers(ctx context.Context) {
	args := RefreshArgs{From: r.options.Name, Refreshes: r.takeFresh()}
	if len(args.Refreshes) == 0 {
		return
	}
	for _, peer := range r.options.Peers() {
		go r.refreshPeer(ctx, peer, args)
	}
}

func (r *Registry) takeFresh() []Refresh {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]Refresh, 0, len(r.fresh))
	for _, f := range r.fresh {
		out = append(out, f)
	}
	clear(r.fresh)
	return out
}

func (r *Registry) refreshPeer(ctx context.Context, peer Peer, args RefreshArgs) {
	count(r.options.Metrics.Refreshes, 1)
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var reply RefreshReply
	if err := r.options.Call(callCtx, peer.Address, methodRefresh, &args, &reply); err != nil {
		return // The next refresh repeats it.
	}
	for _, name := range reply.Want {
		t, ok := r.target(name)
		if !ok {
			continue
		}
		announce := controlapi.AnnounceArgs{From: r.options.Name, Target: t, Withdrawn: t.State == types.TargetWithdrawn}
		if err := r.options.Call(callCtx, peer.Address, methodAnnounce, &announce, new(controlapi.AnnounceReply)); err != nil {
			return // The peer asks again at the next refresh.
		}
	}
}

func (r *Registry) target(name string) (types.Target, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.table.Get(name)
}

// Pull reads the whole table of a peer. Entry hosts call it when a peer becomes
// live.
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

// MarkSynced records that there is no peer to read a table from.
func (r *Registry) MarkSynced() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.synced = true
}
