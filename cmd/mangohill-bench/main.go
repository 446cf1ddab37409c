// Command mangohill-bench measures the decision code in virtual time and prints
// tables. Each sub-command has its own file, which registers it.
package main

import (
	"errors"
	"os"

	"github.com/jessevdk/go-flags"

	"mangohill.example/mangohill/kind"
)

// subcommand is a registered sub-command: its name, a one-line description and
// the options, which implement flags.Commander.
type subcommand struct {
	name        string
	description string
	options     flags.Commander
}

var subcommands []subcommand

// register adds a sub-command. Files call it from init.
func register(name, description string, options flags.Commander) {
	subcommands = append(subcommands, subcommand{name, description, options})
}

func main() {
	os.Exit(run(os.Args[1:]))
}

func run(args []string) int {
	parser := flags.NewNamedParser("mangohill-bench", flags.Default)
	for _, s := range subcommands {
		if _, err := parser.AddCommand(s.name, s.description, s.description, s.options); err != nil {
			return kind.ExitInternal
		}
	}
	_, err := parser.ParseArgs(args)
	return exitCode(err)
}

func exitCode(err error) int {
	if err == nil {
		return kind.ExitDone
	}
	var fault *flags.Error
	if !errors.As(err, &fault) {
		return kind.ExitRefused
	}
	if fault.Type == flags.ErrHelp {
		return kind.ExitDone
	}
	return kind.ExitUsage
}
