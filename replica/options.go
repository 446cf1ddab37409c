package replica

import (
	"time"

	"github.com/rs/zerolog"

	"mangohill.example/mangohill/consensus"
	"mangohill.example/mangohill/controlapi"
	"mangohill.example/mangohill/kind"
	"mangohill.example/mangohill/rpcclient"
	"mangohill.example/mangohill/storage"
)

// StateMachine is what the log replicates. The methods are called from one
// goroutine at a time. Apply must depend on nothing but the state and its
// arguments.
type StateMachine interface {
	// Apply carries out the command at index and returns its result.
	Apply(index uint64, data []byte) any
	// Snapshot returns the encoded state.
	Snapshot() ([]byte, error)
	// Restore replaces the state.
	Restore(data []byte) error
}

// Defaults of Options.
const (
	DefaultTick            = 50 * time.Millisecond
	DefaultElectionTicks   = consensus.DefaultElectionTicks
	DefaultHeartbeatTicks  = consensus.DefaultHeartbeatTicks
	DefaultSnapshotEntries = 5000
	DefaultSnapshotBytes   = 2 << 20
)

// Options configures a replica. Zero values of the last group stand for the
// defaults.
type Options struct {
	// Name is unique in the group; Address is where peers reach this replica.
	Name    string
	Address string
	// ControlAddresses are the addresses to ask for admission.
	ControlAddresses []string
	DataDir          string
	// Bootstrap creates a new cluster in an empty folder.
	Bootstrap    bool
	StateMachine StateMachine
	Logger       zerolog.Logger

	// Tick is the unit of the timeouts: an election starts after ElectionTicks to
	// twice as many without a leader.
	Tick           time.Duration
	ElectionTicks  int
	HeartbeatTicks int
	// A snapshot is taken after SnapshotEntries entries, or when the log in
	// memory exceeds SnapshotBytes. Half of SnapshotEntries is kept behind it.
	SnapshotEntries uint64
	SnapshotBytes   int
	// Voters is the number of voters that the group needs: one beyond it that has
	// been silent for RemovalTicks is removed. Zero keeps all.
	Voters       int
	RemovalTicks int
	Caller       controlapi.Caller
	FileSystem   storage.FileSystem
	// Now and Seed stand in for the clock and for randomness in tests.
	Now  func() time.Time
	Seed uint64
}

func (o *Options) setDefaults() error {
	if o.Address == "" || o.DataDir == "" || o.StateMachine == nil {
		return kind.Errorf(kind.BadSettings, "a replica needs an address, a data folder and a state machine")
	}
	setDefault(&o.Tick, DefaultTick)
	setDefault(&o.ElectionTicks, DefaultElectionTicks)
	setDefault(&o.HeartbeatTicks, DefaultHeartbeatTicks)
	setDefault(&o.SnapshotEntries, DefaultSnapshotEntries)
	setDefault(&o.SnapshotBytes, DefaultSnapshotBytes)
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Caller == nil {
		o.Caller = rpcclient.New(rpcclient.Options{})
	}
	if o.FileSystem == nil {
		o.FileSystem = storage.OSFileSystem{}
	}
	if o.Seed == 0 {
		o.Seed = randomID()
	}
	return nil
}

func setDefault[T comparable](value *T, otherwise T) {
	var zero T
	if *value == zero {
		*value = otherwise
	}
}

// electionTimeout is the shortest time without a leader that starts an election.
func (o *Options) electionTimeout() time.Duration {
	return time.Duration(o.ElectionTicks) * o.Tick
}
