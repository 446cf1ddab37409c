package workflow

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against a leader short of processor time that falls behind for good at a large
// configuration: the operator sends it again until it is confirmed, and each time the leader
// decompressed the text of both. Comparing takes no memory of the order of the text.
func TestAConfigurationThatIsSentAgainIsComparedAtLittleCost(t *testing.T) {
	var text strings.Builder
	for i := range 4400 {
		fmt.Fprintf(&text, `{"Name":"queue-%07d","Host":"host.example","PathPrefix":"/prefix-%07d/","Service":"pool","TimeoutMs":3000,"MaxAttempts":3,"Stretch":2.0},`, i, i)
	}
	sent := func(text string) *Catalog {
		c, err := (&Catalog{Version: 3, Source: []byte(text)}).Compressed()
		require.NoError(t, err)
		return c
	}
	s := NewState()
	require.NoError(t, s.setCatalog(sent(text.String())))
	again := sent(text.String())
	result := testing.Benchmark(func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			if changes, err := s.CheckCatalog(again); changes || err != nil {
				b.Fatal(changes, err)
			}
		}
	})
	t.Logf("text of %d bytes: %d bytes allocated, %v", text.Len(), result.AllocedBytesPerOp(), result.NsPerOp())
	assert.Less(t, result.AllocedBytesPerOp(), int64(text.Len()/100))
	_, err := s.CheckCatalog(sent(text.String() + " "))
	assert.Error(t, err, "another text under the same version")
	_, err = s.CheckCatalog(&Catalog{Version: 3, Source: []byte(text.String())})
	assert.NoError(t, err, "the same text, not compressed")
}
