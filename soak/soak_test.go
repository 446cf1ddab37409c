// Package soak injects random faults into real processes of the platform. It starts
// entry and control processes with simulated workers and callers on loopback
// addresses, injects faults from outside, and checks the platform's guarantees
// against what callers and workers observe. It contains only test files.
package soak

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	controlCount = 3
	entryCount   = 2
	workerCount  = 6
	// settleTimeout limits the time in which all accepted jobs must end after the last
	// fault. It covers an election, the longest delay of an order and the longest lease after
	// it, for which a task may wait whose start got no answer, and two runs of a long task. It
	// also limits the time until a configuration is acknowledged.
	settleTimeout = 45 * time.Second
	// startupGrace is the time for which a starting process still counts as lost, as
	// the platform's deployment documentation states.
	startupGrace = 4 * time.Second
)

// platformBinary is the path of the built program.
var platformBinary string

func TestMain(m *testing.M) {
	folder, err := os.MkdirTemp("", "mangohill-soak-")
	if err != nil {
		panic(err)
	}
	platformBinary = filepath.Join(folder, "mangohill-platform")
	build := exec.Command("go", "build", "-o", platformBinary, "mangohill.example/mangohill/cmd/mangohill-platform")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		panic(err)
	}
	code := m.Run()
	_ = os.RemoveAll(folder) // Leftovers are in the system's temporary directory.
	os.Exit(code)
}

// process is one entry or control process; it can be restarted.
type process struct {
	role, ip, folder string
	control          bool
	command          *exec.Cmd
	stopped          bool
}

// fleet holds the processes and simulated workers of one run.
type fleet struct {
	t         *testing.T
	rng       *rand.Rand
	folder    string
	seed      uint64
	subnet    int // second octet of the loopback addresses
	processes []*process
	workers   []*worker
	checks    *checks
	mu        sync.Mutex
	accepted  map[string]bool
	version   int
	// stopped is set when no further workers are started.
	stopped bool
	late    lateOrders
	// restarts counts the faults that restart workers in the background.
	restarts sync.WaitGroup
	// processFault is held while a process is lost: the platform tolerates the loss of one
	// control process at a time.
	processFault sync.Mutex
	// overrun is set while some tasks take overrunFactor times as long as estimated.
	overrun atomic.Bool
	// evacuated and isolated are the domains that are evacuated, and whose workers are cut off,
	// empty for none. If both are set, they are the same: one domain serves at any time.
	evacuated, isolated string
	// idleRoutes is the number of routes without jobs; it grows.
	idleRoutes int
}

func (f *fleet) ip(i int) string { return fmt.Sprintf("127.%d.0.%d", f.subnet, i+1) }

func (f *fleet) controlAddresses() []string {
	var addresses []string
	for i := range controlCount {
		addresses = append(addresses, f.ip(i)+":8166")
	}
	return addresses
}

func startFleet(t *testing.T, seed uint64) *fleet {
	f := &fleet{
		t: t, rng: rand.New(rand.NewPCG(seed, 7)), folder: t.TempDir(), seed: seed, subnet: 20 + int(seed%200),
		checks: newChecks(), accepted: make(map[string]bool),
	}
	for i := range controlCount + entryCount {
		p := &process{role: "entry", ip: f.ip(i), folder: filepath.Join(f.folder, strconv.Itoa(i))}
		if i < controlCount {
			p.role, p.control = "control", true
		}
		f.processes = append(f.processes, p)
		f.start(p, true)
	}
	t.Cleanup(f.stop)
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := range workerCount {
		f.workers = append(f.workers, f.startWorker(fmt.Sprintf("i-%d", i), nil, nil))
	}
	return f
}

