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

// burnQuery is the text of the question for a peer's burn counts.
const burnQuery = "burn"

// burnTimeout bounds the question to one peer.
const burnTimeout = 2 * time.Second

// reportBurn merges the burn counts of all entry hosts.
func (e *Entry) reportBurn(ctx context.Context, id string) controlapi.CommandReply {
	merged, missing := burn.Gather(ctx, e.burn.Snapshot(time.Now()), e.burnHosts(), e.askBurn)
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

func (e *Entry) askBurn(ctx context.Context, address string) ([]byte, error) {
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

// encodedBurn answers a peer's question for the burn counts.
func (e *Entry) encodedBurn() ([]byte, error) { return e.burn.Snapshot(time.Now()).Encode() }

// firing returns the number of lines of the report whose rule fires with the
// given alert, by the counts of this entry host alone.
func (e *Entry) firing(alert burn.Alert) int {
	report := burn.NewReport(e.burn.Snapshot(time.Now()), e.serviceConfigs(), clusterconfig.DefaultObjective())
	count := 0
	for _, line := range report.Alerts() {
		if line.Alert == alert {
			count++
		}
	}
	return count
}
