package registry

import (
	"encoding/binary"
	"hash/fnv"
	"time"

	"mangohill.example/mangohill/controlapi"
	"mangohill.example/mangohill/types"
)

// RefreshArgs is sent to each peer at every refresh interval. It names the
// targets that repeated their announcement without a change.
type RefreshArgs struct {
	From string
	// Packed holds five bytes for each target: four for its refresh ID and one
	// for its requests in flight, at most 255. This short form fits 1,300
	// targets into the traffic budget of a host.
	Packed []byte
}

// RefreshReply names the refresh IDs that the receiver does not know; the
// sender then announces their targets.
type RefreshReply struct {
	Want []uint32
}

// packedBytes is the size of one target in RefreshArgs.Packed.
const packedBytes = 5

// refreshID hashes the name, incarnation and state of a target.
func refreshID(t types.Target) uint32 {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(t.Name))                                          // Hashes never return errors.
	_, _ = hash.Write(binary.BigEndian.AppendUint64([]byte{0}, t.Incarnation)) // As above.
	_, _ = hash.Write([]byte(t.State))                                         // As above.
	return hash.Sum32()
}

// pack appends the packed form of a target to out.
func pack(out []byte, t types.Target) []byte {
	out = binary.BigEndian.AppendUint32(out, refreshID(t))
	return append(out, byte(min(t.InFlight, 255)))
}

// TargetsArgs requests the whole table.
type TargetsArgs struct{}

// Record is a target with the time since its last announcement, in
// milliseconds.
type Record struct {
	Target types.Target
	AgeMs  int64
}

// TargetsReply holds the whole table.
type TargetsReply struct {
	Records []Record
}

// PeerService is the part of the net/rpc service "Peer" that the registry
// implements. It may be embedded in the type that is registered under that
// name.
type PeerService struct {
	registry *Registry
}

// Announce applies an announcement that another entry host received.
func (s *PeerService) Announce(args *controlapi.AnnounceArgs, _ *controlapi.AnnounceReply) error {
	_, err := s.registry.apply(args.Target, args.Withdrawn)
	return err
}

// Refresh applies the repeated announcements that another entry host received.
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

// PeerService returns the net/rpc service for the other entry hosts.
func (r *Registry) PeerService() *PeerService { return &PeerService{registry: r} }

const (
	methodAnnounce = "Peer.Announce"
	methodRefresh  = "Peer.Refresh"
	methodTargets  = "Peer.Targets"
	// callTimeout limits one call to a peer.
	callTimeout = 500 * time.Millisecond
)
