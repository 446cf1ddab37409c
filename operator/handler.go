package operator

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"

	"github.com/google/uuid"

	"mangohill.example/mangohill/controlapi"
	"mangohill.example/mangohill/kind"
)

// CommandsPath is the path of the commands' resource.
const CommandsPath = "/v1/commands"

// MaxBodyBytes bounds the body of a request.
const MaxBodyBytes = 2 << 20

// Executor executes a command. An error means that no outcome of the command was
// recorded; the kind of the error says whether the command may have run.
type Executor interface {
	Execute(ctx context.Context, args controlapi.CommandArgs) (controlapi.CommandReply, error)
}

// Handler serves POST /v1/commands. The response to a malformed request is a
// problem document, any other one a controlapi.CommandReply.
func Handler(executor Executor) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+CommandsPath, func(w http.ResponseWriter, r *http.Request) { serve(w, r, executor) })
	mux.HandleFunc(CommandsPath, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Allow", http.MethodPost)
		kind.WriteProblem(w, kind.Errorf(kind.MethodNotAllowed, "%s takes POST, not %s", CommandsPath, r.Method))
	})
	return mux
}

func serve(w http.ResponseWriter, r *http.Request, executor Executor) {
	args, err := readArgs(w, r)
	if err != nil {
		kind.WriteProblem(w, err)
		return
	}
	reply, err := executor.Execute(r.Context(), args)
	if err != nil {
		reply = ReplyOf(err)
	}
	reply.ID = args.ID
	writeReply(w, reply)
}

// ReplyOf returns the reply that reports err. Its outcome is unknown if the command
// may have run according to the kind of err, else refused.
func ReplyOf(err error) controlapi.CommandReply {
	problem := kind.ProblemOf(err)
	reply := controlapi.CommandReply{Outcome: kind.OutcomeRefused, Kind: problem.Kind, Message: problem.Detail}
	if problem.Kind.Answer().Outcome == kind.OutcomeUnknown {
		reply.Outcome = kind.OutcomeUnknown
	}
	return reply
}

func readArgs(w http.ResponseWriter, r *http.Request) (controlapi.CommandArgs, error) {
	var args controlapi.CommandArgs
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxBodyBytes))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return args, kind.Errorf(kind.BodyTooLarge, "the command has more than %d bytes", tooLarge.Limit)
	}
	if err != nil {
		return args, kind.Errorf(kind.BadRequest, "the body cannot be read: %w", err)
	}
	if err := json.Unmarshal(body, &args); err != nil {
		return args, kind.Errorf(kind.BadRequest, "the body is not a JSON command: %w", err)
	}
	if _, err := uuid.Parse(args.ID); err != nil {
		return args, kind.Errorf(kind.BadRequest, "id: %q is not a UUID", args.ID)
	}
	if args.Text == "" {
		return args, kind.Errorf(kind.BadRequest, "text: is missing")
	}
	return args, nil
}

func writeReply(w http.ResponseWriter, reply controlapi.CommandReply) {
	status := http.StatusOK
	if reply.Outcome != kind.OutcomeDone {
		status = reply.Kind.Answer().Status
	}
	body, err := json.Marshal(reply)
	if err != nil {
		kind.WriteProblem(w, kind.Errorf(kind.Internal, "reply: %w", err))
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(body) // The client may have disconnected; the outcome is recorded under the ID.
}
