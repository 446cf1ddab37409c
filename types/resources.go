package types

// MilliPerProcessor is the number of thousandths in one processor.
const MilliPerProcessor = 1000

// Resources is an amount of processors, memory and accelerators. Integers keep
// the sums of all replicas equal.
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
