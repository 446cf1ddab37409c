package route

// RetryBudget is a token bucket that bounds retries to a fraction of the requests,
// so that retries cannot multiply the load of a failing service.
type RetryBudget struct {
	tokens float64
}

const (
	// retriesPerRequest is the fraction of a retry that each request adds.
	retriesPerRequest = 0.1
	// maxSavedRetries is the capacity of the bucket.
	maxSavedRetries = 20
)

// NewRetryBudget returns a RetryBudget with a full bucket.
func NewRetryBudget() *RetryBudget { return &RetryBudget{tokens: maxSavedRetries} }

// Earn adds the retries that one request allows.
func (b *RetryBudget) Earn() { b.tokens = min(b.tokens+retriesPerRequest, maxSavedRetries) }

// Spend consumes one retry and reports whether there was one left.
func (b *RetryBudget) Spend() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
