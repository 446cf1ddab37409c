package registry

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"mangohill.example/mangohill/controlapi"
	"mangohill.example/mangohill/kind"
	"mangohill.example/mangohill/types"
)

// group connects registries by direct calls instead of a network.
type group struct {
	mu      sync.Mutex
	members map[string]*Registry
	down    map[string]bool
	dead    map[string]bool
	now     time.Time
	calls   int
}

func newGroup(names ...string) *group {
	g := &group{members: map[string]*Registry{}, down: map[string]bool{}, dead: map[string]bool{}, now: time.Unix(1000, 0)}
	for _, name := range names {
		g.members[name] = New(Options{
			Name: name, Now: func() time.Time { return g.now }, ReplicationTimeout: 50 * time.Millisecond,
			Peers: func() []Peer { return g.peers(name) }, Call: g.call,
		})
	}
	return g
}

func (g *group) peers(self string) []Peer {
	g.mu.Lock()
	defer g.mu.Unlock()
	var out []Peer
	for name := range g.members {
		if name != self && !g.dead[name] {
			out = append(out, Peer{Name: name, Address: name})
		}
	}
	return out
}

func (g *group) call(_ context.Context, address, method string, args, reply any) error {
	g.mu.Lock()
	g.calls++
	down := g.down[address]
	g.mu.Unlock()
	if down {
		return kind.Errorf(kind.Unreachable, "dial %s", address)
	}
	service := g.members[address].PeerService()
	switch method {
	case methodAnnounce:
		return service.Announce(args.(*controlapi.AnnounceArgs), reply.(*controlapi.AnnounceReply))
	case methodRefresh:
		return service.Refresh(args.(*RefreshArgs), reply.(*RefreshReply))
	default:
		return service.Targets(args.(*TargetsArgs), reply.(*TargetsReply))
	}
}

func (g *group) state(member, name string) types.TargetState {
	t, _ := g.members[member].target(name)
	return t.State
}

func newTarget(incarnation uint64, state types.TargetState) types.Target {
	return types.Target{Name: "t", Service: "quote", Address: "127.0.0.1:9", Incarnation: incarnation, Slots: 8, State: state}
}

func TestAnnouncementIsAnsweredWhenAllLivePeersHaveIt(t *testing.T) {
	g := newGroup("a", "b", "c")
	ctx := context.Background()
	require.NoError(t, g.members["a"].Announce(ctx, newTarget(1, types.TargetReady)))
	assert.Equal(t, types.TargetReady, g.state("c", "t"))
	g.down["c"] = true
	err := g.members["a"].Announce(ctx, newTarget(1, types.TargetLeaving))
	assert.Equal(t, kind.Unreachable, kind.Of(err), "a live peer did not confirm the change")
	g.mu.Lock()
	g.dead["c"] = true
	g.mu.Unlock()
	require.NoError(t, g.members["a"].Announce(ctx, newTarget(1, types.TargetLeaving)), "Announce does not wait for a dead peer")
}

// An entry host dies after it told only one of its peers that a target leaves. When
// the target repeats the announcement there, that peer must tell the others.
func TestLeavingToldToAHostThatDiedIsSpreadByTheNext(t *testing.T) {
	g := newGroup("a", "b", "c")
	ctx := context.Background()
	require.NoError(t, g.members["a"].Announce(ctx, newTarget(1, types.TargetReady)))
	// Host a told only b, then died. The target repeats its announcement to b.
	_, err := g.members["b"].apply(newTarget(1, types.TargetLeaving), false)
	require.NoError(t, err)
	g.dead["a"] = true
	require.NoError(t, g.members["b"].Announce(ctx, newTarget(1, types.TargetLeaving)))
	assert.Equal(t, types.TargetLeaving, g.state("c", "t"))
}

// Announcements of an older incarnation must be refused, and a leaving or withdrawn
// incarnation must not become ready again.
func TestIncarnations(t *testing.T) {
	g := newGroup("a")
	a, ctx := g.members["a"], context.Background()
	require.NoError(t, a.Announce(ctx, newTarget(2, types.TargetLeaving)))
	assert.Equal(t, kind.InvalidTransition, kind.Of(a.Announce(ctx, newTarget(2, types.TargetReady))))
	assert.Equal(t, kind.StaleIncarnation, kind.Of(a.Announce(ctx, newTarget(1, types.TargetReady))))
	require.NoError(t, a.Announce(ctx, newTarget(3, types.TargetReady)))
	assert.Equal(t, kind.StaleIncarnation, kind.Of(a.Withdraw(ctx, "t", 2)))
	require.NoError(t, a.Withdraw(ctx, "t", 3))
	assert.Equal(t, kind.InvalidTransition, kind.Of(a.Announce(ctx, newTarget(3, types.TargetReady))))
}

