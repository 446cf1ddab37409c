package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against leases that lapse on all workers of a leader that is behind: answers wait for its
// loop, and the clock of the worker in them was taken for that of the time at which they were handled,
// so that each lease was granted shorter by this wait.
func TestLeasesLastBesideAnswersThatWaitForTheLoop(t *testing.T) {
	for _, wait := range []time.Duration{2 * time.Second, 4 * time.Second, 6 * time.Second} {
		s := newSim(t, 71)
		s.setCatalog()
		w := s.addWorker("w1", 4)
		lasting := step(2)
		lasting.Lasting = true
		s.submit(1, lasting)
		s.run(time.Second)
		require.Len(t, w.running, 2)
		s.loopWait = wait
		s.run(time.Minute)
		assert.Zero(t, w.leaseExpiredAt, "answers wait %v, the lease lasts %v", wait, s.settings.Lease)
		assert.Len(t, w.running, 2)
		s.loopWait = 0
		s.run(10 * time.Second)
		assert.Zero(t, s.engine.counters.Lapsed)
		assert.Len(t, w.running, 2)
		assert.Empty(t, s.violations)
	}
}

// Guards against a lease that is taken for over too early because answers wait for the loop: tasks of a
// worker that is cut off would run twice, on clocks that are 2% slow.
func TestALeaseIsNotOverTooEarlyBesideAnswersThatWaitForTheLoop(t *testing.T) {
	for phase := range 40 {
		s := newSim(t, uint64(phase))
		s.setCatalog()
		w := s.addWorker("w1", 4)
		lasting := step(4)
		lasting.Lasting = true
		s.submit(1, lasting)
		s.run(time.Second)
		s.loopWait = time.Duration(phase%5) * time.Second
		s.run(10*time.Second + time.Duration(phase)*27*time.Millisecond)
		other := s.addWorker("w2", 4)
		w.partitioned = true
		s.run(30 * time.Second)
		assert.Len(t, other.running, 4, "phase %d", phase)
		assert.Empty(t, s.violations, "phase %d", phase)
	}
}