// start writes the settings file of a process and starts the process.
func (f *fleet) start(p *process, bootstrap bool) {
	seeds := `"` + strings.Join(f.controlAddresses(), `","`) + `"`
	listen, role := fmt.Sprintf("Front = \"%s:8161\"\nReady = \"%s:8167\"", p.ip, p.ip), "front"
	if p.control {
		listen, role = fmt.Sprintf("Control = \"%s:8166\"", p.ip), "control"
	}
	text := fmt.Sprintf("Node = %q\nServes = [%q]\nIp = %q\nZone = \"z\"\nPortRange = [7720,7735]\nSeeds = [%s]\nBootstrap = %t\nDataDir = %q\nHeartbeatMs = 1100\nControlMode = \"rpc\"\n[Listen]\n%s\n[FaultTolerance]\nMachines = 1\n[Bounds]\nGraceS = 3\nHoldMaxMs = 10000\nFarX = 2\nStableWindowMs = 3000\nEvacuateMs = 5000\n[Zones]\nza = \"r\"\nzb = \"r\"\n",
		p.role+"-"+p.ip, role, p.ip, seeds, bootstrap, p.folder, listen)
	settings := p.folder + ".toml"
	require.NoError(f.t, os.WriteFile(settings, []byte(text), 0o600))
	log, err := os.OpenFile(p.folder+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	require.NoError(f.t, err)
	p.command = exec.Command(platformBinary, p.role)
	p.command.Env = append(os.Environ(), "MANGOHILL_BOOT="+settings)
	p.command.Stdout, p.command.Stderr = log, log
	require.NoError(f.t, p.command.Start())
	require.NoError(f.t, log.Close())
	p.stopped = false
}

// startWorker starts an incarnation of a worker, at a place or at a new one if that is nil. It
// begins with orders that earlier ones left without an answer. The caller holds the lock.
func (f *fleet) startWorker(id string, at *place, orders []*lateOrder) *worker {
	w, err := newWorker(f.checks, id, at)
	if err != nil {
		panic(err) // Also called outside of the test's goroutine.
	}
	w.crashed, w.carriesOutLate = f.replaceWorker, f.late.decides
	for _, o := range orders {
		w.handle(o.path, &o.request)
	}
	w.occupant.Store(w)
	go w.announce(f.controlAddresses())
	return w
}

// kill sends SIGKILL to a process and waits until it has exited.
func (p *process) kill() {
	if p.stopped {
		return
	}
	_ = p.command.Process.Signal(syscall.SIGCONT) // Lets a paused process exit; any error is harmless.
	_ = p.command.Process.Kill()                  // It may have exited already.
	_ = p.command.Wait()                          // It was killed, so an error is expected.
	p.stopped = true
}

func (f *fleet) stop() {
	for _, p := range f.processes {
		p.kill()
	}
	f.mu.Lock()
	f.stopped = true
	workers := slices.Clone(f.workers)
	f.mu.Unlock()
	for _, w := range workers {
		w.crash()
	}
	if f.t.Failed() {
		f.keepLogs()
	}
}

// keepLogs copies the processes' logs to a new folder, which it names in the failure: in
// MANGOHILL_SOAK_LOGS if that is set, else in the system's temporary folder.
func (f *fleet) keepLogs() {
	logFolder, err := saveLogs(os.Getenv("MANGOHILL_SOAK_LOGS"), f.seed, f.processes)
	if err != nil {
		f.t.Errorf("not all logs are kept: %v", err)
	}
	f.t.Errorf("the logs of seed %d are in %s", f.seed, logFolder)
}

// saveLogs copies the logs of the processes to a new folder within parent, or within the
// system's temporary folder if parent is empty, and returns its path.
func saveLogs(parent string, seed uint64, processes []*process) (string, error) {
	logFolder, err := os.MkdirTemp(parent, fmt.Sprintf("mangohill-soak-seed-%d-", seed))
	if err != nil {
		return "", err
	}
	var errs []error
	for _, p := range processes {
		data, err := os.ReadFile(p.folder + ".log")
		if err == nil {
			err = os.WriteFile(filepath.Join(logFolder, p.ip+".log"), data, 0o600)
		}
		errs = append(errs, err)
	}
	return logFolder, errors.Join(errs...)
}

// call sends one request and returns the status and the body, or zero and "" if no
// complete answer arrives.
func call(client *http.Client, method, url, body string) (int, string) {
	request, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	if strings.Contains(url, ":8161/") {
		request.Host = "h"
	}
	answer, err := client.Do(request)
	if err != nil {
		return 0, ""
	}
	defer answer.Body.Close()
	data, err := io.ReadAll(answer.Body)
	if err != nil {
		return 0, ""
	}
	return answer.StatusCode, string(data)
}

// maxIdleRoutes is the largest number of routes without jobs. Their configuration has over
// 1 MiB, the limit of a command in the log.
const maxIdleRoutes = 9000

func idleRoutes(count int) string {
	var text strings.Builder
	for i := range count {
		fmt.Fprintf(&text, `,{"Name":"idle-%d","Host":"idle.example","PathPrefix":"/idle-%d/","Service":"pool","TimeoutMs":3000,"TargetDurationMs":250,"MaxAttempts":3,"Stretch":2}`, i, i)
	}
	return text.String()
}

// setCatalog sends a configuration with a higher version until it is acknowledged.
func (f *fleet) setCatalog() {
	f.version += 1 + f.rng.IntN(3)
	f.idleRoutes = min(f.idleRoutes+f.rng.IntN(1500), maxIdleRoutes)
	body := fmt.Sprintf(`{"Version":%d,"Routes":[{"Name":"q","Host":"h","PathPrefix":"/q/","Service":"pool","TimeoutMs":3000,"TargetDurationMs":250,"MaxAttempts":3,"Stretch":2}%s],"Services":[{"Name":"pool"}]}`, f.version, idleRoutes(f.idleRoutes))
	client := &http.Client{Timeout: 2 * time.Second}
	for deadline := time.Now().Add(settleTimeout); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		address := f.controlAddresses()[f.rng.IntN(controlCount)]
		status, _ := call(client, http.MethodPut, "http://"+address+"/-/config", body)
		if status == http.StatusOK {
			return
		}
		if status == http.StatusBadRequest || status == http.StatusConflict || status == http.StatusRequestEntityTooLarge {
			f.checks.addViolation("configuration %d was refused with status %d", f.version, status)
			return
		}
	}
	f.checks.addViolation("configuration %d was not acknowledged in time", f.version)
}

