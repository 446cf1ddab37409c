package membership

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

var start = time.Unix(1000, 0)

// net joins cores in virtual time. A link is cut in both directions.
type fabric struct {
	now   time.Time
	cores map[string]*Core
	down  map[string]bool
	cut   map[[2]string]bool
	bytes int
	count int
}

func newFabric(n int) *fabric {
	f := &fabric{now: start, cores: map[string]*Core{}, down: map[string]bool{}, cut: map[[2]string]bool{}}
	for i := range n {
		name := fmt.Sprintf("entry-%d", i+1)
		address := fmt.Sprintf("127.0.0.%d:7400", 11+i)
		f.cores[name] = NewCore(CoreOptions{Self: Heartbeat{
			Name: name, Peers: address, Callers: address, Beat: FirstBeat(1_900_000_000), Token: 1 << 60,
		}})
	}
	return f
}

func (f *fabric) run(d time.Duration) {
	loads := []ServiceLoad{{Service: "quote", Slots: 65, Free: 10, Queued: 3}, {Service: "booking", Slots: 65, Free: 10, Queued: 3}}
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(DefaultInterval) {
		for from, core := range f.cores {
			if f.down[from] {
				continue
			}
			data, err := core.Next(7, loads).Encode()
			if err != nil {
				panic(err)
			}
			f.deliver(from, data)
		}
		for _, core := range f.cores {
			core.Tick(f.now)
		}
	}
}

func (f *fabric) deliver(from string, data []byte) {
	for to, core := range f.cores {
		if to == from {
			continue
		}
		f.bytes += len(data) + 28 // UDP and IP headers.
		f.count++
		if f.down[to] || f.cut[[2]string{from, to}] || f.cut[[2]string{to, from}] {
			continue
		}
		h, err := Decode(data)
		if err != nil {
			panic(err)
		}
		core.Receive(f.now, h)
	}
}

func (f *fabric) state(of, in string) State {
	for _, p := range f.cores[in].Peers() {
		if p.Name == of {
			return p.State
		}
	}
	return Unknown
}

func TestDeadMemberIsFoundAndReturns(t *testing.T) {
	f := newFabric(4)
	f.run(time.Second)
	require.Equal(t, Live, f.state("entry-2", "entry-1"))
	f.down["entry-2"] = true
	f.run(DefaultSuspectAfter + DefaultInterval)
	assert.Equal(t, Suspect, f.state("entry-2", "entry-1"))
	f.run(DefaultDeadAfter)
	assert.Equal(t, Dead, f.state("entry-2", "entry-1"))
	f.down["entry-2"] = false
	f.run(2 * DefaultInterval)
	assert.Equal(t, Live, f.state("entry-2", "entry-1"))
}

func TestBrokenLinkMakesNobodyDead(t *testing.T) {
	f := newFabric(3)
	f.run(time.Second)
	f.cut[[2]string{"entry-1", "entry-2"}] = true
	f.run(10 * time.Second)
	assert.Equal(t, Live, f.state("entry-2", "entry-1"), "the third member passes the beats on")
	assert.Equal(t, Live, f.state("entry-1", "entry-2"))
}

func TestOldHeartbeatHasNoEffect(t *testing.T) {
	f := newFabric(2)
	f.run(time.Second)
	old := Heartbeat{Name: "entry-2", Beat: FirstBeat(1_800_000_000) + 9, ConfigVersion: 1}
	f.cores["entry-1"].Receive(f.now, old)
	assert.EqualValues(t, 7, f.cores["entry-1"].Peers()[0].ConfigVersion)
}

func TestHeartbeatsFitTheBudgetOfAHost(t *testing.T) {
	f := newFabric(8)
	f.run(10 * time.Second)
	perHost := float64(f.bytes) / 10 / 8
	t.Logf("%.0f bytes a second and host, %d bytes a datagram", perHost, f.bytes/f.count)
	assert.Less(t, perHost, 9000.0)
}

func FuzzDecode(f *testing.F) {
	data, err := newFabric(2).cores["entry-1"].Next(1, []ServiceLoad{{Service: "quote"}}).Encode()
	require.NoError(f, err)
	f.Add(data)
	f.Add([]byte{0x89})
	f.Fuzz(func(_ *testing.T, data []byte) {
		h, err := Decode(data)
		if err == nil {
			newFabric(1).cores["entry-1"].Receive(start, h)
		}
	})
}
