package proxy_test

import (
	"sync"
	"testing"

	"github.com/rs/zerolog"

	"mangohill.example/mangohill/membership"
	"mangohill.example/mangohill/proxy"
	"mangohill.example/mangohill/types"
)

// TestTargetsMoveBetweenServicesWhileMembersChange deadlocks if the locks of
// the proxy and of a service are taken in both orders.
func TestTargetsMoveBetweenServicesWhileMembersChange(t *testing.T) {
	p := proxy.New(proxy.Options{Name: "entry-1", Logger: zerolog.Nop()})
	services := []string{"quote", "booking"}
	var wait sync.WaitGroup
	for worker := range 4 {
		wait.Go(func() {
			for i := range 400 {
				p.SetTarget(types.Target{
					Name: "t1", Service: services[(i+worker)%2], Address: "127.0.0.1:1", Slots: 8, Connections: 60,
					Incarnation: uint64(i), State: types.TargetReady,
				})
			}
		})
		wait.Go(func() {
			for i := range 400 {
				p.SetMembers([]membership.Peer{{Name: "entry-2"}, {Name: "entry-3"}}[:i%3])
				p.Loads()
			}
		})
	}
	wait.Wait()
}
