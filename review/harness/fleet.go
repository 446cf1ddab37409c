package main

import (
	"context"
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

// Settings of a small deployment, as DEPLOY.md shows them.
const (
	controlCount = 3
	entryCount   = 2
	heartbeat    = 1100 * time.Millisecond
	holdMax      = 10 * time.Second
	stopTime     = 200 * time.Millisecond // StopMs is 900 at most
	gangTime     = 3 * time.Second
	visibleMs    = 3000
	noticeMs     = 4500
	upkeepTime   = 2 * time.Second
	memoryMb     = 280
)

// process is one control or entry process of the system.
type process struct {
	role, ip, folder string
	command          *exec.Cmd
	stopped          bool
}

// fleet is one deployment: the system's processes, the stand-ins and the record.
type fleet struct {
	mu        sync.Mutex
	folder    string
	binary    string
	net       string // first three octets of all addresses
	ports     ports
	processes []*process
	execs     []*executor
	world     *world
	cloud     *cloud
	started   time.Time
	record    *os.File
	recordMu  sync.Mutex
	nextHost  int
	version   int
	// unanswered tells of a start whether it is left without an answer, if set.
	unanswered func(e *executor, o *order) bool
}

type ports struct{ front, ready, control, peer, exec int }

func fatal(format string, args ...any) {
	panic(fmt.Sprintf(format, args...))
}

// newFleet makes a temporary folder and finds free loopback addresses.
func newFleet(binary, record string) *fleet {
	folder, err := os.MkdirTemp("", "mangohill-review-")
	if err != nil {
		fatal("%v", err)
	}
	out, err := os.Create(record)
	if err != nil {
		fatal("%v", err)
	}
	f := &fleet{folder: folder, binary: binary, started: time.Now(), record: out}
	f.world = newWorld(f)
	for range 50 {
		f.net = fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250))
		base := 10000 + rand.IntN(20000)
		f.ports = ports{base, base + 1, base + 2, base + 10, base + 3}
		if f.free() {
			return f
		}
	}
	fatal("no free addresses")
	return nil
}

func (f *fleet) free() bool {
	for host := 1; host <= controlCount+entryCount; host++ {
		for _, port := range []int{f.ports.front, f.ports.ready, f.ports.control, f.ports.peer} {
			l, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%d", f.net, host, port))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

func (f *fleet) ip(i int) string         { return fmt.Sprintf("%s.%d", f.net, i+1) }
func (f *fleet) control(i int) string    { return fmt.Sprintf("%s:%d", f.ip(i), f.ports.control) }
func (f *fleet) front(i int) string      { return fmt.Sprintf("%s:%d", f.ip(controlCount+i), f.ports.front) }
func (f *fleet) seconds() float64        { return time.Since(f.started).Seconds() }
func (f *fleet) note(s string, a ...any) { f.noteAt(fmt.Sprintf(s, a...)) }
func (f *fleet) noteAt(text string) {
	f.recordMu.Lock()
	defer f.recordMu.Unlock()
	_, _ = fmt.Fprintf(f.record, "%8.3f %s\n", f.seconds(), text)
}

// startSystem starts all processes with the commands of deploy/system.toml.
func (f *fleet) startSystem() {
	for i := range controlCount + entryCount {
		p := &process{role: "entry", ip: f.ip(i), folder: filepath.Join(f.folder, fmt.Sprint(i))}
		if i < controlCount {
			p.role = "control"
		}
		f.processes = append(f.processes, p)
		f.start(p, true)
	}
}

func (f *fleet) start(p *process, bootstrap bool) {
	var seeds []string
	for i := range controlCount {
		seeds = append(seeds, fmt.Sprintf("%q", f.control(i)))
	}
	listen, serves := fmt.Sprintf("Front = \"%s:%d\"\nReady = \"%s:%d\"", p.ip, f.ports.front, p.ip, f.ports.ready), "front"
	data := ""
	if p.role == "control" {
		listen, serves, data = fmt.Sprintf("Control = \"%s:%d\"", p.ip, f.ports.control), "control", fmt.Sprintf("DataDir = %q\n", p.folder)
	}
	cloudAddr := ""
	if f.cloud != nil {
		cloudAddr = f.cloud.addr
	}
	text := fmt.Sprintf(`Node = "%s-%s"
Role = "%s"
Serves = ["%s"]
Ip = "%s"
Zone = "z"
Region = "r"
PortRange = [%d,%d]
Seeds = [%s]
Bootstrap = %t
LossCounts = %t
Discovery = "registry"
Entry = "vip"
HeartbeatMs = %d
ControlMode = "rpc"
config_mode = "highest"
%s[Zones]
z = "r"
[Listen]
%s
[Limits]
CpuShare = 0.56
Cores = 1
MemoryMb = %d
MaxFds = 4096
LinkMbps = 200.0
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
ConfigMs = 2000
HoldMaxMs = %d
StopMs = 900
GangMs = %d
cancel_ms = 3000
visible_ms = %d
early_ms = 250
FarX = 2
CheckpointS = 1
RestoreMs = 250
NoticeMs = %d
MoveS = 1.5
MaintenanceS = 2
RequireFence = true
LeaseMs = 3000
PaceMs = 100
HarmMs = 4000
[Cloud]
Addr = "%s"
RatePerS = 60.0
Duties = []
DutyPerS = 60.0
`, p.role, p.ip, p.role, serves, p.ip, f.ports.peer, f.ports.peer+9, strings.Join(seeds, ","), bootstrap, p.role == "control", heartbeat.Milliseconds(), data, listen, memoryMb,
		holdMax.Milliseconds(), gangTime.Milliseconds(), visibleMs, noticeMs, cloudAddr)
	settings := p.folder + ".toml"
	if err := os.WriteFile(settings, []byte(text), 0o600); err != nil {
		fatal("%v", err)
	}
	log, err := os.OpenFile(p.folder+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		fatal("%v", err)
	}
	defer func() { _ = log.Close() }()
	p.command = exec.Command(f.binary, p.role)
	p.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "MANGOHILL_BOOT=" + settings}
	p.command.Stdout, p.command.Stderr = log, log
	if err := p.command.Start(); err != nil {
		fatal("start %s: %v", p.role, err)
	}
	p.stopped = false
	f.note("process %s %s started", p.role, p.ip)
}

func (p *process) signal(s syscall.Signal) { _ = p.command.Process.Signal(s) }

func (p *process) kill() {
	if p.stopped || p.command == nil {
		return
	}
	p.signal(syscall.SIGCONT)
	_ = p.command.Process.Kill()
	_ = p.command.Wait()
	p.stopped = true
}

// stop ends all processes and removes the temporary folder, unless KEEP is set.
func (f *fleet) stop() {
	for _, p := range f.processes {
		p.kill()
	}
	for _, e := range f.all() {
		e.crash(false)
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.folder)
	} else {
		fmt.Println("logs in", f.folder)
	}
}

var client = &http.Client{Timeout: time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 4}}

