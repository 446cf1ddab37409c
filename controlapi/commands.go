package controlapi

import (
	"encoding/json"

	"mangohill.example/mangohill/kind"
)

// CommandArgs is an operator's command. ID identifies it: a resend with the
// same ID and text gets the first outcome.
type CommandArgs struct {
	ID   string `json:"id"`
	Text string `json:"text"`
	File string `json:"file,omitempty"`
}

// Row is one typed row of an answer: column names to values that encoding/json
// renders. Columns gives their order.
type Row []Field

// Field is one column of a row. Value is a string, a bool, an int64 or a
// float64.
type Field struct {
	Name  string
	Value any
}

// CommandReply is the answer to a command.
type CommandReply struct {
	ID      string       `json:"id"`
	Outcome kind.Outcome `json:"outcome"`
	Kind    kind.Kind    `json:"kind"`
	Version uint64       `json:"version"`
	Rows    []Row        `json:"rows"`
	Message string       `json:"message"`
}

// MarshalJSON gives every member, also the empty ones: a program that reads
// answers finds a list of rows in each.
func (r CommandReply) MarshalJSON() ([]byte, error) {
	type plain CommandReply
	if r.Rows == nil {
		r.Rows = []Row{}
	}
	return json.Marshal(plain(r))
}

// StatusArgs asks a control process for its view of the group.
type StatusArgs struct{}

// StatusReply describes a control process and the group as it sees it.
type StatusReply struct {
	Name          string
	Role          string
	Leader        string
	Term          uint64
	CommitIndex   uint64
	ConfigVersion uint64
	Members       []Member
}

// Member is one member of the control group.
type Member struct {
	// ID is the identity under which the member votes. A process that lost its
	// disk comes back under another one.
	ID      string
	Name    string
	Address string
	Role    string // leader, voter or learner
}

// ConfigArgs asks for the configuration in force. A current answer is read
// through the leader.
type ConfigArgs struct{}

// ConfigReply holds the configuration in force.
type ConfigReply struct {
	Version uint64
	Text    string
}
