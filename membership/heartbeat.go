package membership

import (
	"hash/fnv"

	"github.com/fxamacker/cbor/v2"

	"mangohill.example/mangohill/kind"
)

// MaxDatagram is the size limit of an encoded heartbeat in bytes. Longer
// heartbeats omit some of the loads.
const MaxDatagram = 1200

// Heartbeat is the content of one datagram. Peers and Callers are the addresses
// of the listeners of the sender, host:port. Beat grows with each heartbeat; its
// high bits hold the sender's incarnation.
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

// Heard is the newest heartbeat of another member that the sender knows of.
type Heard struct {
	_    struct{} `cbor:",toarray"`
	ID   uint32
	Beat uint64
}

// ServiceLoad is the load of one service on the sender: its slots, the free
// ones, and the queued requests.
type ServiceLoad struct {
	_       struct{} `cbor:",toarray"`
	Service string
	Slots   int
	Free    int
	Queued  int
}

// beatBits is the number of low bits of a beat that count heartbeats; the
// higher bits hold the incarnation.
const beatBits = 28

// BaseBeat returns the beat that precedes the first heartbeat of an
// incarnation. The incarnation is a number that grows with each start of the
// process, such as the Unix time in seconds.
func BaseBeat(incarnation uint64) uint64 { return incarnation << beatBits }

// Incarnation returns the incarnation of the sender.
func (h *Heartbeat) Incarnation() uint64 { return h.Beat >> beatBits }

func memberID(name string) uint32 {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(name)) // Hashes never return errors.
	return hash.Sum32()
}

// Encode returns the encoded heartbeat, without some of the loads if it would
// exceed MaxDatagram. Errors are of kind Internal.
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

// Decode decodes a datagram. Errors are of kind BadRequest.
func Decode(data []byte) (Heartbeat, error) {
	var h Heartbeat
	if err := cbor.Unmarshal(data, &h); err != nil {
		return Heartbeat{}, kind.Errorf(kind.BadRequest, "heartbeat of %d bytes: %w", len(data), err)
	}
	if h.Name == "" || h.Beat == 0 {
		return Heartbeat{}, kind.Errorf(kind.BadRequest, "heartbeat of %d bytes: name or beat is missing", len(data))
	}
	return h, nil
}
