package burn

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
)

// Host is the name and address of another entry host.
type Host struct {
	Name    string
	Address string
}

// Gather queries the hosts for their encoded snapshots in parallel and merges them
// with own. It also returns the names of the hosts without a valid response.
func Gather(ctx context.Context, own *Snapshot, hosts []Host, query func(ctx context.Context, address string) ([]byte, error)) (merged *Snapshot, missing []string) {
	snapshots := make([]*Snapshot, len(hosts))
	var wait sync.WaitGroup
	for i, host := range hosts {
		wait.Go(func() { snapshots[i] = querySnapshot(ctx, host, query) })
	}
	wait.Wait()
	present := []*Snapshot{own}
	for i, snapshot := range snapshots {
		if snapshot == nil {
			missing = append(missing, hosts[i].Name)
			continue
		}
		present = append(present, snapshot)
	}
	slices.Sort(missing)
	return Merge(present...), missing
}

// querySnapshot returns nil if the host sends no valid snapshot.
func querySnapshot(ctx context.Context, host Host, query func(ctx context.Context, address string) ([]byte, error)) *Snapshot {
	data, err := query(ctx, host.Address)
	if err != nil {
		return nil
	}
	snapshot, err := DecodeSnapshot(data)
	if err != nil {
		return nil
	}
	return snapshot
}

// IncompleteMessage returns the message of a report that lacks the counts of the
// missing hosts. It is empty if none is missing.
func IncompleteMessage(missing []string) string {
	if len(missing) == 0 {
		return ""
	}
	return fmt.Sprintf("incomplete: the requests of %s are not counted, as it gave no answer", strings.Join(missing, ", "))
}
