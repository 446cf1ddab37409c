package node

import (
	"context"

	"mangohill.example/mangohill/membership"
	"mangohill.example/mangohill/registry"
)

// repairCapacity is the number of peers whose tables may wait to be read. More
// are dropped: the refreshes between entry hosts bring what they hold.
const repairCapacity = 16

// noteReturn asks for the table of a peer that became live: each of the two may
// have missed what targets told the other.
func (e *Entry) noteReturn(change membership.Change) {
	if change.Peer.State != membership.Live || change.Previous == membership.Suspect {
		return
	}
	e.askRepair(registry.Peer{Name: change.Peer.Name, Address: change.Peer.PeerAddress})
}

// resumed asks for the tables of all peers after this process was held up.
func (e *Entry) resumed() {
	for _, peer := range e.registryPeers() {
		e.askRepair(peer)
	}
}

func (e *Entry) askRepair(peer registry.Peer) {
	select {
	case e.repairs <- peer:
	default:
	}
}

// repairTargets reads the tables that noteReturn and resumed ask for.
func (e *Entry) repairTargets(ctx context.Context) {
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
