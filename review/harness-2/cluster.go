package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	host    = "nony24.example"
	service = "huvo11a"
)

// process is a process that the case started.
type process struct {
	name string
	cmd  *exec.Cmd
	in   io.WriteCloser
	done chan struct{}
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// kill kills the process and waits for its end.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

// deployment is a small deployment on loopback addresses: 3 control processes, entry
// processes and workers.
type deployment struct {
	root, dir, platform, self string
	net                       int
	port                      int
	controls, entries         []*process
	workers                   map[string]*process
	started                   time.Time

	mu      sync.Mutex
	record  *os.File
	events  []event
	all     []*process
	stopped bool
}

// newDeployment chooses a free range of loopback addresses and a temporary folder.
func newDeployment(recordPath string) (*deployment, error) {
	root, err := os.Getwd()
	if err != nil {
		return nil, err
	}
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	d := &deployment{root: root, self: self, platform: filepath.Join(root, "target/mangohill-platform"), workers: map[string]*process{}, started: time.Now()}
	if _, err := os.Stat(d.platform); err != nil {
		return nil, err
	}
	if d.record, err = os.Create(recordPath); err != nil {
		return nil, err
	}
	if d.dir, err = os.MkdirTemp("", "review-2-"); err != nil {
		return nil, err
	}
	for range 50 {
		d.net, d.port = 2+rand.IntN(250), 20000+rand.IntN(10000)
		if d.portsFree() {
			return d, nil
		}
	}
	return nil, fmt.Errorf("no free loopback addresses")
}

// portsFree reports whether the ports that the processes use are free.
func (d *deployment) portsFree() bool {
	for port := d.port; port <= d.port+30; port++ {
		l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", d.ip(1, 1), port))
		if err != nil {
			return false
		}
		_ = l.Close() // Nothing was accepted.
	}
	return true
}

func (d *deployment) ip(class, n int) string { return fmt.Sprintf("127.%d.%d.%d", d.net, class, n) }

func (d *deployment) control(n int) string { return fmt.Sprintf("%s:%d", d.ip(1, n), d.port) }
func (d *deployment) entry(n int) string   { return fmt.Sprintf("%s:%d", d.ip(2, n), d.port+1) }

// note writes a line to the record.
func (d *deployment) note(format string, args ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.noteAt(time.Now(), format, args...)
}

func (d *deployment) noteAt(at time.Time, format string, args ...any) {
	fmt.Fprintf(d.record, "%9.3f  %s\n", at.Sub(d.started).Seconds(), fmt.Sprintf(format, args...))
}

// settings returns the settings file of a process, as DEPLOY.md shows it.
func (d *deployment) settings(role string, n int) string {
	class, ip, serves := "core", d.ip(1, n), "control"
	listen := fmt.Sprintf("Control = %q\n", d.control(n))
	if role == "entry" {
		class, ip, serves = "front", d.ip(2, n), "front"
		listen = fmt.Sprintf("Front = %q\nReady = %q\n", d.entry(n), fmt.Sprintf("%s:%d", ip, d.port+2))
	}
	dataDir := ""
	if role == "control" {
		dataDir = fmt.Sprintf("DataDir = %q\n", filepath.Join(d.dir, fmt.Sprintf("data-%d", n)))
	}
	return fmt.Sprintf(`Node = "%s-%d"
Role = %q
MachineClass = %q
Serves = [%q]
Ip = %q
Zone = "z%d"
Region = "r"
PortRange = [%d,%d]
Seeds = [%q,%q,%q]
Bootstrap = true
LossCounts = %t
%sDiscovery = "registry"
Entry = "vip"
HeartbeatMs = 1100
Contracts = ["base","drain","config","cost","recover","sched","advice","upkeep","sharing"]
config_mode = "highest"
ControlMode = "rpc"
Advice = ""
[Zones]
z1 = "r"
z2 = "r"
z3 = "r"
[Listen]
%s[Limits]
CpuShare = 0.8
Cores = 1
MemoryMb = 280
MaxFds = 4096
LinkMbps = 1000.0
DiskMb = 128
[FaultTolerance]
Machines = 1
Zones = 0
Regions = 0
[Bounds]
SeedLagS = 3
ReuseAfterS = 2
StableWindowMs = 3000
AckMs = 4000
CatchUpS = 4
DrainMs = 2000
GraceS = 6
LossSlackMs = 200
ConfigMs = 2000
RollbackSlackMs = 250
OuterMs = 5000
RecoveryS = 12
HoldMaxMs = 10000
StopMs = 900
GangMs = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
FarX = 1.5
CheckpointS = 1
RestoreMs = 100
NoticeMs = 4500
MoveS = 1.5
MaintenanceS = 2
RequireFence = true
LeaseMs = 3000
ThawMs = 300
PaceMs = 100
HarmMs = 4000
[Cloud]
Addr = ""
RatePerS = 60.0
Duties = []
DutyPerS = 60.0
`, class, n, role, class, serves, ip, 1+(n-1)%3, d.port+10, d.port+25, d.control(1), d.control(2), d.control(3), role == "control", dataDir, listen)
}

// start starts a process. Its output goes to the temporary folder or, line by line, to line.
func (d *deployment) start(name string, env []string, line func([]byte), args ...string) (*process, error) {
	cmd := exec.Command(args[0], args[1:]...)
	cmd.Dir = d.root
	cmd.Env = append([]string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}, env...)
	p := &process{name: name, cmd: cmd, done: make(chan struct{})}
	log, err := os.OpenFile(filepath.Join(d.dir, name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	cmd.Stderr = log
	var out io.ReadCloser
	if line != nil {
		if out, err = cmd.StdoutPipe(); err == nil {
			p.in, err = cmd.StdinPipe()
		}
		if err != nil {
			return nil, err
		}
	} else {
		cmd.Stdout = log
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.stopped {
		return nil, fmt.Errorf("the case is ending")
	}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	d.all = append(d.all, p)
	d.noteAt(time.Now(), "%s started, process %d", name, cmd.Process.Pid)
	go func() {
		if out != nil {
			for lines := bufio.NewScanner(out); lines.Scan(); {
				line(lines.Bytes())
			}
		}
		_ = cmd.Wait() // Ends as the case wants, or is killed.
		_ = log.Close()
		close(p.done)
	}()
	return p, nil
}

// startSystem starts the processes of the system with the commands of the deploy file.
func (d *deployment) startSystem(entries int) error {
	for _, role := range []string{"control", "entry"} {
		count := 3
		if role == "entry" {
			count = entries
		}
		for n := 1; n <= count; n++ {
			name := fmt.Sprintf("%s-%d", role, n)
			path := filepath.Join(d.dir, name+".toml")
			if err := os.WriteFile(path, []byte(d.settings(role, n)), 0o644); err != nil {
				return err
			}
			p, err := d.start(name, []string{"MANGOHILL_BOOT=" + path}, nil, d.platform, role)
			if err != nil {
				return err
			}
			if role == "control" {
				d.controls = append(d.controls, p)
			} else {
				d.entries = append(d.entries, p)
			}
		}
	}
	return nil
}

// restartControl starts a control process again that has ended, with its disk.
func (d *deployment) restartControl(n int) error {
	name := fmt.Sprintf("control-%d", n)
	path := filepath.Join(d.dir, name+".toml")
	text := strings.Replace(d.settings("control", n), "Bootstrap = true", "Bootstrap = false", 1)
	if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
		return err
	}
	p, err := d.start(name, []string{"MANGOHILL_BOOT=" + path}, nil, d.platform, "control")
	if err == nil {
		d.controls[n-1] = p
	}
	return err
}

// startWorker starts a life of a worker.
func (d *deployment) startWorker(n int) error { return d.startMuteWorker(n, "") }

// startMuteWorker starts one that leaves the starts of the tasks of a job without an answer.
func (d *deployment) startMuteWorker(n int, job string) error {
	id := fmt.Sprintf("i-%d", n)
	controls := strings.Join([]string{d.control(1), d.control(2), d.control(3)}, ",")
	p, err := d.start(id, nil, func(data []byte) {
		var e event
		if json.Unmarshal(data, &e) != nil {
			return
		}
		d.mu.Lock()
		defer d.mu.Unlock()
		d.events = append(d.events, e)
		d.noteAt(time.UnixMilli(e.AtMs), "%s (life %d): %s %s run %d %s", e.Worker, e.Born, e.What, e.Task, e.Attempt, e.How)
	}, d.self, "worker", "-id", id, "-addr", fmt.Sprintf("%s:%d", d.ip(3, n), d.port+30), "-service", service, "-zone", fmt.Sprintf("z%d", 1+(n-1)%3), "-controls", controls, "-mute", job)
	if err == nil {
		d.mu.Lock()
		d.workers[id] = p
		d.mu.Unlock()
	}
	return err
}

// stop ends all processes that the case started.
func (d *deployment) stop() {
	d.mu.Lock()
	d.stopped = true
	all := d.all
	d.mu.Unlock()
	for _, p := range all {
		p.signal(syscall.SIGCONT)
		p.signal(syscall.SIGKILL)
	}
	for _, p := range all {
		<-p.done
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.dir)
	}
}

// answer is the answer to a call of a client or the operator. Status 0 means that none came.
type answer struct {
	status int
	body   string
	at     time.Time
}

// call makes one call, for at most the given time, and records it.
func (d *deployment) call(method, address, path, body string, within time.Duration) answer {
	client := &http.Client{Timeout: within, Transport: &http.Transport{DisableKeepAlives: true}}
	request, err := http.NewRequest(method, "http://"+address+path, bytes.NewReader([]byte(body)))
	if err != nil {
		return answer{at: time.Now()}
	}
	if strings.HasPrefix(path, "/-/") {
		request.Host = address
	} else {
		request.Host = host
		request.Header.Set("X-Mangohill-Deadline-Ms", fmt.Sprint(within.Milliseconds()))
	}
	request.Header.Set("Content-Type", "application/json")
	d.note("-> %s %s at %s %.300s", method, path, address, body)
	response, err := client.Do(request)
	if err != nil {
		d.note("<- %s %s at %s: no answer (%v)", method, path, address, err)
		return answer{at: time.Now()}
	}
	defer response.Body.Close()
	data, _ := io.ReadAll(response.Body)
	d.note("<- %s %s at %s: %d %.300s", method, path, address, response.StatusCode, data)
	return answer{response.StatusCode, string(data), time.Now()}
}

// queue is a route of the configuration.
type queue struct {
	name, prefix    string
	priority, tries int
}

// configure sends the configuration until it is acknowledged, to one control process after
// the other.
func (d *deployment) configure(queues ...queue) error {
	body := config(3, queues...)
	for n := range 100 {
		if d.call(http.MethodPut, d.control(1+n%3), "/-/config", body, time.Second).status == http.StatusOK {
			return nil
		}
		time.Sleep(300 * time.Millisecond)
	}
	return fmt.Errorf("the configuration was not acknowledged")
}

// config returns a configuration.
func config(version int, queues ...queue) string {
	var routes []string
	for _, q := range queues {
		routes = append(routes, fmt.Sprintf(`{"Name":%q,"Host":%q,"PathPrefix":%q,"Kind":"unsafe","TimeoutMs":3000,"TargetDurationMs":1000,"Priority":%d,"Service":%q,"MaxAttempts":%d,"Stretch":2.0}`, q.name, host, q.prefix, q.priority, service, q.tries))
	}
	return fmt.Sprintf(`{"Version":%d,"Routes":[%s],"Services":[{"Name":%q,"HealthPath":"/health","MaxConns":64,"Protocol":"h1","Tls":false,"EnforcesCapacity":false,"Spare":false}],"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":262144,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}`, version, strings.Join(routes, ","), service)
}

// ready waits until all entry processes are ready.
func (d *deployment) ready() error {
	return d.until(15*time.Second, "all entry processes are ready", func() bool {
		for n := range d.entries {
			response, err := http.Get(fmt.Sprintf("http://%s:%d/-/readiness", d.ip(2, n+1), d.port+2))
			if err != nil {
				return false
			}
			_ = response.Body.Close()
			if response.StatusCode != http.StatusOK {
				return false
			}
		}
		return true
	})
}

// until waits until a condition holds.
func (d *deployment) until(within time.Duration, what string, holds func() bool) error {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if holds() {
			return nil
		}
	}
	return fmt.Errorf("not in %v: %s", within, what)
}

// seen returns the events of workers for which keep holds.
func (d *deployment) seen(keep func(event) bool) []event {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []event
	for _, e := range d.events {
		if keep(e) {
			out = append(out, e)
		}
	}
	return out
}

// startsOf returns the starts of the tasks of a job.
func (d *deployment) startsOf(job string) []event {
	return d.seen(func(e event) bool { return e.What == "start" && strings.HasPrefix(e.Task, job+".") })
}

// running returns the tasks of a job that a living worker runs, by worker.
func (d *deployment) running(job string) map[string]string {
	runs := map[string]string{}
	for _, e := range d.seen(func(event) bool { return true }) {
		switch {
		case e.What == "up":
			for task, worker := range runs {
				if worker == e.Worker {
					delete(runs, task)
				}
			}
		case !strings.HasPrefix(e.Task, job+"."):
		case e.What == "start":
			runs[e.Task] = e.Worker
		case e.What == "end":
			delete(runs, e.Task)
		}
	}
	return runs
}

// log returns what a process of the system has logged.
func (d *deployment) log(name string) string {
	data, _ := os.ReadFile(filepath.Join(d.dir, name+".log"))
	return string(data)
}
