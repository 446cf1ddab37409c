// Command mangohill-platform runs one process of Mangohill on the users'
// platform: "entry" on entry hosts, "control" on control hosts. It reads the
// platform's settings file.
//
// The platform loads a library into its processes, which must therefore be linked
// against the C library. Importing "C" has no other purpose.
package main

import "C"

import (
	"context"
	"fmt"
	"os"

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
	if len(args) != 1 || roles[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: mangohill-platform entry|control")
		return kind.ExitUsage
	}
	settings, err := platform.LoadSettings()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return kind.ExitUsage
	}
	return cli.Serve(func(ctx context.Context) error { return roles[args[0]](ctx, settings) })
}
