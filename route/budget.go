package route

// RetryBudget bounds retries to a share of the requests, so that retries cannot
// multiply the load of a service in trouble.
type RetryBudget struct {
	tokens float64
}

const (
	// retryShare is the number of retries that each request earns.
	retryShare = 0.1
	// retryReserve is the number of retries that may be saved up.
	retryReserve = 20
)

// NewRetryBudget returns a Budget with its reserve full.
func NewRetryBudget() *RetryBudget { return &RetryBudget{tokens: retryReserve} }

// Earn records a request.
func (b *RetryBudget) Earn() { b.tokens = min(b.tokens+retryShare, retryReserve) }

// Spend takes one retry and reports whether there was one left.
func (b *RetryBudget) Spend() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
