// Package e2e tests the real programs as separate processes and injects faults
// into them. It contains only test files.
package e2e

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"mangohill.example/mangohill/controlapi"
	"mangohill.example/mangohill/internal/fake"
	"mangohill.example/mangohill/workerapi"
)

const (
	// hangTimeout fails a test that hangs. No test result depends on it otherwise.
	hangTimeout = 90 * time.Second
	// pollInterval is the pause between two evaluations of a condition.
	pollInterval = 20 * time.Millisecond
)

// binaries is the path of the folder with the built programs.
var binaries string

// subnet is the third octet of the loopback addresses of the latest cluster. Each
// cluster of a test run gets the next one.
var subnet atomic.Int64

func TestMain(m *testing.M) { os.Exit(runAll(m)) }

func runAll(m *testing.M) int {
	folder, err := os.MkdirTemp("", "mangohill-e2e-")
	if err != nil {
		panic(err)
	}
	defer os.RemoveAll(folder)
	binaries = folder
	build := exec.Command("go", "build", "-race", "-o", folder+"/", "mangohill.example/mangohill/cmd/...")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		panic(err)
	}
	return m.Run()
}

// process is one program of a cluster; it can be restarted.
type process struct {
	t    *testing.T
	name string
	args []string
	cmd  *exec.Cmd
	log  *os.File
	done chan struct{}
}

func (p *process) start() {
	p.cmd = exec.Command(filepath.Join(binaries, p.args[0]), p.args[1:]...)
	p.cmd.Stdout = p.log
	p.cmd.Stderr = p.log
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	require.NoError(p.t, p.cmd.Start(), p.name)
	p.done = make(chan struct{})
	go func(cmd *exec.Cmd, done chan struct{}) {
		_ = cmd.Wait() // The exit code is read from ProcessState.
		close(done)
	}(p.cmd, p.done)
}

func (p *process) signal(s syscall.Signal) {
	require.NoError(p.t, p.cmd.Process.Signal(s), p.name)
}

// kill sends SIGKILL and waits until the process has exited.
func (p *process) kill() {
	_ = p.cmd.Process.Kill() // It may have exited already.
	<-p.done
}

// stop sends SIGTERM, waits until the process has exited and returns its exit code.
func (p *process) stop() int {
	p.signal(syscall.SIGTERM)
	select {
	case <-p.done:
	case <-time.After(hangTimeout):
		p.t.Fatalf("%s did not exit after SIGTERM", p.name)
	}
	return p.cmd.ProcessState.ExitCode()
}

// cluster is a set of control and entry processes on loopback addresses that no
// other cluster uses.
type cluster struct {
	t       *testing.T
	folder  string
	subnet  int64
	control []*process
	entries []*process
}

func newCluster(t *testing.T, controls, entries int) *cluster {
	c := &cluster{t: t, folder: t.TempDir(), subnet: subnet.Add(1)}
	t.Cleanup(c.close)
	for i := range controls {
		c.control = append(c.control, c.newProcess("control", i, controls, entries))
	}
	for i := range entries {
		c.entries = append(c.entries, c.newProcess("entry", i, controls, entries))
	}
	c.control[0].args = append(c.control[0].args, "--bootstrap")
	for _, p := range c.control {
		p.start()
	}
	for _, p := range c.entries {
		p.start()
	}
	c.control[0].args = c.control[0].args[:len(c.control[0].args)-1]
	c.awaitVoters(controls)
	return c
}

func (c *cluster) close() {
	for _, p := range append(c.control, c.entries...) {
		if p.cmd != nil {
			p.kill()
		}
		_ = p.log.Close() // The processes have exited.
		if c.t.Failed() {
			data, _ := os.ReadFile(p.log.Name()) // A log that cannot be read is shown empty.
			c.t.Logf("--- %s\n%s", p.name, tail(string(data)))
		}
	}
}

func tail(text string) string {
	const limit = 4000
	if len(text) <= limit {
		return text
	}
	return text[len(text)-limit:]
}

func (c *cluster) ip(program string, i int) string {
	first := 11
	if program == "control" {
		first = 21
	}
	return fmt.Sprintf("127.%d.%d.%d", 64+os.Getpid()%128, c.subnet, first+i)
}

func (c *cluster) peerList(program string, count int) string {
	list := make([]string, 0, count)
	for i := range count {
		list = append(list, c.ip(program, i)+":7400")
	}
	return "[" + strings.Join(list, ", ") + "]"
}

func (c *cluster) newProcess(program string, i, controls, entries int) *process {
	name := fmt.Sprintf("%s-%d", program, i+1)
	host := c.ip(program, i)
	lines := []string{
		"cluster: e2e",
		"name: " + name,
		fmt.Sprintf("failure_domain: d%d", i%2),
		"entries: " + c.peerList("entry", entries),
		"control: " + c.peerList("control", controls),
		"log: {level: info, format: json}",
		"listen:",
		"  operators: " + host + ":8082",
		"  peers: " + host + ":7400",
	}
	if program == "entry" {
		lines = append(lines, "  callers: "+host+":8080", "  platform: "+host+":8081")
	} else {
		lines = append(lines, "data: "+c.dataDir(i))
	}
	path := filepath.Join(c.folder, name+".yaml")
	require.NoError(c.t, os.WriteFile(path, []byte(strings.Join(lines, "\n")+"\n"), 0o600))
	log, err := os.Create(filepath.Join(c.folder, name+".log"))
	require.NoError(c.t, err)
	return &process{t: c.t, name: name, log: log, args: []string{"mangohill-" + program, "--settings", path}}
}

func (c *cluster) dataDir(i int) string { return filepath.Join(c.folder, fmt.Sprintf("data-%d", i+1)) }

