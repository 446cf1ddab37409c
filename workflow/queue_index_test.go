package workflow

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// linearMatch is what MatchQueue has to return.
func linearMatch(c *Catalog, host, path string) (queue *Queue, rest string) {
	for i := range c.Queues {
		q := &c.Queues[i]
		if strings.EqualFold(q.Host, host) && strings.HasPrefix(path, q.PathPrefix) && (queue == nil || len(q.PathPrefix) > len(queue.PathPrefix)) {
			queue, rest = q, path[len(q.PathPrefix):]
		}
	}
	return queue, rest
}

func TestTheQueueOfTheLongestPrefixIsFound(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	hosts := []string{"a.example", "A.Example", "b.example", "k.example", "\u212a.example", "ſ.example", "s.example", "é.example", "É.example", "", "x\xff"}
	prefixes := []string{"/", "/a", "/a/", "/a/b", "/a/b/", "/b/", "/ab", "/ba/a", "/é/"}
	paths := append([]string{"", "a", "/a/b/c", "/abc", "/x", "/ba/aa", "/é/1"}, prefixes...)
	for range 200 {
		s, c := NewState(), &Catalog{Version: 1}
		for i := range random.IntN(20) {
			c.Queues = append(c.Queues, Queue{Name: fmt.Sprint("q", i%7), Host: hosts[random.IntN(len(hosts))], PathPrefix: prefixes[random.IntN(len(prefixes))], Service: "s", Priority: int32(random.IntN(3))})
		}
		require.NoError(t, s.setCatalog(c))
		for _, host := range hosts {
			for _, path := range paths {
				want, wantRest := linearMatch(c, host, path)
				queue, rest, ok := s.MatchQueue(host, path)
				require.Equal(t, want != nil, ok, "%q %q %+v", host, path, c.Queues)
				require.True(t, want == queue, "%q %q %+v", host, path, c.Queues)
				require.Equal(t, wantRest, rest)
			}
		}
	}
}

// Guards against a leader that falls behind at a large configuration: it looked at each queue of the
// catalog for each request, and for each job that was accepted. A hundred times as many queues must
// not take ten times as long.
func TestARequestCostsTheSameWithManyQueues(t *testing.T) {
	lookUp := func(queues int) time.Duration {
		s, c := NewState(), &Catalog{Version: 1}
		for i := range queues {
			c.Queues = append(c.Queues, Queue{Name: fmt.Sprintf("queue-%07d", i), Host: "host.example", PathPrefix: fmt.Sprintf("/prefix-%07d/", i), Service: "pool"})
		}
		require.NoError(t, s.setCatalog(c))
		path := fmt.Sprintf("/prefix-%07d/job", queues-1)
		least := time.Duration(math.MaxInt64)
		for range 10 {
			startedAt := time.Now()
			for range 2000 {
				queue, _, ok := s.MatchQueue("host.example", path)
				require.True(t, ok && s.QueueNamed(queue.Name) == queue)
			}
			least = min(least, time.Since(startedAt))
		}
		return least
	}
	few, many := lookUp(42), lookUp(4200)
	t.Logf("2,000 requests: %v with 42 queues, %v with 4,200", few, many)
	assert.Less(t, many, 10*few)
}
