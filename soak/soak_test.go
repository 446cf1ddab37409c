// Package soak plays random faults on real processes of the users' platform: it
// starts entry and control processes with stand-in workers and callers on
// loopback addresses, injects faults from outside, and checks the promises from
// what callers and workers see. It holds test files only.
package soak

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	controls = 3
	entries  = 2
	workers  = 6
	// settleTime bounds the time after the last fault in which all accepted jobs end:
	// the longest lease, an election and the work.
	settleTime = 45 * time.Second
	// catchUp is the time for which a process that starts counts as lost, as the
	// platform's page on deployments says.
	catchUp = 4 * time.Second
)

// program is the built program.
var program string

func TestMain(m *testing.M) {
	folder, err := os.MkdirTemp("", "mangohill-soak-")
	if err != nil {
		panic(err)
	}
	program = filepath.Join(folder, "mangohill-platform")
	build := exec.Command("go", "build", "-o", program, "mangohill.example/mangohill/cmd/mangohill-platform")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		panic(err)
	}
	code := m.Run()
	_ = os.RemoveAll(folder) // The system clears what is left.
	os.Exit(code)
}

// process is one entry or control process, which may be started again.
type process struct {
	role, ip, folder string
	control          bool
	command          *exec.Cmd
	stopped          bool
}

// fleet is one deployment.
type fleet struct {
	t         *testing.T
	rng       *rand.Rand
	folder    string
	base      int
	processes []*process
	workers   []*worker
	checks    *checks
	mu        sync.Mutex
	accepted  map[string]bool
	version   int
}

func (f *fleet) ip(i int) string { return fmt.Sprintf("127.%d.0.%d", f.base, i+1) }

func (f *fleet) controlAddresses() []string {
	var addresses []string
	for i := range controls {
		addresses = append(addresses, f.ip(i)+":8166")
	}
	return addresses
}

func startFleet(t *testing.T, seed uint64) *fleet {
	f := &fleet{
		t: t, rng: rand.New(rand.NewPCG(seed, 7)), folder: t.TempDir(), base: 20 + int(seed%200),
		checks: newChecks(), accepted: make(map[string]bool),
	}
	for i := range controls + entries {
		p := &process{role: "entry", ip: f.ip(i), folder: filepath.Join(f.folder, strconv.Itoa(i))}
		if i < controls {
			p.role, p.control = "control", true
		}
		f.processes = append(f.processes, p)
		f.start(p, true)
	}
	t.Cleanup(f.stop)
	for i := range workers {
		f.workers = append(f.workers, f.startWorker(fmt.Sprintf("i-%d", i)))
	}
	return f
}

