package coordinator

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// reportTo returns the peer address of the member to which a worker sends its reports from
// now on: the leader, or, if more workers report than it has connections for, one of the
// other members that answer it, which pass the reports on.
func (l *loop) reportTo(worker string) string {
	self := l.options.Replica.Address
	if l.options.ReportLimit == nil || len(l.engine.State().Workers()) <= l.options.ReportLimit() {
		return self
	}
	return memberFor(worker, self, l.replica.Status().Responding)
}

// memberFor returns the member that takes a worker's reports for the leader: the same one as
// long as the members stay the same. Without other members it is the leader.
func memberFor(worker, leader string, members []string) string {
	others := slices.DeleteFunc(slices.Sorted(slices.Values(members)), func(address string) bool { return address == leader })
	if len(others) == 0 {
		return leader
	}
	return others[xxhash.Sum64String(worker)%uint64(len(others))]
}
