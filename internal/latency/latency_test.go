package latency

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestAHistogramIsPublishedAsJSON(t *testing.T) {
	h := New()
	for i := 1; i <= 100; i++ {
		h.Record(time.Duration(i) * time.Millisecond)
	}
	h.Record(time.Hour)
	h.Record(-time.Second)
	var published map[string]int64
	require.NoError(t, json.Unmarshal([]byte(h.String()), &published))
	assert.EqualValues(t, 102, published["count"])
	assert.InEpsilon(t, 50_000, published["p50_us"], 0.03)
	assert.InEpsilon(t, 60_000_000, published["max_us"], 0.02)
}
