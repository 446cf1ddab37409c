package descriptor

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func open(b *Budget, u Use, count int) {
	for range count {
		b.Opened(u)
	}
}

// Each use can fill its limit, whatever the others have opened, and together they stay
// within the process's limit.
func TestUsesTogetherStayWithinTheLimitOfTheProcess(t *testing.T) {
	for _, limit := range []int{20, 100, 400, 4096, 100_000} {
		for _, inUse := range []struct{ peers, inbound int }{{0, 0}, {10, 10}, {100, 900}, {3000, 3000}} {
			b := New(limit)
			open(b, Peers, min(inUse.peers, b.Limit(Peers)))
			open(b, Inbound, min(inUse.inbound, b.Limit(Inbound)))
			open(b, Outbound, b.Limit(Outbound))
			assert.LessOrEqual(t, b.Used(Peers)+b.Used(Inbound)+b.Used(Outbound), limit, "%d: %+v", limit, inUse)
			assert.GreaterOrEqual(t, b.Limit(Outbound), b.total/outboundFraction, "%d: %+v", limit, inUse)
			assert.GreaterOrEqual(t, b.Limit(Inbound), b.total/inboundFraction, "%d: %+v", limit, inUse)
		}
	}
}

// Inbound connections take room from outbound ones, which are told to close.
func TestInboundConnectionsComeBeforeOutboundOnes(t *testing.T) {
	b := New(1000)
	full := b.Limit(Outbound)
	open(b, Outbound, full)
	b.OnReclaim(func() {
		for b.Used(Outbound) > b.Limit(Outbound) {
			b.Closed(Outbound)
		}
	})
	open(b, Inbound, 500)
	assert.Less(t, b.Used(Outbound), full)
	assert.LessOrEqual(t, b.Used(Inbound)+b.Used(Outbound), 1000)
}
