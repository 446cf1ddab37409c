package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Bounds of the pages.
const (
	cancelMs  = 3000 * time.Millisecond
	visibleMs = 3000 * time.Millisecond
	stopMs    = 900 * time.Millisecond
)

// begin starts a deployment with workers, configures it, and waits until it is steady.
func (d *deployment) begin(entries, workers int, queues ...queue) error {
	if err := d.startSystem(entries); err != nil {
		return err
	}
	if err := d.configure(queues...); err != nil {
		return err
	}
	for n := 1; n <= workers; n++ {
		if err := d.startWorker(n); err != nil {
			return err
		}
	}
	if err := d.ready(); err != nil {
		return err
	}
	time.Sleep(5 * time.Second) // Longer than StableWindowMs and CatchUpS.
	return nil
}

// state returns the state of a job, empty without an answer 200.
func (d *deployment) state(entry int, path string) (string, answer) {
	a := d.call(http.MethodGet, d.entry(entry), path, "", 3*time.Second)
	var reply struct{ State string }
	if a.status != http.StatusOK || json.Unmarshal([]byte(a.body), &reply) != nil {
		return "", a
	}
	return reply.State, a
}

// crashes: one of 8 executors crashes again and again. A job of tasks that last must run on.
func crashes(d *deployment, trouble bool) (verdict, error) {
	if err := d.begin(2, 8, queue{"watch", "/watch/", 0, 4}); err != nil {
		return verdict{}, err
	}
	const job, flaky, most = "5c0e7a21d94b36f8", 3, 6
	flakyID := fmt.Sprintf("i-%d", flaky)
	// One task on each of the 8 executors.
	body := `{"Spec":"run=0 serve","Phases":[{"Count":8,"Cpu":13000,"MemMb":26000,"EstimateMs":400,"Perpetual":true,"MaxPerServer":1,"Image":"rounds"}]}`
	if a := d.call(http.MethodPost, d.entry(1), "/watch/"+job, body, 3*time.Second); a.status != http.StatusOK {
		return verdict{}, fmt.Errorf("the job was not accepted: %d", a.status)
	}
	all := func() bool { return len(d.running(job)) == 8 }
	if err := d.until(10*time.Second, "all tasks run", all); err != nil {
		return verdict{}, err
	}
	time.Sleep(2 * time.Second)
	for n := 1; n <= most; n++ {
		if trouble {
			d.note("TROUBLE: %s crashes, time %d", flakyID, n)
			d.workers[flakyID].kill()
		}
		time.Sleep(2 * time.Second)
		if trouble {
			if err := d.startWorker(flaky); err != nil {
				return verdict{}, err
			}
		}
		// The task starts again there; after that the executor runs for 3 s.
		_ = d.until(9*time.Second, "all tasks run", all)
		time.Sleep(3 * time.Second)
		state, _ := d.state(1+n%2, "/watch/"+job)
		if state == "failed" || state == "completed" || state == "cancelled" {
			failed := len(d.seen(func(e event) bool { return e.What == "end" && e.How == "failed" }))
			time.Sleep(3 * time.Second)
			return verdict{true, fmt.Sprintf("LOST: after crash %d of one executor the job that nobody has cancelled is shown as %q; ends 'failed' of its tasks: %d; tasks that still run: %d of 8", n, state, failed, len(d.running(job)))}, nil
		}
	}
	return verdict{false, fmt.Sprintf("the job runs on, tasks at work: %d of 8", len(d.running(job)))}, nil
}