// impatience is the time after which some callers leave and cancel their job elsewhere.
const impatience = 20 * time.Millisecond

// submitJobs submits jobs over keep-alive connections until done is closed, and cancels
// about one in ten, and those whose callers left before an answer. A cancel holds whether the
// job is known or not.
func (f *fleet) submitJobs(caller int, seed uint64, done <-chan struct{}) {
	rng := rand.New(rand.NewPCG(seed, uint64(caller)))
	client, impatient := &http.Client{Timeout: 2 * time.Second}, &http.Client{Timeout: impatience}
	for n := 0; ; n++ {
		select {
		case <-done:
			return
		case <-time.After(time.Duration(50+rng.IntN(150)) * time.Millisecond):
		}
		if f.overrun.Load() && rng.IntN(isolatedLoadOneIn) > 0 {
			continue // Half of the workers may be cut off.
		}
		id := fmt.Sprintf("%08x%08x", caller+1, n+1)
		f.checks.mu.Lock()
		f.checks.submitted[id] = true
		if rng.IntN(deadlyOneIn) == 0 {
			f.checks.deadly[id] = true
		}
		f.checks.mu.Unlock()
		estimate := taskDuration
		if rng.IntN(longOneIn) == 0 {
			estimate = minLong + time.Duration(rng.Int64N(int64(maxLong-minLong)))
			f.checks.setDuration(id, estimate)
		}
		times := ""
		if n%10 == 9 {
			times = schedule(shortRepeats, repeatPeriod)
		} else if estimate == taskDuration && f.overrun.Load() && rng.IntN(overrunOneIn) == 0 {
			f.checks.setDuration(id, overrunFactor*estimate)
		}
		job := fmt.Sprintf(`{"Spec":"spec-%s","Phases":[{"Count":%d,"Cpu":1000,"MemMb":10,"EstimateMs":%d},{"Count":2,"Cpu":1000,"MemMb":10,"EstimateMs":150,"After":[0]}]%s}`, id, firstStepTasks, estimate.Milliseconds(), times)
		url := func() string { return "http://" + f.ip(controlCount+rng.IntN(entryCount)) + ":8161/q/" + id }
		poster, tries, leaves := client, 4, rng.IntN(10) == 0
		if leaves {
			poster, tries = impatient, 1
		}
		for range tries {
			if status, _ := call(poster, http.MethodPost, url(), job); status == http.StatusOK {
				f.mu.Lock()
				f.accepted[id] = true
				f.mu.Unlock()
				break
			}
		}
		if !leaves && rng.IntN(10) > 0 {
			continue
		}
		if status, _ := call(client, http.MethodDelete, url(), ""); status == http.StatusOK || status == http.StatusGone {
			f.checks.mu.Lock()
			f.checks.cancelled[id] = time.Now()
			f.checks.mu.Unlock()
		}
	}
}

