// Command mangohill-control runs one replica of the control group.
package main

import (
	"context"
	"os"

	"mangohill.example/mangohill/internal/cli"
	"mangohill.example/mangohill/node"
	"mangohill.example/mangohill/settings"
)

type options struct {
	cli.Flags
	Bootstrap bool `long:"bootstrap" description:"create a new cluster of one member; refused if the data folder holds anything"`
}

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	var o options
	if code, done := cli.Parse(&o, args); done {
		return code
	}
	loaded, code, done := cli.Load(o.Flags, settings.Control)
	if done {
		return code
	}
	return cli.Serve(func(ctx context.Context) error {
		return node.RunControl(ctx, loaded, o.Bootstrap)
	})
}
