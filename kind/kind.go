package kind

import "net/http"

// Kind names one class of error. The zero value means no error.
type Kind string

// The closed list of error kinds.
const (
	BadRequest        Kind = "bad_request"
	BadSyntax         Kind = "bad_syntax"
	BadSettings       Kind = "bad_settings"
	BadConfig         Kind = "bad_config"
	BodyTooLarge      Kind = "body_too_large"
	HeaderTooLarge    Kind = "header_too_large"
	UnknownService    Kind = "unknown_service"
	NotFound          Kind = "not_found"
	MethodNotAllowed  Kind = "method_not_allowed"
	NoTarget          Kind = "no_target"
	Overloaded        Kind = "overloaded"
	DeadlineExceeded  Kind = "deadline_exceeded"
	TargetFailed      Kind = "target_failed"
	UnknownOutcome    Kind = "outcome_unknown"
	AlreadyClaimed    Kind = "already_claimed"
	Stopping          Kind = "stopping"
	NotLeader         Kind = "not_leader"
	NoQuorum          Kind = "no_quorum"
	Unreachable       Kind = "unreachable"
	StaleIncarnation  Kind = "stale_incarnation"
	StaleEpoch        Kind = "stale_epoch"
	VersionConflict   Kind = "version_conflict"
	CommandReused     Kind = "command_reused"
	AlreadyExists     Kind = "already_exists"
	InvalidTransition Kind = "invalid_transition"
	CapacityExceeded  Kind = "capacity_exceeded"
	Corrupt           Kind = "corrupt"
	Storage           Kind = "storage"
	Canceled          Kind = "canceled"
	Internal          Kind = "internal"
)

// Outcome says whether a request or command was executed, as far as is known.
type Outcome string

// Outcomes of requests (Mangohill-Outcome) and of operators' commands.
const (
	OutcomeDone    Outcome = "done"
	OutcomeNotRun  Outcome = "not-run"
	OutcomeRefused Outcome = "refused"
	OutcomeUnknown Outcome = "unknown"
)

// Retry says whether the sender should send the same message again.
type Retry uint8

// Retry advice of an error kind.
const (
	// RetryNever means that the same message would fail again.
	RetryNever Retry = iota
	// RetryLater means that the message may succeed after a delay.
	RetryLater
	// RetrySameID means that the outcome is not known: only a retry with the same
	// idempotency key or command ID is safe.
	RetrySameID
)

// Exit codes of the command-line tool.
const (
	ExitDone     = 0
	ExitRefused  = 1
	ExitUsage    = 2
	ExitUnknown  = 3
	ExitInternal = 1
)

// Answer is how errors of one kind are reported: over HTTP, to the caller and by
// the exit code of the command-line tool.
type Answer struct {
	Status  int
	Outcome Outcome
	Retry   Retry
	Exit    int
	Title   string
}

