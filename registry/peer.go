package registry

import (
	"encoding/binary"
	"hash/fnv"
	"time"

	"mangohill.example/mangohill/controlapi"
	"mangohill.example/mangohill/types"
)

// RefreshArgs is the message that an entry host sends to each peer at every
// refresh interval. It names the targets that repeated their announcement
// without a change.
type RefreshArgs struct {
	From string
	// Packed holds, for each target, the four bytes of its refresh ID and one byte
	// with its requests in flight, at most 255. The short form carries 1,300
	// targets within the budget of a host.
	Packed []byte
}

// RefreshReply names the refresh IDs that the callee does not know; the caller
// announces their targets.
type RefreshReply struct {
	Want []uint32
}

// packedBytes is the size in bytes of one target in Packed.
const packedBytes = 5

// refreshID identifies a target, its incarnation and its state.
func refreshID(t types.Target) uint32 {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(t.Name))                                          // A hash never fails.
	_, _ = hash.Write(binary.BigEndian.AppendUint64([]byte{0}, t.Incarnation)) // As above.
	_, _ = hash.Write([]byte(t.State))                                         // As above.
	return hash.Sum32()
}

// pack appends the refresh of a target.
func pack(out []byte, t types.Target) []byte {
	out = binary.BigEndian.AppendUint32(out, refreshID(t))
	return append(out, byte(min(t.InFlight, 255)))
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
	for packed := args.Packed; len(packed) >= packedBytes; packed = packed[packedBytes:] {
		id := binary.BigEndian.Uint32(packed)
		if !r.table.Refresh(now, id, int(packed[4])) {
			reply.Want = append(reply.Want, id)
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
