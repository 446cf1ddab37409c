// Package e2e starts the real programs and injects faults into them. It holds
// test files only.
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
	// hangGuard ends a test that hangs. No verdict depends on it otherwise.
	hangGuard = 90 * time.Second
	// pollInterval is the pause between two looks at a condition.
	pollInterval = 20 * time.Millisecond
)

// binaries is the folder with the built programs.
var binaries string

// subnet tells the clusters of one test run apart: each gets loopback addresses
// of its own.
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

// process is one started program.
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

// kill ends the process at once.
func (p *process) kill() {
	_ = p.cmd.Process.Kill() // It may have ended already.
	<-p.done
}

// stop ends the process by a planned stop and returns its exit code.
func (p *process) stop() int {
	p.signal(syscall.SIGTERM)
	select {
	case <-p.done:
	case <-time.After(hangGuard):
		p.t.Fatalf("%s does not stop", p.name)
	}
	return p.cmd.ProcessState.ExitCode()
}

// cluster is a set of processes with addresses of their own.
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
		c.control = append(c.control, c.process("control", i, controls, entries))
	}
	for i := range entries {
		c.entries = append(c.entries, c.process("entry", i, controls, entries))
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
		_ = p.log.Close() // Nothing is written any more.
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

func (c *cluster) host(program string, i int) string {
	first := 11
	if program == "control" {
		first = 21
	}
	return fmt.Sprintf("127.%d.%d.%d", 64+os.Getpid()%128, c.subnet, first+i)
}

func (c *cluster) peers(program string, count int) string {
	list := make([]string, 0, count)
	for i := range count {
		list = append(list, c.host(program, i)+":7400")
	}
	return "[" + strings.Join(list, ", ") + "]"
}

func (c *cluster) process(program string, i, controls, entries int) *process {
	name := fmt.Sprintf("%s-%d", program, i+1)
	host := c.host(program, i)
	lines := []string{
		"cluster: e2e",
		"name: " + name,
		fmt.Sprintf("failure_domain: d%d", i%2),
		"entries: " + c.peers("entry", entries),
		"control: " + c.peers("control", controls),
		"log: {level: info, format: json}",
		"listen:",
		"  operators: " + host + ":8082",
		"  peers: " + host + ":7400",
	}
	if program == "entry" {
		lines = append(lines, "  callers: "+host+":8080", "  platform: "+host+":8081")
	} else {
		lines = append(lines, "data: "+c.data(i))
	}
	path := filepath.Join(c.folder, name+".yaml")
	require.NoError(c.t, os.WriteFile(path, []byte(strings.Join(lines, "\n")+"\n"), 0o600))
	log, err := os.Create(filepath.Join(c.folder, name+".log"))
	require.NoError(c.t, err)
	return &process{t: c.t, name: name, log: log, args: []string{"mangohill-" + program, "--settings", path}}
}

func (c *cluster) data(i int) string { return filepath.Join(c.folder, fmt.Sprintf("data-%d", i+1)) }

func (c *cluster) callers(i int) string   { return "http://" + c.host("entry", i) + ":8080" }
func (c *cluster) platform(i int) string  { return "http://" + c.host("entry", i) + ":8081" }
func (c *cluster) operators(i int) string { return "http://" + c.host("entry", i) + ":8082" }

func (c *cluster) platforms() []string {
	list := make([]string, 0, len(c.entries))
	for i := range c.entries {
		list = append(list, c.platform(i))
	}
	return list
}

// awaitVoters waits until the control group has the number of voters, one of
// them leading.
func (c *cluster) awaitVoters(count int) {
	c.eventually(fmt.Sprintf("%d voters", count), func() bool {
		reply, err := c.try(0, uuid.NewString(), "show members", "")
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

// memberID returns the identity of the voter at control host i, empty if there
// is none.
func (c *cluster) memberID(i int) string {
	reply, err := c.try(0, uuid.NewString(), "show members", "")
	if err != nil {
		return ""
	}
	for _, row := range reply.Rows {
		if row.Get("address") == c.host("control", i)+":7400" && row.Get("role") != "learner" {
			return fmt.Sprint(row.Get("member"))
		}
	}
	return ""
}

// leader returns the index of the leading control process.
func (c *cluster) leader() int {
	index := -1
	c.eventually("a leader", func() bool {
		reply, err := c.try(0, uuid.NewString(), "show members", "")
		if err != nil {
			return false
		}
		for _, row := range reply.Rows {
			if row.Get("role") != "leader" {
				continue
			}
			for i := range c.control {
				if row.Get("address") == c.host("control", i)+":7400" {
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
	guard := time.Now().Add(hangGuard)
	for !condition() {
		if time.Now().After(guard) {
			c.t.Fatalf("did not come about: %s", what)
		}
		time.Sleep(pollInterval) // Between two looks; the verdict is the condition's.
	}
}

var client = &http.Client{Timeout: 10 * time.Second}

// try sends a command once to entry host i.
func (c *cluster) try(i int, id, text, file string) (controlapi.CommandReply, error) {
	var reply controlapi.CommandReply
	body, err := json.Marshal(controlapi.CommandArgs{ID: id, Text: text, File: file})
	if err != nil {
		return reply, err
	}
	response, err := client.Post(c.operators(i)+"/v1/commands", "application/json", bytes.NewReader(body))
	if err != nil {
		return reply, err
	}
	defer response.Body.Close()
	return reply, json.NewDecoder(response.Body).Decode(&reply)
}

// command sends a command through entry host i, under one ID, until it is done.
func (c *cluster) command(i int, text string) controlapi.CommandReply {
	c.t.Helper()
	id := uuid.NewString()
	var last controlapi.CommandReply
	c.eventually("done: "+text, func() bool {
		reply, err := c.try(i, id, text, "")
		last = reply
		if err == nil && reply.Outcome == "refused" && reply.Kind != "no_quorum" && reply.Kind != "not_leader" {
			c.t.Fatalf("%s: refused: %s: %s", text, reply.Kind, reply.Message)
		}
		return err == nil && reply.Outcome == "done"
	})
	return last
}

// taskState returns the state of a task, empty if it is not known.
func (c *cluster) taskState(i int, task string) string {
	reply, err := c.try(i, uuid.NewString(), "show tasks where task = "+task, "")
	if err != nil || len(reply.Rows) == 0 {
		return ""
	}
	return fmt.Sprint(reply.Rows[0].Get("state"))
}

// workers starts stand-in workers in the test's own process.
func (c *cluster) workers(journal *fake.Journal, count int, processors float64) []*fake.Worker {
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
			Entries:       c.platforms(),
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

// counter returns a counter of entry host i, or -1 if it cannot be read.
func (c *cluster) counter(i int, name string) int64 {
	response, err := client.Get(c.operators(i) + "/debug/vars")
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