// waiting: of 10 executors 9 are busy, and one refuses all starts. The jobs that have not
// begun must be counted as waiting.
func waiting(d *deployment, trouble bool) (verdict, error) {
	if err := d.begin(2, 10, queue{"quotes", "/quotes/", 0, 2}, queue{"plans", "/plans/", 2, 3}); err != nil {
		return verdict{}, err
	}
	const filler, jobs = "00000000000000f1", 12
	body := `{"Spec":"run=60000 cpu=60000","Phases":[{"Count":9,"Cpu":60000,"MemMb":100000,"EstimateMs":60000,"MaxPerServer":1}]}`
	if a := d.call(http.MethodPost, d.entry(1), "/plans/"+filler, body, 3*time.Second); a.status != http.StatusOK {
		return verdict{}, fmt.Errorf("the job was not accepted: %d", a.status)
	}
	if err := d.until(10*time.Second, "9 executors are busy", func() bool { return len(d.running(filler)) == 9 }); err != nil {
		return verdict{}, err
	}
	busy := map[string]bool{}
	for _, w := range d.running(filler) {
		busy[w] = true
	}
	free := ""
	for id := range d.workers {
		if !busy[id] {
			free = id
		}
	}
	time.Sleep(2 * time.Second)
	if trouble {
		d.note("TROUBLE: %s answers all starts with 503", free)
		fmt.Fprintln(d.workers[free].in, "shed")
	}
	troubleAt := time.Now()
	time.Sleep(20 * time.Millisecond)
	var ids []string
	var group sync.WaitGroup
	accepted := make([]answer, jobs)
	for n := range jobs {
		ids = append(ids, fmt.Sprintf("%016x", 0xa0+n))
		group.Go(func() {
			accepted[n] = d.call(http.MethodPost, d.entry(1+n%2), "/quotes/"+ids[n], `{"Spec":"run=2000 cpu=5000","Phases":[{"Count":1,"Cpu":5000,"MemMb":1000,"EstimateMs":2000}]}`, 3*time.Second)
		})
	}
	group.Wait()
	if slices.ContainsFunc(accepted, func(a answer) bool { return a.status != http.StatusOK }) {
		return verdict{}, fmt.Errorf("not all jobs were accepted")
	}
	last := slices.MaxFunc(accepted, func(a, b answer) int { return a.at.Compare(b.at) }).at
	time.Sleep(time.Until(last.Add(visibleMs + 2*time.Second + 20*time.Millisecond)))
	begun := func() int {
		return len(d.seen(func(e event) bool { return e.What == "start" && slices.Contains(ids, strings.Split(e.Task, ".")[0]) }))
	}
	var v verdict
	for n := range 3 {
		a := d.call(http.MethodGet, d.entry(1+n%2), "/quotes/", "", 3*time.Second)
		notBegun := jobs - begun() // After the answer: fewer than when it was given, if anything.
		var reply struct{ Waiting int }
		if a.status != http.StatusOK || json.Unmarshal([]byte(a.body), &reply) != nil {
			return verdict{}, fmt.Errorf("the queue was not counted: %d", a.status)
		}
		d.note("Waiting is given as %d, %d jobs were accepted over 5 s ago and have not begun", reply.Waiting, notBegun)
		if 2*reply.Waiting < notBegun && !v.broken {
			v = verdict{true, fmt.Sprintf("MIXED: Waiting is given as %d, while %d jobs that were accepted over visible_ms + 2 s before have not begun", reply.Waiting, notBegun)}
		}
		time.Sleep(50 * time.Millisecond)
	}
	if trouble {
		time.Sleep(time.Until(troubleAt.Add(5500 * time.Millisecond)))
		d.note("TROUBLE: over")
		fmt.Fprintln(d.workers[free].in, "sound")
	}
	_ = d.until(10*time.Second, "all jobs begin", func() bool { return begun() >= jobs })
	if !v.broken {
		v.text = fmt.Sprintf("the counts were right, %d of %d jobs have begun", begun(), jobs)
	}
	return v, nil
}

