package registry

import (
	"time"

	"mangohill.example/mangohill/controlapi"
	"mangohill.example/mangohill/types"
)

// Refresh says that a target repeated its announcement without a change.
type Refresh struct {
	Target      string
	Incarnation uint64
	State       types.TargetState
	InFlight    int
}

// RefreshArgs is the message that an entry host sends to each peer at every
// refresh interval.
type RefreshArgs struct {
	From      string
	Refreshes []Refresh
}

// RefreshReply names the targets of which the callee holds something else; the
// caller announces them.
type RefreshReply struct {
	Want []string
}

// TargetsArgs asks for the whole table.
type TargetsArgs struct{}

// Record is a target with the time since it was last heard of, in milliseconds.
type Record struct {
	Target types.Target
	AgeMs  int64
}

// TargetsReply holds the whole table.
type TargetsReply struct {
	Records []Record
}

// PeerService is the registry's part of the net/rpc service "Peer". It may be
// embedded in the type that is registered under that name.
type PeerService struct {
	registry *Registry
}

// Announce takes in an announcement that another entry host received.
func (s *PeerService) Announce(args *controlapi.AnnounceArgs, _ *controlapi.AnnounceReply) error {
	_, err := s.registry.apply(args.Target, args.Withdrawn)
	return err
}

// Refresh takes in the repeated announcements that another entry host received.
func (s *PeerService) Refresh(args *RefreshArgs, reply *RefreshReply) error {
	r := s.registry
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.options.Now()
	for _, refresh := range args.Refreshes {
		if !r.table.Refresh(now, refresh) {
			reply.Want = append(reply.Want, refresh.Target)
		}
	}
	return nil
}

// Targets returns the whole table.
func (s *PeerService) Targets(_ *TargetsArgs, reply *TargetsReply) error {
	r := s.registry
	r.mu.Lock()
	defer r.mu.Unlock()
	reply.Records = r.table.Export(r.options.Now())
	return nil
}

// PeerService returns the service that answers the other entry hosts.
func (r *Registry) PeerService() *PeerService { return &PeerService{registry: r} }

const (
	methodAnnounce = "Peer.Announce"
	methodRefresh  = "Peer.Refresh"
	methodTargets  = "Peer.Targets"
	// callTimeout bounds one call to a peer.
	callTimeout = 500 * time.Millisecond
)
