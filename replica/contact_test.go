package replica

import "testing"

// A sole voter sends no heartbeats. Its quorum contact must still advance
// without proposals, because the leases of the workers depend on it.
func TestSoleLeaderAtRestStaysInContact(t *testing.T) {
	nodes := newNodes(t, 1, nil)
	startGroup(t, nodes)
	leader := nodes[0].replica
	eventually(t, "a contact", func() bool { return !leader.QuorumContact().IsZero() })
	for range 3 {
		before := leader.QuorumContact()
		eventually(t, "a newer contact without a proposal", func() bool { return leader.QuorumContact().After(before) })
	}
}