// call sends one request and returns status and body, zero without a whole answer.
func call(method, address, host, path, body string) (int, string) {
	ctx, cancel := context.WithTimeout(context.Background(), 1500*time.Millisecond)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		fatal("%v", err)
	}
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("X-Mangohill-Deadline-Ms", "3000")
	if host != "" {
		r.Host = host
	}
	answer, err := client.Do(r)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = answer.Body.Close() }()
	data, err := io.ReadAll(answer.Body)
	if err != nil {
		return 0, ""
	}
	return answer.StatusCode, string(data)
}

// operate sends an order of the operator until it is acknowledged.
func (f *fleet) operate(method, path, body string) bool {
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		for i := range controlCount {
			status, text := call(method, f.control(i), "", path, body)
			if status == http.StatusOK {
				f.note("operator %s %s acknowledged", method, path)
				return true
			}
			if status >= 400 && status < 500 && status != 429 && status != 408 {
				f.note("operator %s %s refused %d %s", method, path, status, text)
				return false
			}
		}
	}
	return false
}

const routes = `{"Name":"r-jobs","Host":"jobs.example","PathPrefix":"/q/","Kind":"unsafe","TimeoutMs":3000,"TargetDurationMs":1000,"Priority":2,"Service":"pool","MaxAttempts":2,"Stretch":2.0},{"Name":"r-watch","Host":"jobs.example","PathPrefix":"/w/","Kind":"unsafe","TimeoutMs":3000,"TargetDurationMs":2500,"Priority":0,"Service":"pool","MaxAttempts":3,"Stretch":2.2}`

func (f *fleet) configure() {
	f.version++
	body := fmt.Sprintf(`{"Version":%d,"Routes":[%s],"Services":[{"Name":"pool","HealthPath":"/health","MaxConns":64,"Protocol":"h1","Tls":false,"EnforcesCapacity":false,"Spare":false}],"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":262144,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}`, f.version, routes)
	if !f.operate("PUT", "/-/config", body) {
		fatal("the configuration was not acknowledged")
	}
}

// submit hands a job in, at one entry after the other, until it is accepted.
func (f *fleet) submit(prefix, id, body string) bool {
	for try := range 5 {
		status, _ := call("POST", f.front(try%entryCount), "jobs.example", prefix+id, body)
		f.note("caller POST %s%s: %d", prefix, id, status)
		if status == http.StatusOK {
			return true
		}
		time.Sleep(200 * time.Millisecond)
	}
	return false
}

// state asks for a job's state.
func (f *fleet) state(entry int, prefix, id string) string {
	status, body := call("GET", f.front(entry), "jobs.example", prefix+id, "")
	f.note("caller GET %s%s at entry %d: %d %s", prefix, id, entry, status, body)
	return fmt.Sprintf("%d %s", status, body)
}
