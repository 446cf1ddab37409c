package node

import (
	"context"
	"time"

	"mangohill.example/mangohill/controlapi"
	"mangohill.example/mangohill/kind"
	"mangohill.example/mangohill/membership"
)

const (
	// configInterval is the time between checks of the configuration.
	configInterval = 500 * time.Millisecond
	// maxConfirmationAge is the age of the last confirmation from which the entry host
	// asks the leader for a new one.
	maxConfirmationAge = 2 * time.Second
	// configTimeout bounds one query for the configuration.
	configTimeout = time.Second
)

// followConfig keeps the configuration current: it reads it from the leader at the
// start, copies newer versions from peers, and asks the leader for a confirmation while
// workersync's exchanges with the leader bring none.
func (e *Entry) followConfig(ctx context.Context) {
	ticker := time.NewTicker(configInterval)
	defer ticker.Stop()
	for {
		e.refreshConfig(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (e *Entry) refreshConfig(ctx context.Context) {
	if peer, ok := e.newestPeer(); ok {
		e.pullConfig(ctx, peer.PeerAddress)
	}
	if time.Since(e.config.ConfirmedAt()) < maxConfirmationAge {
		return
	}
	e.readThroughLeader(ctx)
}

// newestPeer returns the live peer with the highest configuration version, if it is
// newer than this host's.
func (e *Entry) newestPeer() (newest membership.Peer, found bool) {
	version := e.config.Version()
	for _, peer := range e.members.Live() {
		if peer.ConfigVersion > version {
			newest, version, found = peer, peer.ConfigVersion, true
		}
	}
	return newest, found
}

func (e *Entry) pullConfig(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, configTimeout)
	defer cancel()
	reply := new(controlapi.ConfigReply)
	err := e.caller.Call(ctx, address, "Entry.Config", &controlapi.ConfigArgs{}, reply)
	if err != nil {
		return // The next round asks again.
	}
	e.applyConfig(reply.Version, reply.Text, reply.Evacuated)
}

func (e *Entry) readThroughLeader(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, configTimeout)
	defer cancel()
	sentAt := time.Now()
	reply, err := controlapi.Call[controlapi.ConfigReply](ctx, e.leader, "Control.Config", &controlapi.ConfigArgs{})
	if err != nil {
		return // The next round asks again.
	}
	e.applyConfig(reply.Version, reply.Text, reply.Evacuated)
	e.config.Confirm(sentAt, reply.Version)
}

// pullTargets copies the targets from a peer at the start, so that requests need not be
// refused until the targets announce themselves again.
func (e *Entry) pullTargets(ctx context.Context) {
	ticker := time.NewTicker(configInterval)
	defer ticker.Stop()
	for round := 0; !e.targets.Synced(); round++ {
		peers := e.registryPeers()
		if len(peers) == 0 && round >= soleEntryRounds {
			e.targets.MarkSynced()
			return
		}
		if len(peers) > 0 && e.targets.Pull(ctx, peers[round%len(peers)]) == nil {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// soleEntryRounds is the number of rounds after which an entry host that hears from no
// peer assumes that it is the only one.
const soleEntryRounds = 3

// entryService implements the net/rpc service "Entry", which other entry hosts call.
type entryService struct{ entry *Entry }

// Config returns the configuration and the evacuations in force here.
func (s *entryService) Config(_ *controlapi.ConfigArgs, reply *controlapi.ConfigReply) error {
	reply.Version, reply.Text, reply.Evacuated = s.entry.config.Text()
	return nil
}

// Query returns data that only this entry host holds; the only query is burnQuery.
func (s *entryService) Query(args *controlapi.LocalQueryArgs, reply *controlapi.LocalQueryReply) error {
	if args.Text != burnQuery {
		return kind.Errorf(kind.NotFound, "entry host %q has no local rows for %q", s.entry.settings.Name, args.Text)
	}
	data, err := s.entry.encodedBurn()
	reply.Burn = data
	return err
}
