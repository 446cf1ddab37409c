// Command standin has the stand-ins of the second review: executors as processes of
// their own ("worker"), and the driver of a case ("drive"), which starts the project's
// processes, acts as client and operator, and checks the rule.
package main

import (
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

func main() {
	if len(os.Args) >= 2 {
		switch os.Args[1] {
		case "worker":
			runWorker(os.Args[2:])
			return
		case "drive":
			if len(os.Args) == 4 {
				os.Exit(drive(os.Args[2], os.Args[3]))
			}
		}
	}
	fmt.Fprintln(os.Stderr, "usage: standin worker FLAGS | standin drive CASE RECORD")
	os.Exit(exitNotRun)
}
