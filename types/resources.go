package types

import (
	"fmt"
	"math"
	"strconv"

	"github.com/dustin/go-humanize"
)

// MilliPerProcessor is the number of thousandths in one processor.
const MilliPerProcessor = 1000

// maxProcessors bounds a number of processors, so that sums cannot overflow.
const maxProcessors = 1_000_000

// Resources is an amount of processors, memory and accelerators. They are integers
// so that all replicas compute the same sums.
type Resources struct {
	MilliProcessors int64 `cbor:"1,keyasint,omitempty" json:"milli_processors"`
	MemoryBytes     int64 `cbor:"2,keyasint,omitempty" json:"memory_bytes"`
	Accelerators    int64 `cbor:"3,keyasint,omitempty" json:"accelerators"`
}

// Add returns r plus o.
func (r Resources) Add(o Resources) Resources {
	return Resources{r.MilliProcessors + o.MilliProcessors, r.MemoryBytes + o.MemoryBytes, r.Accelerators + o.Accelerators}
}

// Sub returns r minus o.
func (r Resources) Sub(o Resources) Resources {
	return Resources{r.MilliProcessors - o.MilliProcessors, r.MemoryBytes - o.MemoryBytes, r.Accelerators - o.Accelerators}
}

// Fits reports whether r is at most limit in every dimension.
func (r Resources) Fits(limit Resources) bool {
	return r.MilliProcessors <= limit.MilliProcessors && r.MemoryBytes <= limit.MemoryBytes && r.Accelerators <= limit.Accelerators
}

// IsNegative reports whether any dimension is below zero.
func (r Resources) IsNegative() bool {
	return r.MilliProcessors < 0 || r.MemoryBytes < 0 || r.Accelerators < 0
}

// Processors returns the processors as a fraction.
func (r Resources) Processors() float64 { return float64(r.MilliProcessors) / MilliPerProcessor }

// ParseSize parses an amount of memory such as 8GiB, 250GB or 1048576 and returns
// it in bytes.
func ParseSize(text string) (int64, error) {
	bytes, err := humanize.ParseBytes(text)
	if err != nil || bytes > math.MaxInt64 {
		return 0, fmt.Errorf("%q is not a size such as 8GiB or 512MiB", text)
	}
	return int64(bytes), nil
}

// ParseProcessors parses a number of processors and returns it in thousandths of a
// processor; further decimals are rounded.
func ParseProcessors(text string) (int64, error) {
	processors, err := strconv.ParseFloat(text, 64)
	// The negated condition also rejects NaN.
	if err != nil || !(processors >= 0 && processors <= maxProcessors) {
		return 0, fmt.Errorf("%q is not a number of processors between 0 and %d", text, maxProcessors)
	}
	return int64(math.Round(processors * MilliPerProcessor)), nil
}

// MaxNameBytes bounds the length of the names of processes, jobs, teams and so on.
const MaxNameBytes = 64

// CheckName returns an error if text is not a valid name: 1 to MaxNameBytes ASCII
// letters, digits, '-', '_' and '.'.
func CheckName(text string) error {
	if text == "" || len(text) > MaxNameBytes {
		return fmt.Errorf("has %d bytes, want 1 to %d", len(text), MaxNameBytes)
	}
	for _, r := range text {
		letter := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z'
		digit := r >= '0' && r <= '9'
		if !letter && !digit && r != '-' && r != '_' && r != '.' {
			return fmt.Errorf("%q holds %q, want letters, digits, '-', '_' and '.'", text, r)
		}
	}
	return nil
}