// cancelled: a client sends a job to an entry process that stands still, gets no answer,
// cancels the job at another one, and is told that there is no such job. No task of it may
// start later than cancel_ms after that.
func cancelled(d *deployment, trouble bool) (verdict, error) {
	if err := d.begin(8, 8, queue{"watch", "/watch/", 0, 4}); err != nil {
		return verdict{}, err
	}
	const job = "5c0e7a21d94b36f8"
	body := `{"Spec":"run=0 serve","Phases":[{"Count":2,"Cpu":2000,"MemMb":1000,"EstimateMs":400,"Perpetual":true}]}`
	// Seven other clients, which stay.
	var others sync.WaitGroup
	defer others.Wait()
	for n := range 7 {
		others.Go(func() {
			for k := range 10 {
				d.call(http.MethodPost, d.entry(2+n), fmt.Sprintf("/watch/%016x", 0x1000+16*n+k), `{"Spec":"run=300","Phases":[{"Count":1,"Cpu":1000,"MemMb":100,"EstimateMs":300}]}`, 3*time.Second)
				time.Sleep(500 * time.Millisecond)
			}
		})
	}
	frozenAt := time.Now()
	if trouble {
		d.note("TROUBLE: entry-1 stands still")
		d.entries[0].signal(syscall.SIGSTOP)
	}
	_ = d.call(http.MethodPost, d.entry(1), "/watch/"+job, body, 300*time.Millisecond)
	// The user leaves: the client cancels the job, at another entry process.
	deleted := d.call(http.MethodDelete, d.entry(2), "/watch/"+job, "", 3*time.Second)
	if deleted.status != http.StatusOK && deleted.status != http.StatusGone {
		return verdict{}, fmt.Errorf("the cancel was not acknowledged: %d", deleted.status)
	}
	time.Sleep(time.Until(frozenAt.Add(4 * time.Second)))
	if trouble {
		d.note("TROUBLE: entry-1 goes on")
		d.entries[0].signal(syscall.SIGCONT)
	}
	// A stretch without any impairment: a task of a cancelled job has to be gone after it.
	time.Sleep(cancelMs + stopMs + 2*time.Second)
	state, _ := d.state(3, "/watch/"+job)
	var late []event
	for _, e := range d.startsOf(job) {
		if time.UnixMilli(e.AtMs).Sub(deleted.at) > cancelMs {
			late = append(late, e)
		}
	}
	text := fmt.Sprintf("the cancelling was acknowledged with %d, %d tasks started later than cancel_ms after that, %d run still, %.1f s after it, the job is shown as %q", deleted.status, len(late), len(d.running(job)), time.Since(deleted.at).Seconds(), state)
	if len(late) > 0 || len(d.running(job)) > 0 {
		return verdict{true, "UNASKED: " + text}, nil
	}
	return verdict{false, text}, nil
}

// paused: the users of four services come at once for 3 s, and are gone after that. The tasks
// that fill the capacity beside them must run again.
func paused(d *deployment, trouble bool) (verdict, error) {
	const workers = 4
	if err := d.begin(2, workers, queue{"watch", "/watch/", 0, 4}, queue{"plans", "/plans/", 2, 3}); err != nil {
		return verdict{}, err
	}
	const services, first, second = "00000000000000b1", "00000000000000f1", "00000000000000f2"
	submit := func(path, body string) error {
		if a := d.call(http.MethodPost, d.entry(1), path, body, 3*time.Second); a.status != http.StatusOK {
			return fmt.Errorf("the job was not accepted: %d", a.status)
		}
		return nil
	}
	tails := func(ms int) {
		for _, w := range d.workers {
			fmt.Fprintln(w.in, "tail", ms)
		}
	}
	// A service on each executor, whose answers take 20 ms; its target is 50 ms.
	if err := submit("/watch/"+services, `{"Spec":"run=0 serve","Phases":[{"Count":4,"Cpu":13000,"MemMb":26000,"EstimateMs":400,"Perpetual":true,"MaxPerServer":1,"Image":"rounds","TargetMs":50}]}`); err != nil {
		return verdict{}, err
	}
	if err := d.until(10*time.Second, "the services run", func() bool { return len(d.running(services)) == workers }); err != nil {
		return verdict{}, err
	}
	time.Sleep(4 * time.Second)
	// A task that fills, of 12 s, beside each of them.
	fill := `{"Spec":"run=%d cpu=8000","Phases":[{"Count":4,"Cpu":8000,"MemMb":8000,"EstimateMs":%d,"MaxPerServer":1,"Fills":true,"Image":"plans"}]}`
	if err := submit("/plans/"+first, fmt.Sprintf(fill, 12000, 12000)); err != nil {
		return verdict{}, err
	}
	if err := d.until(20*time.Second, "a task that fills runs beside each service", func() bool { return len(d.running(first)) == workers }); err != nil {
		return verdict{}, err
	}
	time.Sleep(2 * time.Second)
	if trouble {
		d.note("TROUBLE: many users come at once, the answers of the services take 130 ms")
		tails(130)
	}
	time.Sleep(3 * time.Second)
	d.note("the users are gone, the tail of no answers is 0 ms")
	tails(0)
	time.Sleep(3 * time.Second)
	// The last job of the day. Each executor has 64 cores, of which 13 are in use.
	if err := submit("/plans/"+second, fmt.Sprintf(fill, 2000, 2000)); err != nil {
		return verdict{}, err
	}
	const finish = 14 * time.Second
	time.Sleep(finish)
	state, _ := d.state(2, "/plans/"+second)
	begun, done := len(d.startsOf(second)), 0
	for _, e := range d.seen(func(e event) bool { return e.What == "end" && e.How == "done" }) {
		if strings.HasPrefix(e.Task, second+".") {
			done++
		}
	}
	text := fmt.Sprintf("finish_s after the last job was accepted it is shown as %q, %d of its 4 tasks have begun and %d are done, while 13 of 64 cores of each executor are in use", state, begun, done)
	if begun == 0 {
		time.Sleep(20 * time.Second)
		_, _ = d.state(1, "/plans/"+first)
		return verdict{true, fmt.Sprintf("LOST: %s; 20 s later %d have begun, and of the 4 tasks that worked before %d have ended", text, len(d.startsOf(second)), workers-len(d.running(first)))}, nil
	}
	return verdict{false, text}, nil
}

