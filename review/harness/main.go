// Command harness plays the cases of the review: it starts the system's own programs, stand-ins
// of executors, of the infrastructure's machines, of callers and of the operator, and checks one
// rule of RULES.md. It exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// cases returns whether the rule held.
var cases = map[string]func(f *fleet, trouble bool) bool{
	"crash-loop":  crashLoop,
	"schedules":   schedules,
	"sick":        sick,
	"two-crashes": twoCrashes,
	"waiting":     waiting,
	"wave":        wave,
}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness CASE PROGRAM RECORD")
		os.Exit(2)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2], os.Args[3]))
}

func play(c func(f *fleet, trouble bool) bool, binary, record string) (code int) {
	trouble := os.Getenv("TROUBLE") != "0"
	f := newFleet(binary, record)
	defer f.stop()
	defer func() {
		if cause := recover(); cause != nil {
			f.note("the case couldn't run: %v", cause)
			fmt.Fprintln(os.Stderr, "the case couldn't run:", cause)
			code = 2
		}
	}()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		f.stop()
		os.Exit(2)
	}()
	time.AfterFunc(115*time.Second, func() {
		f.note("the case takes too long")
		f.stop()
		os.Exit(2)
	})
	f.note("trouble: %t", trouble)
	if c(f, trouble) {
		f.note("the rule held")
		fmt.Println("the rule held")
		return 0
	}
	f.note("the rule was broken")
	fmt.Println("the rule was broken; see", record)
	return 1
}

// settle waits until the system is up and its core has been stable for StableWindowMs beyond
// CatchUpS.
func (f *fleet) settle() {
	f.configure()
	time.Sleep(8 * time.Second)
}