// deadlyOneIn is the number of jobs of which one has a task that crashes its workers.
const deadlyOneIn = 100

// replaceWorker starts a worker in place of one that crashed, after some time.
func (f *fleet) replaceWorker(w *worker) {
	time.Sleep(time.Second)
	f.mu.Lock()
	defer f.mu.Unlock()
	if i := slices.Index(f.workers, w); i >= 0 && !f.stopped {
		f.workers[i] = f.startWorker(w.id, nil, nil)
	}
}

// injectFault injects one random fault and returns its description and a function
// that ends it.
func (f *fleet) injectFault() (string, func()) {
	p := f.processes[f.rng.IntN(len(f.processes))]
	f.mu.Lock()
	w := f.workers[f.rng.IntN(len(f.workers))]
	f.mu.Unlock()
	kind := f.rng.IntN(16)
	if kind == 4 {
		p = f.processes[f.rng.IntN(controlCount)]
	}
	end := func() {}
	switch {
	case kind <= 4:
		f.processFault.Lock() // Unlocked once the process counts as up again.
		if kind != 3 && p.control {
			end = f.checks.beginFault(&f.checks.calm)
		}
	case kind == 6, kind == 7:
		end = f.checks.beginFault(&f.checks.calm, &w.calm)
	case kind >= 8 && kind <= 10:
		end = f.checks.beginFault(&w.calm)
	}
	switch kind {
	case 0:
		p.kill()
		return "kill " + p.ip, func() { f.start(p, false); end() }
	case 1:
		_ = p.command.Process.Signal(syscall.SIGSTOP) // It may have exited.
		return "pause " + p.ip, func() { _ = p.command.Process.Signal(syscall.SIGCONT); end() }
	case 2:
		_ = p.command.Process.Signal(syscall.SIGTERM) // It may have exited.
		return "stop " + p.ip, func() { p.kill(); f.start(p, false); end() }
	case 3:
		_ = p.command.Process.Signal(syscall.SIGHUP) // It may have exited.
		return "reload " + p.ip, end
	case 4:
		p.kill()
		_ = os.RemoveAll(p.folder) // Simulates the loss of the disk.
		return "lose the disk of " + p.ip, func() { f.start(p, false); end() }
	case 5:
		w.crash()
		return "crash and restart of " + w.id, end
	case 6:
		w.relay.Blackhole(true)
		return "cut " + w.id, func() { w.relay.Blackhole(false); end() }
	case 7:
		w.relay.DropReplies(true)
		return "cut one way " + w.id, func() { w.relay.DropReplies(false); end() }
	case 8:
		w.relay.DelayReplies(300 * time.Millisecond)
		return "delay " + w.id, func() { w.relay.DelayReplies(0); end() }
	case 9:
		processors := 1 + f.rng.IntN(workerProcessors)
		w.resize(processors)
		return fmt.Sprintf("resize %s to %d", w.id, processors), func() { w.resize(workerProcessors); end() }
	case 10:
		w.refuseStarts(true)
		return "refuse starts at " + w.id, func() { w.refuseStarts(false); end() }
	case 11, 12:
		// One worker at a time: the platform gives up a task under which several workers crash.
		f.restarts.Wait()
		rng := rand.New(rand.NewPCG(f.rng.Uint64(), 13))
		f.restarts.Go(func() { f.restartRepeatedly(w, rng) })
		return "restarts of " + w.id, end
	case 13, 14:
		f.restarts.Wait()
		rng := rand.New(rand.NewPCG(f.rng.Uint64(), 14))
		f.restarts.Go(func() { f.restartAndIsolateRepeatedly(w.domain(), rng) })
		return "restarts and isolation of workers of " + w.domain(), end
	}
	f.checks.beginFault(&w.calm)()
	w.relay.Reset()
	return "reset " + w.id, end
}