var answers = map[Kind]Answer{
	BadRequest:        {http.StatusBadRequest, OutcomeNotRun, RetryNever, ExitUsage, "The request is malformed"},
	BadSyntax:         {http.StatusBadRequest, OutcomeNotRun, RetryNever, ExitUsage, "The command does not parse"},
	BadSettings:       {http.StatusBadRequest, OutcomeNotRun, RetryNever, ExitUsage, "The settings are invalid"},
	BadConfig:         {http.StatusUnprocessableEntity, OutcomeNotRun, RetryNever, ExitRefused, "The cluster configuration is invalid"},
	BodyTooLarge:      {http.StatusRequestEntityTooLarge, OutcomeNotRun, RetryNever, ExitRefused, "The body exceeds the limit"},
	HeaderTooLarge:    {http.StatusRequestHeaderFieldsTooLarge, OutcomeNotRun, RetryNever, ExitRefused, "The header exceeds the limit"},
	UnknownService:    {http.StatusNotFound, OutcomeNotRun, RetryNever, ExitRefused, "The service is not declared"},
	NotFound:          {http.StatusNotFound, OutcomeNotRun, RetryNever, ExitRefused, "The object does not exist"},
	MethodNotAllowed:  {http.StatusMethodNotAllowed, OutcomeNotRun, RetryNever, ExitUsage, "The method is not allowed"},
	NoTarget:          {http.StatusServiceUnavailable, OutcomeNotRun, RetryLater, ExitRefused, "No target is ready"},
	Overloaded:        {http.StatusServiceUnavailable, OutcomeNotRun, RetryLater, ExitRefused, "The service is overloaded"},
	DeadlineExceeded:  {http.StatusServiceUnavailable, OutcomeNotRun, RetryLater, ExitRefused, "The deadline passed before the request was sent"},
	TargetFailed:      {http.StatusBadGateway, OutcomeUnknown, RetrySameID, ExitUnknown, "The target failed during the request"},
	UnknownOutcome:    {http.StatusBadGateway, OutcomeUnknown, RetrySameID, ExitUnknown, "The outcome is unknown"},
	AlreadyClaimed:    {http.StatusConflict, OutcomeUnknown, RetrySameID, ExitUnknown, "The idempotency key is already claimed"},
	Stopping:          {http.StatusServiceUnavailable, OutcomeNotRun, RetryLater, ExitRefused, "The process is stopping"},
	NotLeader:         {http.StatusServiceUnavailable, OutcomeNotRun, RetryLater, ExitRefused, "The control process is not the leader"},
	NoQuorum:          {http.StatusServiceUnavailable, OutcomeNotRun, RetryLater, ExitRefused, "The control group has no leader"},
	Unreachable:       {http.StatusServiceUnavailable, OutcomeNotRun, RetryLater, ExitRefused, "The process cannot be reached"},
	StaleIncarnation:  {http.StatusConflict, OutcomeNotRun, RetryNever, ExitRefused, "The incarnation is stale"},
	StaleEpoch:        {http.StatusConflict, OutcomeNotRun, RetryNever, ExitRefused, "The epoch is stale"},
	VersionConflict:   {http.StatusConflict, OutcomeNotRun, RetryNever, ExitRefused, "The version is not the current one"},
	CommandReused:     {http.StatusConflict, OutcomeNotRun, RetryNever, ExitRefused, "The command ID belongs to another command"},
	AlreadyExists:     {http.StatusConflict, OutcomeNotRun, RetryNever, ExitRefused, "The object already exists"},
	InvalidTransition: {http.StatusConflict, OutcomeNotRun, RetryNever, ExitRefused, "The state does not accept the event"},
	CapacityExceeded:  {http.StatusConflict, OutcomeNotRun, RetryLater, ExitRefused, "The host has too little free capacity"},
	Corrupt:           {http.StatusInternalServerError, OutcomeUnknown, RetryNever, ExitInternal, "Stored data is corrupt"},
	Storage:           {http.StatusInternalServerError, OutcomeUnknown, RetrySameID, ExitUnknown, "Stored data cannot be read or written"},
	Canceled:          {StatusClientClosedRequest, OutcomeUnknown, RetrySameID, ExitUnknown, "The caller canceled the request"},
	Internal:          {http.StatusInternalServerError, OutcomeUnknown, RetrySameID, ExitUnknown, "Internal error"},
}

// StatusClientClosedRequest is the nonstandard but common status for a request
// that its caller canceled. It appears only in logs and metrics.
const StatusClientClosedRequest = 499

// Answer returns the answer of kind k, that of Internal if k is not listed.
func (k Kind) Answer() Answer {
	if a, ok := answers[k]; ok {
		return a
	}
	return answers[Internal]
}

// All returns every kind of the closed list, in no particular order.
func All() []Kind {
	list := make([]Kind, 0, len(answers))
	for k := range answers {
		list = append(list, k)
	}
	return list
}
