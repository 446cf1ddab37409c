package main

import (
	"context"
	"encoding/json"
	"io"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"mangohill.example/mangohill/controlapi"
	"mangohill.example/mangohill/kind"
	"mangohill.example/mangohill/operator"
)

// recordingExecutor records the commands that it gets. It refuses cancel commands.
type recordingExecutor struct{ commands []controlapi.CommandArgs }

func (r *recordingExecutor) Execute(_ context.Context, args controlapi.CommandArgs) (controlapi.CommandReply, error) {
	r.commands = append(r.commands, args)
	if strings.HasPrefix(args.Text, "cancel") {
		return controlapi.CommandReply{}, kind.Errorf(kind.NotFound, "job does not exist")
	}
	row := controlapi.Row{{Name: "task", Value: "route-7"}, {Name: "epoch", Value: int64(2)}}
	return controlapi.CommandReply{Outcome: kind.OutcomeDone, Version: 8, Rows: []controlapi.Row{row}}, nil
}

func startSession(t *testing.T) (*recordingExecutor, *session, *strings.Builder, *strings.Builder) {
	t.Helper()
	r := &recordingExecutor{}
	server := httptest.NewServer(operator.Handler(r))
	t.Cleanup(server.Close)
	var out, errors strings.Builder
	s := &session{
		client: &operator.Client{Entries: []string{strings.TrimPrefix(server.URL, "http://")}},
		out:    &out,
		errors: &errors,
	}
	return r, s, &out, &errors
}

func TestACommandIsSentAndItsRowsPrinted(t *testing.T) {
	r, s, out, _ := startSession(t)
	assert.Equal(t, kind.ExitDone, s.dispatch([]string{"show", "tasks", "where", "epoch", "=", "2"}))
	assert.Equal(t, "show tasks where epoch = 2", r.commands[0].Text)
	assert.Equal(t, "task     epoch\nroute-7      2\n", out.String())
}

func TestJSONGivesTypedRows(t *testing.T) {
	_, s, out, _ := startSession(t)
	s.json = true
	assert.Equal(t, kind.ExitDone, s.execute("show tasks"))
	var reply controlapi.CommandReply
	require.NoError(t, json.Unmarshal([]byte(out.String()), &reply))
	assert.Equal(t, int64(2), reply.Rows[0].Get("epoch"))
}

func TestARefusalHasExitCodeOneAndAReason(t *testing.T) {
	_, s, _, errors := startSession(t)
	assert.Equal(t, kind.ExitRefused, s.execute("cancel route-9"))
	assert.Contains(t, errors.String(), "refused: not_found: job does not exist")
}

func TestABadCommandIsNotSent(t *testing.T) {
	r, s, _, errors := startSession(t)
	assert.Equal(t, kind.ExitUsage, s.execute("drain w7"))
	assert.Empty(t, r.commands)
	assert.Equal(t, "  drain w7\n        ^\nmangohill: column 7: expected \"worker\", found \"w7\"\n", errors.String())
}

func TestABadCommandIsAReplyInJSON(t *testing.T) {
	_, s, out, errors := startSession(t)
	s.json = true
	assert.Equal(t, kind.ExitUsage, s.execute("drain w7"))
	var reply controlapi.CommandReply
	require.NoError(t, json.Unmarshal([]byte(out.String()), &reply))
	assert.Equal(t, kind.BadSyntax, reply.Kind)
	assert.Equal(t, kind.OutcomeRefused, reply.Outcome)
	assert.Empty(t, errors.String())
}

func TestTheFileOfAConfigurationIsSent(t *testing.T) {
	r, s, _, _ := startSession(t)
	path := filepath.Join(t.TempDir(), "cluster.yaml")
	require.NoError(t, os.WriteFile(path, []byte("weights: {}\n"), 0o600))
	assert.Equal(t, kind.ExitDone, s.execute("set config from "+path+" if version 7"))
	assert.Equal(t, "weights: {}\n", r.commands[0].File)
	assert.Equal(t, kind.ExitUsage, s.execute("set config from "+path+".missing"))
	assert.Len(t, r.commands, 1)
}

func TestAScriptIsCheckedBeforeItsFirstCommandAndStopsAtARefusal(t *testing.T) {
	r, s, _, errors := startSession(t)
	assert.Equal(t, kind.ExitUsage, s.runScriptFrom("bad", strings.NewReader("drain worker w7\nshow nothing\n")))
	assert.Empty(t, r.commands)
	assert.Contains(t, errors.String(), "line 2, column 6")

	assert.Equal(t, kind.ExitRefused, s.runScriptFrom("night", strings.NewReader("drain worker w7\ncancel a\nshow tasks\n")))
	assert.Len(t, r.commands, 2)
	assert.Contains(t, errors.String(), "night:2: stopped, 1 of 3 commands done")
}

// scriptedReader is a lineReader that returns prepared lines and records the
// prompts.
type scriptedReader struct {
	lines   []string
	prompts []string
}

func (r *scriptedReader) Readline() (string, error) {
	if len(r.lines) == 0 {
		return "", io.EOF
	}
	line := r.lines[0]
	r.lines = r.lines[1:]
	return line, nil
}

func (r *scriptedReader) SetPrompt(p string) { r.prompts = append(r.prompts, p) }

func TestThePromptReadsOnWhileABraceIsOpen(t *testing.T) {
	r, s, _, _ := startSession(t)
	reader := &scriptedReader{lines: []string{"declare batch a {", "processors 1 memory 1GiB }", "", "cancel b", "exit", "show tasks"}}
	assert.Equal(t, kind.ExitRefused, s.readLoop(reader))
	require.Len(t, r.commands, 2)
	assert.Equal(t, "declare batch a {\nprocessors 1 memory 1GiB }", r.commands[0].Text)
	assert.Equal(t, continuationPrompt, reader.prompts[0])
}

func TestCompletionGivesTheRestOfTheWord(t *testing.T) {
	rest, typed := completer{}.Do([]rune("show ta"), 7)
	assert.Equal(t, 2, typed)
	assert.Equal(t, [][]rune{[]rune("sks "), []rune("rgets ")}, rest)
}

func TestTheExamplesAreValid(t *testing.T) {
	files, err := filepath.Glob("../../examples/*/*")
	require.NoError(t, err)
	assert.Len(t, files, 18)
	for _, file := range files {
		text, err := os.ReadFile(file)
		require.NoError(t, err)
		assert.Empty(t, checkText(file, string(text)), file)
	}
}

func TestThePictureOfTheBurnIsWritten(t *testing.T) {
	_, s, _, _ := startSession(t)
	s.picture = filepath.Join(t.TempDir(), "burn.svg")
	assert.Equal(t, kind.ExitDone, s.execute("report burn"))
	assert.FileExists(t, s.picture)
}
