// Package cli holds the shared parts of the daemons' command lines: the flags, the
// check of the settings, and the graceful shutdown on SIGTERM and SIGINT.
package cli

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"

	"mangohill.example/mangohill/kind"
	"mangohill.example/mangohill/settings"
)

// Flags holds the command-line flags that all daemons share.
type Flags struct {
	Settings string `long:"settings" value-name:"FILE" required:"true" description:"settings file (YAML)"`
	Check    bool   `long:"check" description:"check the settings, print each fault and exit"`
}

// Parse parses the command line into flagsStruct, a pointer to a struct that embeds
// Flags. If the program must exit immediately, done is true and code is its exit
// code.
func Parse(flagsStruct any, args []string) (code int, done bool) {
	parser := flags.NewParser(flagsStruct, flags.HelpFlag|flags.PassDoubleDash)
	rest, err := parser.ParseArgs(args)
	var flagError *flags.Error
	if errors.As(err, &flagError) && flagError.Type == flags.ErrHelp {
		fmt.Println(flagError.Message)
		return kind.ExitDone, true
	}
	if err == nil && len(rest) > 0 {
		err = fmt.Errorf("unexpected argument %q", rest[0])
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return kind.ExitUsage, true
	}
	return 0, false
}

// Load reads the settings file and prints its faults to standard error. If the
// program must exit immediately, done is true and code is its exit code.
func Load(f Flags, program settings.Program) (loaded *settings.Settings, code int, done bool) {
	loaded, faults := settings.Load(f.Settings, program)
	for _, fault := range faults {
		fmt.Fprintln(os.Stderr, fault)
	}
	if len(faults) > 0 {
		return nil, kind.ExitUsage, true
	}
	if f.Check {
		return loaded, kind.ExitDone, true
	}
	return loaded, 0, false
}

// Serve runs a daemon until SIGTERM or SIGINT and returns its exit code. If run
// returns an error, Serve prints it and returns kind.ExitUsage for bad settings,
// such as an address that cannot be bound, and kind.ExitRefused for other errors.
func Serve(run func(ctx context.Context) error) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	err := run(ctx)
	if err == nil {
		return kind.ExitDone
	}
	fmt.Fprintln(os.Stderr, err)
	if kind.Is(err, kind.BadSettings) {
		return kind.ExitUsage
	}
	return kind.ExitRefused
}
