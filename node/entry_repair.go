package node

import (
	"context"

	"mangohill.example/mangohill/membership"
	"mangohill.example/mangohill/registry"
)

// repairCapacity is the number of peers that may be queued for a repair. Further ones
// are dropped: the periodic refreshes between entry hosts bring their targets too.
const repairCapacity = 16

// repairAfterReturn requests the targets of a peer that became live: each of the two
// hosts may have missed announcements that the other received.
func (e *Entry) repairAfterReturn(change membership.Change) {
	if change.Peer.State != membership.Live || change.Previous == membership.Suspect {
		return
	}
	e.requestRepair(registry.Peer{Name: change.Peer.Name, Address: change.Peer.PeerAddress})
}

// repairAfterPause requests the targets of all peers after this process was suspended.
func (e *Entry) repairAfterPause() {
	for _, peer := range e.registryPeers() {
		e.requestRepair(peer)
	}
}

func (e *Entry) requestRepair(peer registry.Peer) {
	select {
	case e.repairs <- peer:
	default:
	}
}

// runRepairs reads the targets of the peers for which a repair was requested.
func (e *Entry) runRepairs(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case peer := <-e.repairs:
			if err := e.targets.Pull(ctx, peer); err != nil {
				e.log.Warn().Err(err).Str("peer", peer.Name).Msg("targets not read")
			}
		}
	}
}
