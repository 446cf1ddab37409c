//go:build review3

// Command standin-3 plays the cases of the third review that are scripts: it starts the project's
// own programs with the commands of the deploy file and stands in for executors, requesters and
// the operator.
//
//	standin-3 CASE FOLDER RECORD
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

var cases = map[string]func(c *cluster, trouble bool) (broken string){}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-3 CASE FOLDER RECORD")
		os.Exit(2)
	}
	root, err := os.Getwd()
	if err != nil {
		cannotRun("%v", err)
	}
	record := newRecord(os.Args[3])
	running = newCluster(root, os.Args[2], record, os.Args[1] == "wave")
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-signals
		cleanUp()
		os.Exit(2)
	}()
	trouble := os.Getenv("TROUBLE") != "0"
	record.add("case %s, trouble %v", os.Args[1], trouble)
	broken := cases[os.Args[1]](running, trouble)
	cleanUp()
	if broken != "" {
		record.add("BROKEN: %s", broken)
		fmt.Println("broken:", broken)
		os.Exit(1)
	}
	record.add("held")
	fmt.Println("held")
}
