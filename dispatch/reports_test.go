package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"mangohill.example/mangohill/kind"
)

// announce passes a report to the leader and returns the error of its answer.
func (s *sim) announce(a Announcement) *kind.Error {
	var result *kind.Error
	answered := false
	s.engine.Announce(&a, func(err *kind.Error) { result, answered = err, true })
	s.run(100 * time.Millisecond)
	require.True(s.t, answered)
	return result
}

// announcement returns the worker's report about itself.
func (w *simWorker) announcement() Announcement {
	return Announcement{
		Life: w.life, Address: w.address, Service: "pool", Zone: "z", Labels: w.labels, Rack: w.rack, Capacity: w.capacity, Draining: w.draining, ClockMs: w.clock(),
	}
}

// startLongTasks starts tasks that take a minute and returns their step.
func (s *sim) startLongTasks(count uint32) {
	long := step(count)
	long.EstimatedMs = 60_000
	s.submit(1, long)
	s.run(time.Second)
	require.Equal(s.t, int(count), s.starts)
}

// A report names a new incarnation of w1 at the address of w2, which is newer. The
// refused report must not void what runs on w1.
func TestARefusedReportEndsNoAttempt(t *testing.T) {
	s := newSim(t, 21)
	s.setCatalog()
	w1 := s.addWorker("w1", 4)
	s.run(time.Second)
	s.startLongTasks(4)
	w2 := s.addWorker("w2", 4)
	s.run(time.Second)
	report := w1.announcement()
	report.Life.BornMs, report.Address = w2.life.BornMs-1, w2.address
	err := s.announce(report)
	require.NotNil(t, err)
	assert.Equal(t, kind.StaleIncarnation, err.Kind)
	s.run(3 * time.Second)
	assert.Len(t, w1.running, 4)
	assert.Equal(t, 4, s.starts, "nothing may start elsewhere")
	assert.Empty(t, s.violations)
}