// first: the operator's first configuration has the version 0. It is acknowledged, then the
// leader is killed. What was acknowledged must be there.
func first(d *deployment, trouble bool) (verdict, error) {
	if err := d.startSystem(2); err != nil {
		return verdict{}, err
	}
	body, acknowledged := config(0, queue{"watch", "/watch/", 0, 4}), false
	for n := 0; n < 100 && !acknowledged; n++ {
		a := d.call(http.MethodPut, d.control(1+n%3), "/-/config", body, time.Second)
		if a.status/100 == 4 {
			return verdict{false, fmt.Sprintf("the configuration was refused with %d", a.status)}, nil
		}
		acknowledged = a.status == http.StatusOK
		time.Sleep(300 * time.Millisecond)
	}
	if !acknowledged {
		return verdict{}, fmt.Errorf("the configuration was not acknowledged")
	}
	time.Sleep(6 * time.Second)
	read := func() (there bool) {
		for n := range 3 {
			if a := d.call(http.MethodGet, d.control(1+n), "/-/config", "", time.Second); a.status == http.StatusOK {
				there = a.body == body
			}
		}
		return there
	}
	if !read() {
		return verdict{}, fmt.Errorf("the configuration cannot be read before the disruption")
	}
	if trouble {
		for n, p := range d.controls {
			if strings.Contains(d.log(p.name), `"event":"leading"`) {
				d.note("TROUBLE: control-%d, which leads, is killed", n+1)
				p.kill()
				time.Sleep(3 * time.Second)
				if err := d.restartControl(n + 1); err != nil {
					return verdict{}, err
				}
				break
			}
		}
		time.Sleep(3 * time.Second)
	}
	end := time.Now().Add(20 * time.Second)
	for time.Now().Before(end) {
		if read() {
			return verdict{false, "the acknowledged configuration is read back"}, nil
		}
		time.Sleep(time.Second)
	}
	return verdict{true, "LOST: for 20 s the configuration that was acknowledged is read back from no control process"}, nil
}

// lost: an executor is lost for good just before a job is handed in, whose only task is placed
// there. The job must run on one of the others.
func lost(d *deployment, trouble bool) (verdict, error) {
	if err := d.begin(2, 8, queue{"quotes", "/quotes/", 0, 2}, queue{"plans", "/plans/", 2, 3}); err != nil {
		return verdict{}, err
	}
	const filler, job = "00000000000000f1", "00000000000000a1"
	submit := func(path, body string) error {
		if a := d.call(http.MethodPost, d.entry(1), path, body, 3*time.Second); a.status != http.StatusOK {
			return fmt.Errorf("the job was not accepted: %d", a.status)
		}
		return nil
	}
	// The executor that runs this task has the least room, so that the next task goes there.
	if err := submit("/plans/"+filler, `{"Spec":"run=60000 cpu=8000","Phases":[{"Count":1,"Cpu":8000,"MemMb":8000,"EstimateMs":60000}]}`); err != nil {
		return verdict{}, err
	}
	if err := d.until(10*time.Second, "the first task runs", func() bool { return len(d.running(filler)) == 1 }); err != nil {
		return verdict{}, err
	}
	time.Sleep(2 * time.Second)
	for _, id := range d.running(filler) {
		if trouble {
			d.note("TROUBLE: %s is silent from now on", id)
			d.workers[id].signal(syscall.SIGSTOP)
		}
	}
	if err := submit("/quotes/"+job, `{"Spec":"run=1000 cpu=4000","Phases":[{"Count":1,"Cpu":4000,"MemMb":1000,"EstimateMs":1000}]}`); err != nil {
		return verdict{}, err
	}
	accepted := time.Now()
	time.Sleep(14 * time.Second)
	state, _ := d.state(2, "/quotes/"+job)
	begun := len(d.startsOf(job))
	_ = d.until(15*time.Second, "the task begins", func() bool { return len(d.startsOf(job)) > 0 })
	text := fmt.Sprintf("finish_s after the last job was accepted it is shown as %q and %d of its tasks have begun, with 7 idle executors; it has begun after %.1f s", state, begun, time.Since(accepted).Seconds())
	return verdict{begun == 0, text}, nil
}