func TestSilentTargetIsDetectedAndRecovers(t *testing.T) {
	g := newGroup("a", "b")
	ctx := context.Background()
	require.NoError(t, g.members["a"].Announce(ctx, newTarget(1, types.TargetReady)))
	for range 3 {
		g.now = g.now.Add(DefaultSilentAfter - time.Second)
		require.NoError(t, g.members["a"].Announce(ctx, newTarget(1, types.TargetReady)))
		args := RefreshArgs{From: "a", Packed: g.members["a"].takeRefreshed()}
		g.members["a"].refreshPeer(ctx, Peer{Name: "b", Address: "b"}, args)
		g.members["b"].tick()
		assert.Equal(t, types.TargetReady, g.state("b", "t"), "the other host forwards the announcements")
	}
	g.now = g.now.Add(DefaultSilentAfter)
	g.members["b"].tick()
	assert.Equal(t, types.TargetSilent, g.state("b", "t"))
	require.NoError(t, g.members["b"].Announce(ctx, newTarget(1, types.TargetReady)))
	assert.Equal(t, types.TargetReady, g.state("b", "t"))
}

func TestTargetsThatNeverReturnAreRemoved(t *testing.T) {
	g := newGroup("a")
	a, ctx := g.members["a"], context.Background()
	require.NoError(t, a.Announce(ctx, newTarget(1, types.TargetReady)))
	leaving := newTarget(1, types.TargetLeaving)
	leaving.Name = "u"
	require.NoError(t, a.Announce(ctx, leaving))
	g.now = g.now.Add(DefaultSilentAfter)
	a.tick()
	assert.Equal(t, types.TargetSilent, g.state("a", "t"))
	g.now = g.now.Add(withdrawnRetention)
	a.tick()
	assert.Equal(t, types.TargetWithdrawn, g.state("a", "t"), "the withdrawn state makes the proxy close its connections")
	a.tick()
	assert.Empty(t, a.Targets())
	assert.Empty(t, a.confirmed)
	assert.Empty(t, a.table.byID)
}

func TestRestartedHostReadsThePeersTable(t *testing.T) {
	g := newGroup("a", "b")
	ctx := context.Background()
	g.dead["b"] = true
	require.NoError(t, g.members["a"].Announce(ctx, newTarget(1, types.TargetLeaving)))
	require.NoError(t, g.members["b"].Pull(ctx, Peer{Name: "a", Address: "a"}))
	assert.Equal(t, types.TargetLeaving, g.state("b", "t"))
	assert.True(t, g.members["b"].Synced())
	// A refresh with an unknown target makes the peer request its announcement.
	require.NoError(t, g.members["a"].Announce(ctx, types.Target{Name: "u", Service: "quote", State: types.TargetReady, Incarnation: 1}))
	other, ok := g.members["a"].target("u")
	require.True(t, ok)
	args := RefreshArgs{From: "a", Packed: pack(nil, other)}
	g.members["a"].refreshPeer(ctx, Peer{Name: "b", Address: "b"}, args)
	assert.Equal(t, types.TargetReady, g.state("b", "u"))
}

// TestHostThatMissedALeavingTargetLearnsOfItByItsOwnRefresh has a host refresh
// a target as ready that left while the host was partitioned. The host must learn
// that it left, and the peer must not take it for ready again.
func TestHostThatMissedALeavingTargetLearnsOfItByItsOwnRefresh(t *testing.T) {
	g := newGroup("a", "b")
	ctx := context.Background()
	require.NoError(t, g.members["a"].Announce(ctx, newTarget(1, types.TargetReady)))
	_, err := g.members["b"].apply(newTarget(1, types.TargetLeaving), false)
	require.NoError(t, err)
	stale, _ := g.members["a"].target("t")
	g.members["a"].refreshPeer(ctx, Peer{Name: "b", Address: "b"}, RefreshArgs{From: "a", Packed: pack(nil, stale)})
	assert.Equal(t, types.TargetLeaving, g.state("a", "t"))
	assert.Equal(t, types.TargetLeaving, g.state("b", "t"))
}

func FuzzAnnouncement(f *testing.F) {
	f.Add("t", `{"service":"quote","address":"127.0.0.1:9","incarnation":7,"slots":8,"connections":60,"state":"ready"}`)
	f.Add("t", `{"service":1}`)
	f.Fuzz(func(t *testing.T, name, body string) {
		r := New(Options{})
		request := httptest.NewRequest(http.MethodPut, "/v1/targets/x", strings.NewReader(body))
		request.URL.Path = "/v1/targets/" + name
		recorder := httptest.NewRecorder()
		r.Handler().ServeHTTP(recorder, request)
		for _, target := range r.Targets() {
			if target.Slots < 1 || target.Service == "" || target.Name == "" {
				t.Fatalf("accepted %+v", target)
			}
		}
	})
}
