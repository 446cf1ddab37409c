//go:build review3

package main

import (
	"encoding/json"
	"fmt"
	"io"
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

// record writes what was sent, answered and run to record.txt.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) *record {
	file, err := os.Create(path)
	if err != nil {
		cannotRun("create the record: %v", err)
	}
	return &record{file: file, start: time.Now()}
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// Ports are the same on all machines of a deployment.
const (
	frontPort   = 8161
	controlPort = 8166
	readyPort   = 8167
	cloudPort   = 8169
	workerPort  = 8080
	peerPort    = 7720
)

// proc is one process of the system.
type proc struct {
	name, role, ip, zone string
	cmd                  *exec.Cmd
	exited               chan struct{}
	// ended is set by the case before it stops the process.
	ended bool
}

// cluster is a small deployment on loopback addresses: three control and four entry processes.
type cluster struct {
	folder   string
	net      string // first three parts of all addresses
	record   *record
	zones    []string
	controls []*proc
	entries  []*proc
	commands map[string][]string
	exits    int
	mu       sync.Mutex
	cloud    string
	heap     int
}

// freeNet returns the first three parts of loopback addresses on which nobody listens.
func freeNet() string {
	pid := os.Getpid()
	for i := range 200 {
		n := fmt.Sprintf("127.%d.%d", 30+(pid+i)%200, (pid/200+i)%250+1)
		l, err := net.Listen("tcp", fmt.Sprintf("%s.1:%d", n, controlPort))
		if err == nil {
			l.Close()
			return n
		}
	}
	cannotRun("no free loopback addresses")
	return ""
}

// deployCommands reads the commands of the roles from the deploy file.
func deployCommands(root string) map[string][]string {
	data, err := os.ReadFile(filepath.Join(root, "deploy/system.toml"))
	if err != nil {
		cannotRun("%v", err)
	}
	commands := map[string][]string{}
	run := ""
	for _, line := range strings.Split(string(data), "\n") {
		key, value, _ := strings.Cut(line, "=")
		key, value = strings.TrimSpace(key), strings.Trim(strings.TrimSpace(value), `"`)
		switch {
		case key == "run":
			run = value
		case key == "serves" && strings.Contains(value, "front"):
			commands["front"] = strings.Fields(run)
		case key == "serves" && strings.Contains(value, "control"):
			commands["control"] = strings.Fields(run)
		}
	}
	if commands["front"] == nil || commands["control"] == nil {
		cannotRun("the deploy file names no programs for front and control")
	}
	return commands
}

func newCluster(root, folder string, r *record, withCloud bool) *cluster {
	c := &cluster{folder: folder, net: freeNet(), record: r, zones: []string{"za", "zb", "zc", "zd"}, commands: deployCommands(root)}
	for i := range 3 {
		c.controls = append(c.controls, &proc{name: fmt.Sprintf("core-%d", i+1), role: "control", ip: fmt.Sprintf("%s.%d", c.net, i+1), zone: c.zones[i]})
	}
	for i := range 4 {
		c.entries = append(c.entries, &proc{name: fmt.Sprintf("front-%d", i+1), role: "front", ip: fmt.Sprintf("%s.%d", c.net, 11+i), zone: c.zones[i]})
	}
	if withCloud {
		c.cloud = fmt.Sprintf("%s.9:%d", c.net, cloudPort)
	}
	return c
}

func (c *cluster) start() {
	for _, p := range c.all() {
		c.launch(p, true)
	}
}

func (c *cluster) all() []*proc { return append(append([]*proc{}, c.controls...), c.entries...) }

func (c *cluster) settings(p *proc, first bool) string {
	var seeds []string
	for _, s := range c.controls {
		seeds = append(seeds, fmt.Sprintf("%q", fmt.Sprintf("%s:%d", s.ip, controlPort)))
	}
	listen, class, memory, disk := fmt.Sprintf("Front = \"%s:%d\"\nReady = \"%s:%d\"", p.ip, frontPort, p.ip, readyPort), "front", 284, 0
	data := ""
	if p.role == "control" {
		listen, class, memory, disk = fmt.Sprintf("Control = \"%s:%d\"", p.ip, controlPort), "core", 280, 128
		data = fmt.Sprintf("DataDir = %q\n", filepath.Join(c.folder, p.name))
	}
	zones := ""
	for _, z := range c.zones {
		zones += z + " = \"region\"\n"
	}
	return fmt.Sprintf(`Node = %q
Role = "my-%s"
MachineClass = %q
Serves = [%q]
Ip = %q
Zone = %q
Region = "region"
PortRange = [%d,%d]
Seeds = [%s]
Bootstrap = %v
LossCounts = %v
%sDiscovery = "registry"
Entry = "vip"
HeartbeatMs = 1100
Contracts = ["base","drain","config","cost","recover","sched","advice","upkeep","sharing"]
config_mode = "highest"
ControlMode = "rpc"
[Zones]
%s[Listen]
%s
[Limits]
CpuShare = 0.8
Cores = 1
MemoryMb = %d
MaxFds = 4100
LinkMbps = 1000.0
DiskMb = %d
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
FarX = 2
CheckpointS = 1
RestoreMs = 250
NoticeMs = 4500
MoveS = 1.5
MaintenanceS = 2
RequireFence = true
LeaseMs = 3000
ThawMs = 300
PaceMs = 100
HarmMs = 4000
[Cloud]
Addr = %q
RatePerS = 60.0
Duties = []
DutyPerS = 60.0
`, p.name, class, class, p.role, p.ip, p.zone, peerPort, peerPort+15, strings.Join(seeds, ","), first, p.role == "control", data, zones, listen, memory, disk, c.cloud)
}

// launch starts a process with the command of the deploy file.
func (c *cluster) launch(p *proc, first bool) {
	path := filepath.Join(c.folder, p.name+".toml")
	if err := os.WriteFile(path, []byte(c.settings(p, first)), 0o600); err != nil {
		cannotRun("%v", err)
	}
	log, err := os.OpenFile(filepath.Join(c.folder, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		cannotRun("%v", err)
	}
	words := c.commands[p.role]
	cmd := exec.Command(words[0], words[1:]...)
	cmd.Env = []string{"MANGOHILL_BOOT=" + path, "PATH=" + os.Getenv("PATH"), "HOME=" + c.folder}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		cannotRun("start %s: %v", p.name, err)
	}
	exited := make(chan struct{})
	p.cmd, p.exited, p.ended = cmd, exited, false
	c.record.add("start process %s (%s) at %s", p.name, strings.Join(words, " "), p.ip)
	go func() {
		err := cmd.Wait()
		log.Close()
		c.mu.Lock()
		if !p.ended {
			c.exits++
			c.record.add("process %s ended by itself: %v", p.name, err)
		}
		c.mu.Unlock()
		close(exited)
	}()
}

// kill ends a process with SIGKILL.
func (c *cluster) kill(p *proc) {
	c.mu.Lock()
	p.ended = true
	c.mu.Unlock()
	c.record.add("SIGKILL %s", p.name)
	_ = p.cmd.Process.Kill()
	<-p.exited
}

// stop ends all processes.
func (c *cluster) stop() {
	c.mu.Lock()
	for _, p := range c.all() {
		p.ended = true
	}
	c.mu.Unlock()
	for _, p := range c.all() {
		if p.cmd != nil {
			_ = p.cmd.Process.Signal(syscall.SIGCONT)
			_ = p.cmd.Process.Kill()
			<-p.exited
		}
	}
}

// waitReady waits until all entry processes are ready.
func (c *cluster) waitReady() {
	deadline := time.Now().Add(20 * time.Second)
	for _, p := range c.entries {
		for {
			status, _, err := call("GET", fmt.Sprintf("http://%s:%d/-/readiness", p.ip, readyPort), "", nil, time.Second)
			if err == nil && status == 200 {
				break
			}
			if time.Now().After(deadline) {
				cannotRun("%s is not ready: %v %v", p.name, status, err)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
}

var transport = &http.Transport{MaxIdleConnsPerHost: 4, IdleConnTimeout: 20 * time.Second}

// call makes one HTTP call and returns status and body.
func call(method, url, host string, body any, timeout time.Duration) (int, []byte, error) {
	var reader io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return 0, nil, err
		}
		reader = strings.NewReader(string(data))
	}
	request, err := http.NewRequest(method, url, reader)
	if err != nil {
		return 0, nil, err
	}
	if host != "" {
		request.Host = host
		request.Header.Set("X-Mangohill-Deadline-Ms", fmt.Sprint(timeout.Milliseconds()))
	}
	request.Header.Set("Content-Type", "application/json")
	client := http.Client{Transport: transport, Timeout: timeout}
	response, err := client.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return response.StatusCode, data, err
}

// cannotRun ends the program with the exit code for a case that could not run.
func cannotRun(format string, args ...any) {
	fmt.Fprintf(os.Stderr, "the case could not run: "+format+"\n", args...)
	cleanUp()
	os.Exit(2)
}

var running *cluster

func cleanUp() {
	if running != nil {
		running.stop()
	}
}
