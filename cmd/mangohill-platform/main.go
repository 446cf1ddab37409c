// Command mangohill-platform runs one process of Mangohill on the users'
// platform: "entry" on entry hosts, "control" on control hosts. "explain" asks the
// leader where a job would be placed now. It reads the platform's settings file.
//
// The platform loads a library into its processes, which must therefore be linked
// against the C library. Importing "C" has no other purpose.
package main

import "C"

import (
	"context"
	"errors"
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"

	"mangohill.example/mangohill/internal/cli"
	"mangohill.example/mangohill/kind"
	"mangohill.example/mangohill/platform"
)

func main() { os.Exit(run(os.Args[1:])) }

var roles = map[string]func(context.Context, *platform.Settings) error{
	"entry":   platform.RunEntry,
	"control": platform.RunControl,
}

func run(args []string) int {
	if len(args) > 0 && args[0] == "explain" {
		return explain(args[1:])
	}
	if len(args) != 1 || roles[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: mangohill-platform entry|control|explain")
		return kind.ExitUsage
	}
	settings, err := platform.LoadSettings()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return kind.ExitUsage
	}
	return cli.Serve(func(ctx context.Context) error { return roles[args[0]](ctx, settings) })
}

// explain runs the command "explain" and returns its exit code.
func explain(args []string) int {
	var options platform.ExplainOptions
	parser := flags.NewParser(&options, flags.HelpFlag|flags.PassDoubleDash)
	parser.Usage = "explain [--job ID | --queue NAME | --host HOST --path PREFIX] [--json] [FILE]"
	rest, err := parser.ParseArgs(args)
	var flagError *flags.Error
	if errors.As(err, &flagError) && flagError.Type == flags.ErrHelp {
		fmt.Println(flagError.Message)
		return kind.ExitDone
	}
	if err == nil && len(rest) > 0 {
		err = fmt.Errorf("unexpected argument %q", rest[0])
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return kind.ExitUsage
	}
	settings, err := platform.LoadSettings()
	if err == nil {
		err = platform.RunExplain(context.Background(), settings, &options, os.Stdin, os.Stdout)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return kind.Of(err).Answer().Exit
	}
	return kind.ExitDone
}
