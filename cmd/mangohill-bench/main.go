// Command mangohill-bench measures routing and scheduling decisions in virtual time,
// and resource use, and prints tables. Each sub-command is registered by the file
// that defines it.
package main

import (
	"errors"
	"os"

	"github.com/jessevdk/go-flags"

	"mangohill.example/mangohill/kind"
)

// subcommand is a registered sub-command: its name, a one-line description and its
// options, which implement flags.Commander.
type subcommand struct {
	name        string
	description string
	options     flags.Commander
}

var subcommands []subcommand

// register adds a sub-command. It is called from init functions.
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
	var flagsErr *flags.Error
	if !errors.As(err, &flagsErr) {
		return kind.ExitRefused
	}
	if flagsErr.Type == flags.ErrHelp {
		return kind.ExitDone
	}
	return kind.ExitUsage
}