// start writes the settings of a process and starts it.
func (f *fleet) start(p *process, first bool) {
	seeds := `"` + strings.Join(f.controlAddresses(), `","`) + `"`
	listen, serves := fmt.Sprintf("Front = \"%s:8161\"\nReady = \"%s:8167\"", p.ip, p.ip), "front"
	if p.control {
		listen, serves = fmt.Sprintf("Control = \"%s:8166\"", p.ip), "control"
	}
	text := fmt.Sprintf("Node = %q\nServes = [%q]\nIp = %q\nZone = \"z\"\nPortRange = [7720,7735]\nSeeds = [%s]\nBootstrap = %t\nDataDir = %q\nHeartbeatMs = 1100\nControlMode = \"rpc\"\n[Listen]\n%s\n[FaultTolerance]\nMachines = 1\n[Bounds]\nGraceS = 3\nHoldMaxMs = 10000\nFarX = 2\n",
		p.role+"-"+p.ip, serves, p.ip, seeds, first, p.folder, listen)
	settings := p.folder + ".toml"
	require.NoError(f.t, os.WriteFile(settings, []byte(text), 0o600))
	log, err := os.OpenFile(p.folder+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	require.NoError(f.t, err)
	p.command = exec.Command(program, p.role)
	p.command.Env = append(os.Environ(), "MANGOHILL_BOOT="+settings)
	p.command.Stdout, p.command.Stderr = log, log
	require.NoError(f.t, p.command.Start())
	require.NoError(f.t, log.Close())
	p.stopped = false
}

func (f *fleet) startWorker(id string) *worker {
	w, err := newWorker(f.checks, id)
	require.NoError(f.t, err)
	go w.report(f.controlAddresses())
	return w
}

// end kills a process and waits for it.
func (p *process) end() {
	if p.stopped {
		return
	}
	_ = p.command.Process.Signal(syscall.SIGCONT) // It may not be stopped.
	_ = p.command.Process.Kill()                  // It may have ended.
	_ = p.command.Wait()                          // Killed is what it was meant to be.
	p.stopped = true
}

func (f *fleet) stop() {
	for _, p := range f.processes {
		p.end()
	}
	for _, w := range f.workers {
		if !w.dead {
			w.crash()
		}
	}
	if f.t.Failed() {
		f.keepLogs()
	}
}

// keepLogs copies the processes' logs to where MANGOHILL_SOAK_LOGS says.
func (f *fleet) keepLogs() {
	to := os.Getenv("MANGOHILL_SOAK_LOGS")
	if to == "" {
		return
	}
	for _, p := range f.processes {
		data, err := os.ReadFile(p.folder + ".log")
		if err == nil {
			err = os.WriteFile(filepath.Join(to, p.ip+".log"), data, 0o600)
		}
		if err != nil {
			f.t.Log(err)
		}
	}
}

// call sends one request and returns the status, zero without an answer.
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

// setCatalog sends the next configuration until it is acknowledged.
func (f *fleet) setCatalog() {
	f.version += 1 + f.rng.IntN(3)
	body := fmt.Sprintf(`{"Version":%d,"Routes":[{"Name":"q","Host":"h","PathPrefix":"/q/","Service":"pool","TimeoutMs":3000,"TargetDurationMs":250,"MaxAttempts":3,"Stretch":2}],"Services":[{"Name":"pool"}]}`, f.version)
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(settleTime); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		address := f.controlAddresses()[f.rng.IntN(controls)]
		status, _ := call(client, http.MethodPut, "http://"+address+"/-/config", body)
		if status == http.StatusOK {
			return
		}
		if status == http.StatusBadRequest || status == http.StatusConflict {
			f.checks.violate("configuration %d is refused with %d", f.version, status)
			return
		}
	}
	f.checks.violate("configuration %d is not acknowledged", f.version)
}

// submitting sends jobs over open connections until done is closed. Some are
// cancelled.
func (f *fleet) submitting(caller int, seed uint64, done <-chan struct{}) {
	rng := rand.New(rand.NewPCG(seed, uint64(caller)))
	client := &http.Client{Timeout: 2 * time.Second}
	for n := 0; ; n++ {
		select {
		case <-done:
			return
		case <-time.After(time.Duration(50+rng.IntN(150)) * time.Millisecond):
		}
		id := fmt.Sprintf("%08x%08x", caller+1, n+1)
		f.checks.mu.Lock()
		f.checks.submitted[id] = true
		f.checks.mu.Unlock()
		job := fmt.Sprintf(`{"Spec":"spec-%s","Phases":[{"Count":%d,"Cpu":1000,"MemMb":10,"EstimateMs":150},{"Count":2,"Cpu":1000,"MemMb":10,"EstimateMs":150,"After":[0]}]}`, id, firstStep)
		url := func() string { return "http://" + f.ip(controls+rng.IntN(entries)) + ":8161/q/" + id }
		for range 4 {
			if status, _ := call(client, http.MethodPost, url(), job); status == http.StatusOK {
				f.mu.Lock()
				f.accepted[id] = true
				f.mu.Unlock()
				break
			}
		}
		if rng.IntN(10) > 0 {
			continue
		}
		if status, _ := call(client, http.MethodDelete, url(), ""); status == http.StatusOK {
			f.checks.mu.Lock()
			f.checks.cancelled[id] = time.Now()
			f.checks.mu.Unlock()
		}
	}
}

// fault injects one fault and returns what ends it.
func (f *fleet) fault() (string, func()) {
	p := f.processes[f.rng.IntN(len(f.processes))]
	i := f.rng.IntN(len(f.workers))
	w := f.workers[i]
	switch f.rng.IntN(10) {
	case 0:
		p.end()
		return "kill " + p.ip, func() { f.start(p, false) }
	case 1:
		_ = p.command.Process.Signal(syscall.SIGSTOP) // It may have ended.
		return "pause " + p.ip, func() { _ = p.command.Process.Signal(syscall.SIGCONT) }
	case 2:
		_ = p.command.Process.Signal(syscall.SIGTERM) // It may have ended.
		return "stop " + p.ip, func() { p.end(); f.start(p, false) }
	case 3:
		_ = p.command.Process.Signal(syscall.SIGHUP) // It may have ended.
		return "reload " + p.ip, func() {}
	case 4:
		p = f.processes[f.rng.IntN(controls)]
		p.end()
		_ = os.RemoveAll(p.folder) // Its disk is lost.
		return "lose the disk of " + p.ip, func() { f.start(p, false) }
	case 5:
		w.crash()
		f.workers[i] = f.startWorker(w.id)
		return "crash and rebirth of " + w.id, func() {}
	case 6:
		w.relay.Blackhole(true)
		return "cut " + w.id, func() { w.relay.Blackhole(false) }
	case 7:
		w.relay.DropReplies(true)
		return "cut one way " + w.id, func() { w.relay.DropReplies(false) }
	case 8:
		w.relay.DelayReplies(300 * time.Millisecond)
		return "delay " + w.id, func() { w.relay.DelayReplies(0) }
	}
	w.relay.Reset()
	return "reset " + w.id, func() {}
}