// runSeed starts a fleet, submits jobs, injects the given number of faults one after the
// other and checks the result. Random numbers derive from seed.
func runSeed(t *testing.T, seed uint64, faults int) {
	f := startFleet(t, seed)
	f.setCatalog()
	time.Sleep(startupGrace)
	f.submitLastingJobs()
	watched := make(chan struct{})
	var watch sync.WaitGroup
	watch.Go(func() { f.watchLastingTasks(watched) })
	f.late.set(f.late.random(seed))
	done := make(chan struct{})
	var callers sync.WaitGroup
	for caller := range 3 {
		callers.Go(func() { f.submitJobs(caller, seed, done) })
	}
	callers.Go(func() { f.operateDomains(seed, done) })
	callers.Go(func() { f.runRepeatingJob(done) })
	for range faults {
		description, undo := f.injectFault()
		t.Logf("%s %s", time.Now().Format("15:04:05.000"), description)
		if f.rng.IntN(3) == 0 && !strings.Contains(description, "disk") {
			f.setCatalog()
		}
		time.Sleep(time.Duration(500+f.rng.IntN(2500)) * time.Millisecond)
		undo()
		// The platform tolerates the loss of one control process at a time, and a
		// restarted process counts as lost for another startupGrace.
		if strings.Contains(description, "127.") {
			time.Sleep(startupGrace)
			f.processFault.Unlock()
		}
		time.Sleep(time.Duration(f.rng.IntN(1000)) * time.Millisecond)
	}
	f.restarts.Wait()
	f.late.set(nil)
	close(done)
	callers.Wait()
	f.awaitLastingTasks()
	close(watched)
	watch.Wait()
	f.checkLastingJobs()
	f.awaitJobsAndCheck()
}

// awaitJobsAndCheck waits until every accepted job has ended. It checks that none is
// unknown, that the last configuration is in place and that no check failed.
func (f *fleet) awaitJobsAndCheck() {
	client := &http.Client{Timeout: time.Second}
	unfinished := make(map[string]string)
	for id := range f.accepted {
		unfinished[id] = ""
	}
	for deadline := time.Now().Add(settleTimeout); len(unfinished) > 0 && time.Now().Before(deadline); time.Sleep(200 * time.Millisecond) {
		for id := range unfinished {
			status, body := call(client, http.MethodGet, "http://"+f.ip(controlCount)+":8161/q/"+id, "")
			unfinished[id] = fmt.Sprintf("%d %s", status, body)
			if strings.Contains(body, "completed") || strings.Contains(body, "cancelled") || f.checks.isDeadly(id) && strings.Contains(body, "failed") {
				delete(unfinished, id)
			}
			if status == http.StatusGone {
				f.checks.addViolation("accepted job %s is unknown", id)
				delete(unfinished, id)
			}
		}
	}
	status, body := call(client, http.MethodGet, "http://"+f.controlAddresses()[0]+"/-/config", "")
	if status != http.StatusOK || !strings.Contains(body, fmt.Sprintf(`"Version":%d,`, f.version)) {
		f.checks.addViolation("configuration %d was acknowledged, but reading it back returned %d %.40s", f.version, status, body)
	}
	f.checks.mu.Lock()
	defer f.checks.mu.Unlock()
	f.t.Logf("%d jobs accepted, %d tasks started, %d of them late, late orders %v, version %d, %d evacuations and restores", len(f.accepted), f.checks.starts, f.checks.lateStarts, f.checks.lateOrders, f.version, f.checks.confirmed)
	require.Empty(f.t, unfinished, "accepted jobs that did not end in time")
	require.Empty(f.t, f.checks.violations)
}

// regressions maps seeds that failed in the past to the cause.
var regressions = map[uint64]string{}

// TestSoak runs seed 1 with 4 faults. MANGOHILL_SOAK_SEEDS (first-last) selects other
// seeds and MANGOHILL_SOAK_FAULTS the number of faults per seed. The seeds in
// regressions always run.
func TestSoak(t *testing.T) {
	first, last, faults := uint64(1), uint64(1), 4
	if _, err := fmt.Sscanf(os.Getenv("MANGOHILL_SOAK_SEEDS"), "%d-%d", &first, &last); err != nil {
		first, last = 1, 1 // Default of the short run in CI.
	}
	if n, err := strconv.Atoi(os.Getenv("MANGOHILL_SOAK_FAULTS")); err == nil {
		faults = n
	}
	for seed := first; seed <= last; seed++ {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			if os.Getenv("MANGOHILL_SOAK_SEEDS") != "" {
				t.Parallel()
			}
			runSeed(t, seed, faults)
		})
	}
	for seed, cause := range regressions {
		t.Run(fmt.Sprintf("regression %d", seed), func(t *testing.T) {
			t.Log(cause)
			runSeed(t, seed, faults)
		})
	}
}
