package burn

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
)

// Host is an entry host to be asked for its set.
type Host struct {
	Name    string
	Address string
}

// Gather asks the hosts for their encoded sets, all at the same time, and merges
// them with own. It returns the names of those that did not give one.
func Gather(ctx context.Context, own *Snapshot, hosts []Host, ask func(ctx context.Context, address string) ([]byte, error)) (merged *Snapshot, missing []string) {
	sets := make([]*Snapshot, len(hosts))
	var asked sync.WaitGroup
	for i, host := range hosts {
		asked.Go(func() { sets[i] = askOne(ctx, host, ask) })
	}
	asked.Wait()
	present := []*Snapshot{own}
	for i, set := range sets {
		if set == nil {
			missing = append(missing, hosts[i].Name)
			continue
		}
		present = append(present, set)
	}
	slices.Sort(missing)
	return Merge(present...), missing
}

// askOne returns nil if the host gives no set that can be read.
func askOne(ctx context.Context, host Host, ask func(ctx context.Context, address string) ([]byte, error)) *Snapshot {
	data, err := ask(ctx, host.Address)
	if err != nil {
		return nil
	}
	set, err := DecodeSnapshot(data)
	if err != nil {
		return nil
	}
	return set
}

// IncompleteMessage returns the sentence that a report of incomplete sets carries,
// empty if none is missing.
func IncompleteMessage(missing []string) string {
	if len(missing) == 0 {
		return ""
	}
	return fmt.Sprintf("incomplete: the requests of %s are not counted, as it gave no answer", strings.Join(missing, ", "))
}
