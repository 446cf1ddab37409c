package route

// Budget bounds retries to a share of the requests, so that retries cannot
// multiply the load of a service in trouble.
type Budget struct {
	tokens float64
}

const (
	// retryShare is the number of retries that each request earns.
	retryShare = 0.1
	// retryReserve is the number of retries that may be saved up.
	retryReserve = 20
)

// NewBudget returns a Budget with its reserve full.
func NewBudget() *Budget { return &Budget{tokens: retryReserve} }

// Earn records a request.
func (b *Budget) Earn() { b.tokens = min(b.tokens+retryShare, retryReserve) }

// Spend takes one retry and reports whether there was one left.
func (b *Budget) Spend() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
