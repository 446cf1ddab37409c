package e2e

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"mangohill.example/mangohill/controlapi"
	"mangohill.example/mangohill/internal/fake"
	"mangohill.example/mangohill/kind"
	"mangohill.example/mangohill/operator"
)

// programRun is the exit code and the output of a program that has exited.
type programRun struct {
	exit           int
	output, errors string
}

func runProgram(t *testing.T, program string, args ...string) programRun {
	t.Helper()
	cmd := exec.Command(filepath.Join(binaries, program), args...)
	var output, errors bytes.Buffer
	cmd.Stdout, cmd.Stderr = &output, &errors
	_ = cmd.Run() // The exit code is read from ProcessState.
	require.NotNil(t, cmd.ProcessState, "%s did not start", program)
	return programRun{cmd.ProcessState.ExitCode(), output.String(), errors.String()}
}

// lossyEntry forwards commands to an entry host and drops the first
// remainingLosses answers by closing the connection.
type lossyEntry struct {
	target          string
	remainingLosses atomic.Int64
}

func (l *lossyEntry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	response, err := client.Post(l.target+operator.CommandsPath, "application/json", r.Body)
	if err != nil || l.remainingLosses.Add(-1) >= 0 {
		panic(http.ErrAbortHandler)
	}
	defer response.Body.Close()
	w.Header().Set("Content-Type", response.Header.Get("Content-Type"))
	w.WriteHeader(response.StatusCode)
	_, _ = io.Copy(w, response.Body) // The client may have disconnected.
}

// If the answer to a command is lost, the command line must resend the command
// with the same ID through another entry host, and the command must run once.
func TestCommandLineResendsALostCommand(t *testing.T) {
	c := newCluster(t, 1, 2)
	lossy := &lossyEntry{target: c.operatorURL(0)}
	lossy.remainingLosses.Store(1)
	server := httptest.NewServer(lossy)
	defer server.Close()
	file := filepath.Join(c.folder, "cluster.yaml")
	require.NoError(t, os.WriteFile(file, []byte("weights: {evictions: 5}\n"), 0o600))

	done := runProgram(t, "mangohill", "--entry", stripScheme(server.URL), "--entry", stripScheme(c.operatorURL(1)), "set", "config", "from", file, "if", "version", "1")
	assert.Equal(t, kind.ExitDone, done.exit, done.errors)
	assert.Equal(t, "done, version 2\n", done.output, "the resend must not conflict with version 2, which the first send set")

	commands := runProgram(t, "mangohill", "--entry", stripScheme(c.operatorURL(1)), "--json", "show", "commands")
	var reply controlapi.CommandReply
	require.NoError(t, json.Unmarshal([]byte(commands.output), &reply))
	assert.Len(t, reply.Rows, 1)
}

func stripScheme(url string) string { return strings.TrimPrefix(url, "http://") }

func TestCommandLineExitCodes(t *testing.T) {
	c := newCluster(t, 1, 1)
	entry := stripScheme(c.operatorURL(0))
	script := filepath.Join(c.folder, "night.mh")
	require.NoError(t, os.WriteFile(script, []byte("declare batch a { processors 1 memory 1GiB }\nshow tasks where task = a\n"), 0o600))
	cases := []struct {
		exit int
		args []string
	}{
		{kind.ExitDone, []string{"--entry", entry, "run", script}},
		{kind.ExitDone, []string{"--entry", entry, "why", "a"}},
		{kind.ExitDone, []string{"help", "why"}},
		{kind.ExitRefused, []string{"--entry", entry, "cancel", "nobody"}},
		{kind.ExitRefused, []string{"--entry", entry, "drain", "worker", "nobody"}},
		{kind.ExitRefused, []string{"--entry", stripScheme(c.callerURL(0)), "--timeout", "200ms", "show", "tasks"}},
		{kind.ExitUsage, []string{"--entry", entry, "show", "nothing"}},
		{kind.ExitUsage, []string{"--entry", entry, "show", "tasks", "where", "colour", "=", "red"}},
		{kind.ExitUsage, []string{"--nonsense"}},
		{kind.ExitUsage, []string{"--entry", entry, "run", script + ".missing"}},
	}
	for _, c := range cases {
		ended := runProgram(t, "mangohill", c.args...)
		assert.Equal(t, c.exit, ended.exit, "%v: %s", c.args, ended.errors)
	}
}

