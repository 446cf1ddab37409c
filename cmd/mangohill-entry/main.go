// Command mangohill-entry runs one entry host process.
package main

import (
	"context"
	"os"

	"mangohill.example/mangohill/internal/cli"
	"mangohill.example/mangohill/node"
	"mangohill.example/mangohill/settings"
)

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	var flags cli.Flags
	if code, done := cli.Parse(&flags, args); done {
		return code
	}
	loaded, code, done := cli.Load(flags, settings.Entry)
	if done {
		return code
	}
	return cli.Serve(func(ctx context.Context) error {
		return node.RunEntry(ctx, loaded)
	})
}
