package membership

import (
	"hash/fnv"

	"github.com/fxamacker/cbor/v2"

	"mangohill.example/mangohill/kind"
)

// MaxDatagram is the size limit of a heartbeat in bytes. Longer ones leave out
// loads.
const MaxDatagram = 1200

// Heartbeat is one datagram of a member.
type Heartbeat struct {
	_             struct{} `cbor:",toarray"`
	Name          string
	Peers         string
	Callers       string
	Beat          uint64
	Token         uint64
	Leaving       bool
	ConfigVersion uint64
	Heard         []Heard
	Loads         []ServiceLoad
}

// Heard is the newest heartbeat that the sender has of another member.
type Heard struct {
	_    struct{} `cbor:",toarray"`
	ID   uint32
	Beat uint64
}

// ServiceLoad is the load of one service on the sender.
type ServiceLoad struct {
	_       struct{} `cbor:",toarray"`
	Service string
	Slots   int
	Free    int
	Queued  int
}

// beatBits is the number of low bits of a beat that count heartbeats; the bits
// above hold the incarnation.
const beatBits = 28

// BaseBeat returns the beat before the first one of an incarnation, which is a
// number that grows with each start of the process, such as the Unix time in
// seconds.
func BaseBeat(incarnation uint64) uint64 { return incarnation << beatBits }

// Incarnation returns the incarnation of the sender.
func (h *Heartbeat) Incarnation() uint64 { return h.Beat >> beatBits }

func memberID(name string) uint32 {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(name)) // A hash never fails.
	return hash.Sum32()
}

// Encode returns the datagram of h, shortened to MaxDatagram.
func (h Heartbeat) Encode() ([]byte, error) {
	for {
		data, err := cbor.Marshal(h)
		if err != nil {
			return nil, kind.Errorf(kind.Internal, "heartbeat of %q: %w", h.Name, err)
		}
		if len(data) <= MaxDatagram || len(h.Loads) == 0 {
			return data, nil
		}
		h.Loads = h.Loads[:len(h.Loads)/2]
	}
}

// Decode reads a datagram.
func Decode(data []byte) (Heartbeat, error) {
	var h Heartbeat
	if err := cbor.Unmarshal(data, &h); err != nil {
		return Heartbeat{}, kind.Errorf(kind.BadRequest, "heartbeat of %d bytes: %w", len(data), err)
	}
	if h.Name == "" || h.Beat == 0 {
		return Heartbeat{}, kind.Errorf(kind.BadRequest, "heartbeat of %d bytes: no name or beat", len(data))
	}
	return h, nil
}
