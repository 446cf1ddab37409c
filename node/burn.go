package node

import (
	"context"
	"time"

	"mangohill.example/mangohill/burn"
	"mangohill.example/mangohill/clusterconfig"
	"mangohill.example/mangohill/controlapi"
	"mangohill.example/mangohill/kind"
	"mangohill.example/mangohill/types"
)

// burnQuery is the text of the query for a peer's error-budget burn counts.
const burnQuery = "burn"

// burnTimeout bounds the query to one peer.
const burnTimeout = 2 * time.Second

// reportBurn returns a report on the merged burn counts of all entry hosts. The reply's
// message names the hosts that did not answer.
func (e *Entry) reportBurn(ctx context.Context, id string) controlapi.CommandReply {
	merged, missing := burn.Gather(ctx, e.burn.Snapshot(time.Now()), e.burnHosts(), e.fetchBurn)
	report := burn.NewReport(merged, e.serviceConfigs(), clusterconfig.DefaultObjective())
	return controlapi.CommandReply{ID: id, Outcome: kind.OutcomeDone, Rows: report.Rows(), Message: burn.IncompleteMessage(missing)}
}

func (e *Entry) burnHosts() []burn.Host {
	var hosts []burn.Host
	for _, peer := range e.members.Peers() {
		hosts = append(hosts, burn.Host{Name: peer.Name, Address: peer.PeerAddress})
	}
	return hosts
}

func (e *Entry) fetchBurn(ctx context.Context, address string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, burnTimeout)
	defer cancel()
	reply := new(controlapi.LocalQueryReply)
	err := e.caller.Call(ctx, address, "Entry.Query", &controlapi.LocalQueryArgs{Text: burnQuery}, reply)
	return reply.Burn, err
}

func (e *Entry) serviceConfigs() map[string]types.ServiceConfig {
	config := e.config.Config()
	if config == nil {
		return nil
	}
	return config.Services
}

// encodedBurn returns this host's burn counts, encoded for a peer.
func (e *Entry) encodedBurn() ([]byte, error) { return e.burn.Snapshot(time.Now()).Encode() }

// countAlerts returns the number of report lines that raise the given alert, based on
// the counts of this entry host alone.
func (e *Entry) countAlerts(alert burn.Alert) int {
	report := burn.NewReport(e.burn.Snapshot(time.Now()), e.serviceConfigs(), clusterconfig.DefaultObjective())
	count := 0
	for _, line := range report.Alerts() {
		if line.Alert == alert {
			count++
		}
	}
	return count
}