// play runs one seed with a number of faults in a row, some of which overlap.
func play(t *testing.T, seed uint64, faults int) {
	f := startFleet(t, seed)
	f.setCatalog()
	time.Sleep(catchUp)
	done := make(chan struct{})
	var callers sync.WaitGroup
	for caller := range 3 {
		callers.Go(func() { f.submitting(caller, seed, done) })
	}
	for range faults {
		what, undo := f.fault()
		t.Logf("%s %s", time.Now().Format("15:04:05.000"), what)
		if f.rng.IntN(3) == 0 && !strings.Contains(what, "disk") {
			f.setCatalog()
		}
		time.Sleep(time.Duration(500+f.rng.IntN(2500)) * time.Millisecond)
		undo()
		// The loss of one control process at a time is to be borne, and a process that
		// comes back counts as lost for catchUp more.
		if strings.Contains(what, "127.") {
			time.Sleep(catchUp)
		}
		time.Sleep(time.Duration(f.rng.IntN(1000)) * time.Millisecond)
	}
	close(done)
	callers.Wait()
	f.settle()
}

// settle waits until every accepted job has ended and checks what is left.
func (f *fleet) settle() {
	client := &http.Client{Timeout: time.Second}
	open := make(map[string]string)
	for id := range f.accepted {
		open[id] = ""
	}
	for end := time.Now().Add(settleTime); len(open) > 0 && time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		for id := range open {
			status, body := call(client, http.MethodGet, "http://"+f.ip(controls)+":8161/q/"+id, "")
			open[id] = fmt.Sprintf("%d %s", status, body)
			if strings.Contains(body, "completed") || strings.Contains(body, "cancelled") {
				delete(open, id)
			}
			if status == http.StatusGone {
				f.checks.violate("accepted job %s is not known", id)
				delete(open, id)
			}
		}
	}
	status, body := call(client, http.MethodGet, "http://"+f.controlAddresses()[0]+"/-/config", "")
	if status != http.StatusOK || !strings.Contains(body, fmt.Sprintf(`"Version":%d,`, f.version)) {
		f.checks.violate("configuration %d was acknowledged; read back: %d %.40s", f.version, status, body)
	}
	f.t.Logf("%d jobs accepted, %d tasks started, version %d", len(f.accepted), f.checks.starts, f.version)
	require.Empty(f.t, open, "jobs that were accepted and have not ended")
	f.checks.mu.Lock()
	defer f.checks.mu.Unlock()
	require.Empty(f.t, f.checks.violations)
}

// regressions are the seeds that failed once, with the cause.
var regressions = map[uint64]string{}

// TestSoak plays one short seed, and those that MANGOHILL_SOAK_SEEDS names (first-last)
// with MANGOHILL_SOAK_FAULTS faults each.
func TestSoak(t *testing.T) {
	first, last, faults := uint64(1), uint64(1), 4
	if _, err := fmt.Sscanf(os.Getenv("MANGOHILL_SOAK_SEEDS"), "%d-%d", &first, &last); err != nil {
		first, last = 1, 1 // The short run of CI.
	}
	if n, err := strconv.Atoi(os.Getenv("MANGOHILL_SOAK_FAULTS")); err == nil {
		faults = n
	}
	for seed := first; seed <= last; seed++ {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			if os.Getenv("MANGOHILL_SOAK_SEEDS") != "" {
				t.Parallel()
			}
			play(t, seed, faults)
		})
	}
	for seed, cause := range regressions {
		t.Run(fmt.Sprintf("regression %d", seed), func(t *testing.T) {
			t.Log(cause)
			play(t, seed, faults)
		})
	}
}
