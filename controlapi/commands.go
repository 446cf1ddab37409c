package controlapi

import (
	"encoding/json"

	"mangohill.example/mangohill/kind"
)

// CommandArgs is an operator's command. A resend with the same ID and text returns the
// outcome of the first execution.
type CommandArgs struct {
	ID   string `json:"id"`
	Text string `json:"text"`
	// File is the content of the file that the command names, such as a configuration.
	File string `json:"file,omitempty"`
}

// Row is one row of a command's reply. Its columns are ordered.
type Row []Field

// Field is one column of a row. Value is a string, a bool, an int64 or a
// float64.
type Field struct {
	Name  string
	Value any
}

// CommandReply is the reply to a command. Kind is the kind of the error if the command
// failed. Version is the configuration's current version after "set config", even if
// that command failed, and zero after other commands.
type CommandReply struct {
	ID      string       `json:"id"`
	Outcome kind.Outcome `json:"outcome"`
	Kind    kind.Kind    `json:"kind"`
	Version uint64       `json:"version"`
	Rows    []Row        `json:"rows"`
	Message string       `json:"message"`
}

// MarshalJSON encodes missing rows as an empty list, so that every reply contains a
// list of rows.
func (r CommandReply) MarshalJSON() ([]byte, error) {
	type plain CommandReply
	if r.Rows == nil {
		r.Rows = []Row{}
	}
	return json.Marshal(plain(r))
}

// StatusArgs requests a control process's view of the control group.
type StatusArgs struct{}

// StatusReply describes a control process and its view of the control group. Leader is
// the leader's address, empty if unknown.
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
	// ID identifies the member in elections. A process that lost its disk rejoins
	// with a new ID.
	ID      string
	Name    string
	Address string
	Role    string // leader, voter or learner
}

// ConfigArgs requests the configuration. The leader's reply is up to date; that of an
// entry host may be older.
type ConfigArgs struct{}

// ConfigReply holds the configuration, its version and the failure domains that are
// evacuated under that version.
type ConfigReply struct {
	Version   uint64
	Text      string
	Evacuated []string
}
