package lease

import (
	"flag"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"mangohill.example/mangohill/types"
)

const testLease = 10 * time.Second

func at(d time.Duration) time.Time { return time.Unix(1000, 0).Add(d) }

func renew(table *Table, now, contact time.Time, worker types.WorkerID, incarnation uint64) bool {
	_, granted := table.Renew(now, contact, worker, incarnation, testLease)
	return granted
}

// The seed and the number of cases are fixed unless flags override them.
func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "2000")
	_ = flag.Set("rapid.nofailfile", "true")
}

func TestRenewalNeedsARecentQuorumContact(t *testing.T) {
	table := New(Options{}, at(0), testLease, nil)
	table.Register(at(0), Holder{Worker: 1, Incarnation: 3, Session: 1}, testLease)
	contact := at(time.Second)
	assert.True(t, renew(table, contact.Add(DefaultMaxQuorumContactAge), contact, 1, 3))
	assert.False(t, renew(table, contact.Add(DefaultMaxQuorumContactAge+1), contact, 1, 3))
}

func TestOldIncarnationsAndEndedLeasesAreNotRenewed(t *testing.T) {
	table := New(Options{}, at(0), testLease, nil)
	table.Register(at(0), Holder{Worker: 1, Incarnation: 3, Session: 1}, testLease)
	assert.False(t, renew(table, at(0), at(0), 1, 2))
	assert.False(t, renew(table, at(0), at(0), 2, 3))
	late := at(testLease + testLease/ClockRateMarginDivisor + 1)
	assert.Empty(t, table.Expired(late.Add(-1)))
	assert.Equal(t, []Holder{{Worker: 1, Incarnation: 3, Session: 1}}, table.Expired(late))
	assert.False(t, renew(table, late, late, 1, 3), "a lease that was reported as expired is not renewed")
	table.Register(late, Holder{Worker: 1, Incarnation: 3, Session: 2}, testLease)
	table.RemoveExpired(Holder{Worker: 1, Incarnation: 3, Session: 1})
	assert.True(t, renew(table, late, late, 1, 3))
}

func TestRegistrationNeverShortensALease(t *testing.T) {
	table := New(Options{}, at(0), testLease, nil)
	table.Register(at(0), Holder{Worker: 1, Incarnation: 3, Session: 1}, testLease)
	table.Register(at(0), Holder{Worker: 1, Incarnation: 3, Session: 2}, time.Second)
	until, _ := table.ExpiresAt(1)
	assert.False(t, until.Before(at(testLease)))
}

func TestNewLeaderWaitsForLeasesOfEarlierOnes(t *testing.T) {
	table := New(Options{}, at(0), testLease, []Holder{{Worker: 1, Incarnation: 3, Session: 1}})
	until, ok := table.ExpiresAt(1)
	assert.True(t, ok)
	assert.False(t, until.Before(at(testLease+DefaultMaxQuorumContactAge)))
	assert.Empty(t, table.Expired(until))
	assert.Len(t, table.Expired(until.Add(1)), 1)
}

func TestLateAnswerNeverShortensALease(t *testing.T) {
	var workerLease WorkerLease
	assert.True(t, workerLease.Expired(0))
	workerLease.Extend(5*time.Second, testLease)
	workerLease.Extend(2*time.Second, testLease)
	assert.False(t, workerLease.Expired(15*time.Second-1))
	assert.True(t, workerLease.Expired(15*time.Second))
	assert.Equal(t, time.Second, workerLease.Remaining(14*time.Second))
}