func (c *cluster) callerURL(i int) string   { return "http://" + c.ip("entry", i) + ":8080" }
func (c *cluster) platformURL(i int) string { return "http://" + c.ip("entry", i) + ":8081" }
func (c *cluster) operatorURL(i int) string { return "http://" + c.ip("entry", i) + ":8082" }

func (c *cluster) platformURLs() []string {
	list := make([]string, 0, len(c.entries))
	for i := range c.entries {
		list = append(list, c.platformURL(i))
	}
	return list
}

// awaitVoters waits until the control group has count voters, including the
// leader.
func (c *cluster) awaitVoters(count int) {
	c.eventually(fmt.Sprintf("%d voters", count), func() bool {
		reply, err := c.sendCommand(0, uuid.NewString(), "show members", "")
		if err != nil || reply.Outcome != "done" {
			return false
		}
		voters := 0
		for _, row := range reply.Rows {
			if role := row.Get("role"); role == "voter" || role == "leader" {
				voters++
			}
		}
		return voters == count
	})
}

// memberID returns the member ID of the voter at control host i, or "" if there
// is none.
func (c *cluster) memberID(i int) string {
	reply, err := c.sendCommand(0, uuid.NewString(), "show members", "")
	if err != nil {
		return ""
	}
	for _, row := range reply.Rows {
		if row.Get("address") == c.ip("control", i)+":7400" && row.Get("role") != "learner" {
			return fmt.Sprint(row.Get("member"))
		}
	}
	return ""
}

// leader returns the index of the leading control process.
func (c *cluster) leader() int {
	index := -1
	c.eventually("a leader", func() bool {
		reply, err := c.sendCommand(0, uuid.NewString(), "show members", "")
		if err != nil {
			return false
		}
		for _, row := range reply.Rows {
			if row.Get("role") != "leader" {
				continue
			}
			for i := range c.control {
				if row.Get("address") == c.ip("control", i)+":7400" {
					index = i
				}
			}
		}
		return index >= 0
	})
	return index
}

func (c *cluster) eventually(what string, condition func() bool) {
	c.t.Helper()
	deadline := time.Now().Add(hangTimeout)
	for !condition() {
		if time.Now().After(deadline) {
			c.t.Fatalf("condition not met: %s", what)
		}
		time.Sleep(pollInterval) // Only the condition decides the result.
	}
}

var client = &http.Client{Timeout: 10 * time.Second}

// sendCommand sends a command once to entry host i and returns its reply.
func (c *cluster) sendCommand(i int, id, text, file string) (controlapi.CommandReply, error) {
	var reply controlapi.CommandReply
	body, err := json.Marshal(controlapi.CommandArgs{ID: id, Text: text, File: file})
	if err != nil {
		return reply, err
	}
	response, err := client.Post(c.operatorURL(i)+"/v1/commands", "application/json", bytes.NewReader(body))
	if err != nil {
		return reply, err
	}
	defer response.Body.Close()
	return reply, json.NewDecoder(response.Body).Decode(&reply)
}

// command sends a command through entry host i and resends it with the same ID
// until it is done. It fails the test if the command is refused for a reason other
// than a missing leader or quorum.
func (c *cluster) command(i int, text string) controlapi.CommandReply {
	c.t.Helper()
	id := uuid.NewString()
	var last controlapi.CommandReply
	c.eventually("done: "+text, func() bool {
		reply, err := c.sendCommand(i, id, text, "")
		last = reply
		if err == nil && reply.Outcome == "refused" && reply.Kind != "no_quorum" && reply.Kind != "not_leader" {
			c.t.Fatalf("%s: refused: %s: %s", text, reply.Kind, reply.Message)
		}
		return err == nil && reply.Outcome == "done"
	})
	return last
}

// taskState returns the state of a task, or "" if the command fails or shows no such
// task.
func (c *cluster) taskState(i int, task string) string {
	reply, err := c.sendCommand(i, uuid.NewString(), "show tasks where task = "+task, "")
	if err != nil || len(reply.Rows) == 0 {
		return ""
	}
	return fmt.Sprint(reply.Rows[0].Get("state"))
}

// runWorkers runs simulated workers inside the test process until the test ends.
func (c *cluster) runWorkers(journal *fake.Journal, count int, processors float64) []*fake.Worker {
	ctx, cancel := context.WithCancel(context.Background())
	var list []*fake.Worker
	finished := make(chan struct{}, count)
	for i := range count {
		worker := fake.NewWorker(fake.WorkerOptions{
			Name:          fmt.Sprintf("w%d", i+1),
			Incarnation:   1,
			FailureDomain: fmt.Sprintf("d%d", i%2),
			Rack:          fmt.Sprintf("r%d", i),
			Capacity:      workerapi.Capacity{Processors: processors, MemoryBytes: 64 << 30},
			Entries:       c.platformURLs(),
			Journal:       journal,
		})
		list = append(list, worker)
		go func() {
			worker.Run(ctx)
			finished <- struct{}{}
		}()
	}
	c.t.Cleanup(func() {
		cancel()
		for range count {
			<-finished
		}
	})
	return list
}

// counter returns the value of a counter of entry host i, or -1 if it cannot be
// read.
func (c *cluster) counter(i int, name string) int64 {
	response, err := client.Get(c.operatorURL(i) + "/debug/vars")
	if err != nil {
		return -1
	}
	defer response.Body.Close()
	var vars struct{ Entry map[string]any }
	if err := json.NewDecoder(response.Body).Decode(&vars); err != nil {
		return -1
	}
	value, ok := vars.Entry[name].(float64)
	if !ok {
		return -1
	}
	return int64(value)
}
