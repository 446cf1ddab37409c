package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// verdict is what a case has shown.
type verdict struct {
	broken bool
	text   string
}

var cases = map[string]func(*deployment, bool) (verdict, error){
	"crashes": crashes, "waiting": waiting, "cancelled": cancelled, "paused": paused, "lost": lost, "blamed": blamed, "first": first,
}

// caseTime bounds a case.
const caseTime = 110 * time.Second

// drive plays a case and returns its exit code. TROUBLE=0 plays it without the disruption.
func drive(name, recordPath string) int {
	play := cases[name]
	if play == nil {
		fmt.Fprintln(os.Stderr, "unknown case", name)
		return exitNotRun
	}
	d, err := newDeployment(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer d.stop()
	type outcome struct {
		verdict
		err error
	}
	done := make(chan outcome, 1)
	trouble := os.Getenv("TROUBLE") != "0"
	d.note("case %s, with the disruption: %t", name, trouble)
	go func() {
		v, err := play(d, trouble)
		done <- outcome{v, err}
	}()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	select {
	case o := <-done:
		switch {
		case o.err != nil:
			d.note("the case could not run: %v", o.err)
			for n := range d.controls {
				text := d.log(fmt.Sprintf("control-%d", n+1))
				d.note("end of the log of control-%d: %s", n+1, text[max(0, len(text)-500):])
			}
			fmt.Println("the case could not run:", o.err)
			return exitNotRun
		case o.broken:
			d.note("BROKEN: %s", o.text)
			fmt.Println("BROKEN:", o.text)
			return exitBroken
		}
		d.note("held: %s", o.text)
		fmt.Println("held:", o.text)
		return exitHeld
	case <-signals:
	case <-time.After(caseTime):
	}
	d.note("the case did not end in time")
	fmt.Println("the case did not end in time")
	return exitNotRun
}
