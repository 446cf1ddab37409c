package burn

import (
	"slices"
	"time"

	hdr "github.com/HdrHistogram/hdrhistogram-go"
	"github.com/fxamacker/cbor/v2"

	"mangohill.example/mangohill/kind"
)

// Snapshot holds the totals of one entry host, or the merged totals of several, at
// one moment. The totals of a service are in the order of windows.
type Snapshot struct {
	Host string
	// Covered is the time since the host began to record. A restart of the host
	// clears its counts.
	Covered  time.Duration
	Services map[string][]Totals
}

// maxEncodedBytes bounds an encoded snapshot.
const maxEncodedBytes = 16 << 20

// encodedSnapshot is the encoding of a snapshot between processes.
type encodedSnapshot struct {
	_         struct{} `cbor:",toarray"`
	Host      string
	CoveredMs int64
	Services  []encodedService
}

type encodedService struct {
	_       struct{} `cbor:",toarray"`
	Name    string
	Windows []encodedTotals
}

type encodedTotals struct {
	_        struct{} `cbor:",toarray"`
	Requests int64
	Unknown  int64
	NotRun   int64
	Failed   int64
	// Latency is a histogram in the compressed V2 format of HdrHistogram.
	Latency []byte
}

// Encode returns the snapshot as DecodeSnapshot reads it. Its errors are of kind
// Internal.
func (s *Snapshot) Encode() ([]byte, error) {
	out := encodedSnapshot{Host: s.Host, CoveredMs: s.Covered.Milliseconds()}
	for _, name := range s.serviceNames() {
		encoded := encodedService{Name: name}
		for i := range s.Services[name] {
			totals, err := encodeTotals(&s.Services[name][i])
			if err != nil {
				return nil, kind.Errorf(kind.Internal, "burn of service %q: %w", name, err)
			}
			encoded.Windows = append(encoded.Windows, totals)
		}
		out.Services = append(out.Services, encoded)
	}
	data, err := cbor.Marshal(out)
	if err != nil {
		return nil, kind.Errorf(kind.Internal, "burn snapshot: %w", err)
	}
	return data, nil
}

func encodeTotals(t *Totals) (encodedTotals, error) {
	latency, err := t.latency.EncodeV2()
	if err != nil {
		return encodedTotals{}, err
	}
	return encodedTotals{Requests: t.Requests, Unknown: t.Unknown, NotRun: t.NotRun, Failed: t.Failed, Latency: latency}, nil
}

// DecodeSnapshot decodes a snapshot. Its errors are of kind BadRequest.
func DecodeSnapshot(data []byte) (*Snapshot, error) {
	if len(data) > maxEncodedBytes {
		return nil, kind.Errorf(kind.BadRequest, "burn snapshot has %d bytes, want at most %d", len(data), maxEncodedBytes)
	}
	var in encodedSnapshot
	if err := cbor.Unmarshal(data, &in); err != nil {
		return nil, kind.Errorf(kind.BadRequest, "burn snapshot: %w", err)
	}
	snapshot := &Snapshot{Host: in.Host, Covered: time.Duration(in.CoveredMs) * time.Millisecond, Services: make(map[string][]Totals)}
	for _, encoded := range in.Services {
		totals, err := decodeService(encoded)
		if err != nil {
			return nil, kind.Errorf(kind.BadRequest, "burn of service %q: %w", encoded.Name, err)
		}
		snapshot.Services[encoded.Name] = totals
	}
	return snapshot, nil
}

func decodeService(encoded encodedService) ([]Totals, error) {
	if len(encoded.Windows) != len(windows) {
		return nil, kind.Errorf(kind.BadRequest, "%d windows, want %d", len(encoded.Windows), len(windows))
	}
	var list []Totals
	for _, window := range encoded.Windows {
		totals, err := decodeTotals(window)
		if err != nil {
			return nil, err
		}
		list = append(list, totals)
	}
	return list, nil
}

func decodeTotals(encoded encodedTotals) (Totals, error) {
	if min(encoded.Requests, encoded.Unknown, encoded.NotRun, encoded.Failed) < 0 {
		return Totals{}, kind.Errorf(kind.BadRequest, "a count is negative")
	}
	latency, err := hdr.DecodePacked(encoded.Latency)
	if err != nil {
		return Totals{}, err
	}
	totals := newTotals()
	totals.Requests = encoded.Requests
	totals.Unknown = encoded.Unknown
	totals.NotRun = encoded.NotRun
	totals.Failed = encoded.Failed
	totals.Bad = encoded.Unknown + encoded.NotRun + encoded.Failed
	totals.latency.Merge(latency)
	return totals, nil
}

// Merge returns the sum of the snapshots. Its Covered is the shortest of theirs, the
// time that all of them cover.
func Merge(snapshots ...*Snapshot) *Snapshot {
	merged := &Snapshot{Services: make(map[string][]Totals)}
	for i, snapshot := range snapshots {
		if i == 0 || snapshot.Covered < merged.Covered {
			merged.Covered = snapshot.Covered
		}
		for name, totals := range snapshot.Services {
			merged.add(name, totals)
		}
	}
	return merged
}

func (s *Snapshot) add(name string, list []Totals) {
	sums, ok := s.Services[name]
	if !ok {
		for range windows {
			sums = append(sums, newTotals())
		}
		s.Services[name] = sums
	}
	for i := range list {
		sums[i].add(&list[i])
	}
}

func (s *Snapshot) serviceNames() []string {
	names := make([]string, 0, len(s.Services))
	for name := range s.Services {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
