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

// StateMachine is the replicated state machine. Its methods are never called
// concurrently. Apply must be deterministic: it may depend only on the state
// and its arguments.
type StateMachine interface {
	// Apply executes the command at index and returns its result.
	Apply(index uint64, data []byte) any
	// Snapshot returns the encoded state.
	Snapshot() ([]byte, error)
	// Restore replaces the state by an encoded one.
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

// Options configures a replica. Zero values of the fields from Tick on select
// the defaults.
type Options struct {
	// Name is unique in the group. Address is the address at which peers reach
	// this replica.
	Name    string
	Address string
	// ControlAddresses are the addresses at which admission is requested.
	ControlAddresses []string
	DataDir          string
	// Bootstrap creates a new cluster in an empty data folder.
	Bootstrap    bool
	StateMachine StateMachine
	Logger       zerolog.Logger

	// Tick is the unit of the timeouts. The election timeout is random between
	// ElectionTicks and twice as many.
	Tick           time.Duration
	ElectionTicks  int
	HeartbeatTicks int
	// A snapshot is taken after SnapshotEntries entries, or when the log in
	// memory reaches SnapshotBytes. The log keeps the last SnapshotEntries/2
	// entries that the snapshot covers, or none if it reached SnapshotBytes.
	SnapshotEntries uint64
	SnapshotBytes   int
	// Voters is the intended number of voters. While there are more, a voter
	// that has not responded for RemovalTicks is removed. Zero disables the
	// removal.
	Voters       int
	RemovalTicks int
	// Caller sends the RPCs to peers.
	Caller     controlapi.Caller
	FileSystem storage.FileSystem
	// Now and Seed replace the clock and the random seed in tests.
	Now  func() time.Time
	Seed uint64 // of the random election timeouts; zero selects a random seed
}

func (o *Options) setDefaults() error {
	if o.Address == "" || o.DataDir == "" || o.StateMachine == nil {
		return kind.Errorf(kind.BadSettings, "a replica requires an address, a data folder and a state machine")
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

func setDefault[T comparable](value *T, fallback T) {
	var zero T
	if *value == zero {
		*value = fallback
	}
}

// electionTimeout is the minimum election timeout.
func (o *Options) electionTimeout() time.Duration {
	return time.Duration(o.ElectionTicks) * o.Tick
}
