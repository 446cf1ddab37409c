package command

import (
	"time"

	"mangohill.example/mangohill/types"
)

// Statement is a parsed command.
type Statement interface {
	// Mutates reports whether the command changes the replicated state.
	Mutates() bool
}

// Declare declares a job.
type Declare struct {
	Job types.JobSpec
}

// Cancel cancels the job or task of that name.
type Cancel struct {
	Name string
}

// Topic names what a show command lists.
type Topic string

// Topics of show.
const (
	TopicTasks    Topic = "tasks"
	TopicWorkers  Topic = "workers"
	TopicTargets  Topic = "targets"
	TopicDomains  Topic = "domains"
	TopicMembers  Topic = "members"
	TopicEntries  Topic = "entries"
	TopicConfig   Topic = "config"
	TopicCommands Topic = "commands"
	TopicEvents   Topic = "events"
)

// Topics returns every topic of show.
func Topics() []Topic {
	return []Topic{TopicTasks, TopicWorkers, TopicTargets, TopicDomains, TopicMembers, TopicEntries, TopicConfig, TopicCommands, TopicEvents}
}

// hasTimes reports whether the rows of a topic have a time, by which since filters.
func (t Topic) hasTimes() bool {
	return t == TopicTasks || t == TopicCommands || t == TopicEvents
}

// Show lists the rows of a topic that meet every condition of Where. Since is the
// maximum age of a row, zero for no limit.
type Show struct {
	Topic Topic
	Where []Condition
	Since time.Duration
}

// Condition requires a column to equal a value.
type Condition struct {
	Column string
	Value  string
}

// Why asks for the recorded decision about a task.
type Why struct {
	Task string
}

// Drain moves the tasks off a worker and starts no others there.
type Drain struct {
	Worker string
}

// Undrain ends a drain.
type Undrain struct {
	Worker string
}

// Evacuate moves the tasks out of a failure domain and sends nothing more there.
type Evacuate struct {
	Domain string
}

// Restore ends an evacuation.
type Restore struct {
	Domain string
}

// SetConfig replaces the cluster's configuration by the content of a file. With
// IfVersion the command is refused unless Version is in force.
type SetConfig struct {
	File      string
	IfVersion bool
	Version   uint64
}

// ReportBurn asks for the burn rates of the services' error budgets.
type ReportBurn struct{}

// Help asks for the help on a word, or for the list of commands if Word is empty.
type Help struct {
	Word string
}

// Mutates is true: the job is replicated.
func (Declare) Mutates() bool { return true }

// Mutates is true: the cancellation is replicated.
func (Cancel) Mutates() bool { return true }

// Mutates is false: show only reads.
func (Show) Mutates() bool { return false }

// Mutates is false: why only reads.
func (Why) Mutates() bool { return false }

// Mutates is true: the drain is replicated.
func (Drain) Mutates() bool { return true }

// Mutates is true: the end of the drain is replicated.
func (Undrain) Mutates() bool { return true }

// Mutates is true: the evacuation is replicated.
func (Evacuate) Mutates() bool { return true }

// Mutates is true: the end of the evacuation is replicated.
func (Restore) Mutates() bool { return true }

// Mutates is true: the configuration is replicated.
func (SetConfig) Mutates() bool { return true }

// Mutates is false: the report only reads.
func (ReportBurn) Mutates() bool { return false }

// Mutates is false: help only reads.
func (Help) Mutates() bool { return false }
