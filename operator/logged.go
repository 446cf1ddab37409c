package operator

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"mangohill.example/mangohill/controlapi"
	"mangohill.example/mangohill/internal/logging"
)

// Logged returns an Executor that writes one line to log for each command that
// executor has answered: its ID, text, outcome, kind and duration.
func Logged(executor Executor, log zerolog.Logger) Executor { return logged{executor, log} }

type logged struct {
	executor Executor
	log      zerolog.Logger
}

// Execute implements Executor.
func (l logged) Execute(ctx context.Context, args controlapi.CommandArgs) (controlapi.CommandReply, error) {
	begin := time.Now()
	reply, err := l.executor.Execute(ctx, args)
	shown := reply
	if err != nil {
		shown = ReplyOf(err)
	}
	l.log.Info().Str(logging.FieldCommand, args.ID).Str("text", args.Text).Str("outcome", string(shown.Outcome)).
		Str("kind", string(shown.Kind)).Dur("took_ms", time.Since(begin)).Msg("command answered")
	return reply, err
}
