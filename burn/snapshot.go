package burn

import (
	"slices"
	"time"

	hdr "github.com/HdrHistogram/hdrhistogram-go"
	"github.com/fxamacker/cbor/v2"

	"mangohill.example/mangohill/kind"
)

// Snapshot holds the totals of one entry host, or merged ones of several. The totals
// of a service stand in the order of the windows.
type Snapshot struct {
	Host string
	// Covered is the time for which the host has recorded: a host forgets its
	// counts when it restarts.
	Covered  time.Duration
	Services map[string][]Totals
}

// maxEncodedBytes bounds an encoded set.
const maxEncodedBytes = 16 << 20

// encodedSet is the form of a set between processes.
type encodedSet struct {
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

// Encode returns the set in the form that DecodeSnapshot reads.
func (s *Snapshot) Encode() ([]byte, error) {
	out := encodedSet{Host: s.Host, CoveredMs: s.Covered.Milliseconds()}
	for _, name := range s.names() {
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
		return nil, kind.Errorf(kind.Internal, "burn set: %w", err)
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

// DecodeSnapshot reads an encoded snapshot. An error is of kind BadRequest.
func DecodeSnapshot(data []byte) (*Snapshot, error) {
	if len(data) > maxEncodedBytes {
		return nil, kind.Errorf(kind.BadRequest, "burn set has %d bytes, want at most %d", len(data), maxEncodedBytes)
	}
	var in encodedSet
	if err := cbor.Unmarshal(data, &in); err != nil {
		return nil, kind.Errorf(kind.BadRequest, "burn set: %w", err)
	}
	set := &Snapshot{Host: in.Host, Covered: time.Duration(in.CoveredMs) * time.Millisecond, Services: make(map[string][]Totals)}
	for _, encoded := range in.Services {
		totals, err := decodeService(encoded)
		if err != nil {
			return nil, kind.Errorf(kind.BadRequest, "burn of service %q: %w", encoded.Name, err)
		}
		set.Services[encoded.Name] = totals
	}
	return set, nil
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

// Merge returns the sum of the sets. It covers the time that every one covers.
func Merge(sets ...*Snapshot) *Snapshot {
	merged := &Snapshot{Services: make(map[string][]Totals)}
	for i, set := range sets {
		if i == 0 || set.Covered < merged.Covered {
			merged.Covered = set.Covered
		}
		for name, totals := range set.Services {
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

func (s *Snapshot) names() []string {
	names := make([]string, 0, len(s.Services))
	for name := range s.Services {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