// blamed: starts of a sound task stay without an answer for 4.7 s, and the executor that got
// them crashes three times, before the task has run anywhere. Its job must not fail.
func blamed(d *deployment, trouble bool) (verdict, error) {
	const workers, job, crashes = 10, "00000000000000a1", 3
	if err := d.begin(2, workers, queue{"quotes", "/quotes/", 0, 2}, queue{"plans", "/plans/", 2, 3}); err != nil {
		return verdict{}, err
	}
	command := func(text string) {
		d.mu.Lock()
		defer d.mu.Unlock()
		for _, w := range d.workers {
			fmt.Fprintln(w.in, text)
		}
	}
	stop := make(chan struct{})
	var group sync.WaitGroup
	group.Go(func() { // Other work, whose starts are answered.
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(80 * time.Millisecond):
			}
			d.call(http.MethodPost, d.entry(1+n%2), fmt.Sprintf("/plans/%016x", 0x1000+n), `{"Spec":"run=300 cpu=4000","Phases":[{"Count":3,"Cpu":4000,"MemMb":500,"EstimateMs":300}]}`, 3*time.Second)
		}
	})
	defer group.Wait()
	defer close(stop)
	time.Sleep(2 * time.Second)
	muteAt := time.Now()
	if trouble {
		d.note("TROUBLE: starts of the tasks of job %s stay without an answer", job)
		command("mute " + job)
	}
	if a := d.call(http.MethodPost, d.entry(1), "/quotes/"+job, `{"Spec":"run=1000 cpu=4000","Phases":[{"Count":1,"Cpu":4000,"MemMb":1000,"EstimateMs":1000}]}`, 3*time.Second); a.status != http.StatusOK {
		return verdict{}, fmt.Errorf("the job was not accepted: %d", a.status)
	}
	unanswered := func(from int64) []event {
		return d.seen(func(e event) bool { return e.What == "unanswered" && e.AtMs >= from })
	}
	killed, killedAt, muted, done := 0, int64(0), time.Duration(0), 0
	for trouble && killed < crashes {
		if err := d.until(5*time.Second, "a start is sent", func() bool { return len(unanswered(killedAt)) > 0 }); err != nil {
			d.note("%v", err)
			break
		}
		held := unanswered(killedAt)[0]
		var n int
		_, _ = fmt.Sscanf(held.Worker, "i-%d", &n)
		time.Sleep(time.Until(time.UnixMilli(held.AtMs).Add(900 * time.Millisecond)))
		killed++
		killedAt = time.Now().UnixMilli()
		d.note("TROUBLE: %s crashes", held.Worker)
		d.workers[held.Worker].kill()
		mute := job
		if killed == crashes {
			mute = ""
			muted = time.Since(muteAt)
			done = len(d.seen(func(e event) bool { return e.What == "start" && e.AtMs >= muteAt.UnixMilli() }))
			d.note("TROUBLE: all starts are answered again, after %.1f s", muted.Seconds())
			command("mute -")
		}
		time.Sleep(time.Second)
		if err := d.startMuteWorker(n, mute); err != nil {
			return verdict{}, err
		}
	}
	command("mute -")
	_ = d.until(15*time.Second, "the job ends", func() bool {
		state, _ := d.state(1, "/quotes/"+job)
		time.Sleep(500 * time.Millisecond)
		return state == "completed" || state == "failed"
	})
	state, _ := d.state(2, "/quotes/"+job)
	ended := len(d.seen(func(e event) bool { return e.What == "end" && strings.HasPrefix(e.Task, job+".") }))
	d.note("in %.1f s %d starts stayed without an answer, %d others were carried out", muted.Seconds(), len(unanswered(0)), done)
	text := fmt.Sprintf("the job is shown as %q after %d crashes; its task has begun %d times, and none of its runs has ended as failed (%d ends)", state, killed, len(d.startsOf(job)), ended)
	if state != "completed" {
		return verdict{true, "LOST: " + text}, nil
	}
	return verdict{false, text}, nil
}
