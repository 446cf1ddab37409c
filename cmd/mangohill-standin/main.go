// Command mangohill-standin runs simulated parts of the platform against a running
// system: workers that simulate tasks, targets that respond to requests, and a load
// generator that checks every response.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"
)

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	parser := flags.NewNamedParser("mangohill-standin", flags.HelpFlag|flags.PassDoubleDash)
	addCommand(parser, "workers", "run stand-in workers", &workersCommand{})
	addCommand(parser, "targets", "run stand-in targets", &targetsCommand{})
	addCommand(parser, "load", "send requests and check the answers", &loadCommand{})
	_, err := parser.ParseArgs(args)
	var flagError *flags.Error
	switch {
	case err == nil:
		return 0
	case errors.As(err, &flagError) && flagError.Type == flags.ErrHelp:
		fmt.Println(flagError.Message)
		return 0
	case errors.As(err, &flagError):
		fmt.Fprintln(os.Stderr, err)
		return 2
	default:
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
}

func addCommand(parser *flags.Parser, name, description string, data flags.Commander) {
	if _, err := parser.AddCommand(name, description, "", data); err != nil {
		panic(err) // The command's struct tags are invalid.
	}
}

// signalContext returns a context that SIGTERM or SIGINT cancels.
func signalContext() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
}