// While control is frozen, the outcome of a command must be reported as unknown
// and a query as refused. Once control resumes, commands must succeed again.
func TestCommandLineTellsAnUnknownOutcome(t *testing.T) {
	c := newCluster(t, 1, 1)
	entry := stripScheme(c.operatorURL(0))
	c.control[0].signal(syscall.SIGSTOP)
	unknown := runProgram(t, "mangohill", "--entry", entry, "--timeout", "2s", "declare", "batch", "a", "{", "processors", "1", "memory", "1GiB", "}")
	assert.Equal(t, kind.ExitUnknown, unknown.exit, unknown.errors)
	query := runProgram(t, "mangohill", "--entry", entry, "--timeout", "1s", "show", "tasks")
	assert.Equal(t, kind.ExitRefused, query.exit, "a query changes nothing")
	c.control[0].signal(syscall.SIGCONT)
	c.eventually("control answers", func() bool {
		return runProgram(t, "mangohill", "--entry", entry, "show", "members").exit == kind.ExitDone
	})
}

func TestBurnIsMergedOverEntryHosts(t *testing.T) {
	c := newCluster(t, 1, 2)
	target := startTarget(t, c)
	for i := range 20 {
		c.eventually("a request is done", func() bool {
			response, err := client.Get(c.callerURL(i%2) + "/v1/services/quote/")
			if err != nil {
				return false
			}
			defer response.Body.Close()
			return response.Header.Get("Mangohill-Outcome") == "done"
		})
	}
	var answered int64
	c.eventually("a complete report", func() bool {
		ended := runProgram(t, "mangohill", "--entry", stripScheme(c.operatorURL(1)), "--json", "report", "burn")
		var reply controlapi.CommandReply
		require.NoError(t, json.Unmarshal([]byte(ended.output), &reply))
		if len(reply.Rows) == 0 || reply.Message != "" {
			return false
		}
		answered = reply.Rows[4].Get("requests").(int64)
		return true
	})
	assert.EqualValues(t, target.TotalRuns(), answered, "each request must be counted by the entry host that received it")

	c.entries[0].kill()
	ended := runProgram(t, "mangohill", "--entry", stripScheme(c.operatorURL(1)), "report", "burn")
	assert.Equal(t, kind.ExitDone, ended.exit)
	assert.Contains(t, ended.output, "incomplete: the requests of entry-1 are not counted")
}

func startTarget(t *testing.T, c *cluster) *fake.Target {
	t.Helper()
	target, err := fake.StartTarget(fake.TargetOptions{Name: "q1", Service: "quote", Platforms: stripSchemes(c.platformURLs())})
	require.NoError(t, err)
	t.Cleanup(target.Stop)
	return target
}

func stripSchemes(urls []string) []string {
	list := make([]string, 0, len(urls))
	for _, url := range urls {
		list = append(list, stripScheme(url))
	}
	return list
}

// Each program must report all errors in its settings together and exit with 2.
func TestBadSettingsAreReportedAtOnce(t *testing.T) {
	path := filepath.Join(t.TempDir(), "bad.yaml")
	require.NoError(t, os.WriteFile(path, []byte("cluster: a\ncolour: red\nlisten:\n  peers: nowhere\ncontrol: [127.0.0.1:1]\n"), 0o600))
	for _, program := range []string{"mangohill-control", "mangohill-entry"} {
		for _, args := range [][]string{{"--settings", path, "--check"}, {"--settings", path}} {
			ended := runProgram(t, program, args...)
			assert.Equal(t, kind.ExitUsage, ended.exit, program)
			text := ended.output + ended.errors
			assert.Contains(t, text, path+":2: colour: is not a known key")
			assert.Contains(t, text, path+":4: listen.peers: \"nowhere\" is not an IP address")
			assert.Contains(t, text, "name: is missing")
		}
	}
}
