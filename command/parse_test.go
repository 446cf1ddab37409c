package command

import (
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"mangohill.example/mangohill/controlapi"
	"mangohill.example/mangohill/kind"
	"mangohill.example/mangohill/types"
)

func TestParseReadsEveryForm(t *testing.T) {
	const gib = int64(1) << 30
	deadline := time.Date(2026, 12, 24, 18, 0, 0, 0, time.UTC).UnixMilli()
	cases := map[string]Statement{
		"declare service quote { team booking replicas 12 processors 4 memory 8GiB objective p99 50ms }": Declare{types.JobSpec{
			Name: "quote", Kind: types.KindService, Team: "booking", Replicas: 12, ObjectiveP99Ms: 50,
			Request: types.Resources{MilliProcessors: 4000, MemoryBytes: 8 * gib},
		}},
		`declare batch route-7 { processors 12 memory 8GiB expected 40m class routing payload "{\"a\": 1}" }`: Declare{types.JobSpec{
			Name: "route-7", Kind: types.KindBatch, Class: "routing", Replicas: 1, ExpectedMs: 2_400_000, Payload: []byte(`{"a": 1}`),
			Request: types.Resources{MilliProcessors: 12000, MemoryBytes: 8 * gib},
		}},
		"declare watcher event-42 {\n processors 0.5 # half\n memory 1GiB\n}\n": Declare{types.JobSpec{
			Name: "event-42", Kind: types.KindWatcher, Replicas: 1, Request: types.Resources{MilliProcessors: 500, MemoryBytes: gib},
		}},
		"declare batch coat-3 { processors 8 memory 16GiB accelerators 1 expected 9h urgent deadline 2026-12-24T18:00:00Z }": Declare{types.JobSpec{
			Name: "coat-3", Kind: types.KindBatch, Replicas: 1, ExpectedMs: 32_400_000, Urgent: true, DeadlineMs: deadline,
			Request: types.Resources{MilliProcessors: 8000, MemoryBytes: 16 * gib, Accelerators: 1},
		}},
		"cancel route-7": Cancel{"route-7"},
		"show tasks":     Show{Topic: TopicTasks},
		"show tasks where worker = w7 and kind = batch": Show{
			Topic: TopicTasks, Where: []Condition{{"worker", "w7"}, {"kind", "batch"}},
		},
		`show tasks where reason='no host' since 1h`: Show{Topic: TopicTasks, Where: []Condition{{"reason", "no host"}}, Since: time.Hour},
		"show events since 10m":                      Show{Topic: TopicEvents, Since: 10 * time.Minute},
		"why quote/3":                                Why{"quote/3"},
		"drain worker w7":                            Drain{"w7"},
		"undrain worker w7":                          Undrain{"w7"},
		"evacuate domain zone-b":                     Evacuate{"zone-b"},
		`restore domain "zone b"`:                    Restore{"zone b"},
		"show domains where state = evacuated":       Show{Topic: TopicDomains, Where: []Condition{{"state", "evacuated"}}},
		"set config from a/b.yaml":                   SetConfig{File: "a/b.yaml"},
		`set config from "a b.yaml" if version 7`:    SetConfig{File: "a b.yaml", IfVersion: true, Version: 7},
		"report burn":                                ReportBurn{},
		"help":                                       Help{},
		"help declare;":                              Help{"declare"},
	}
	for text, want := range cases {
		got, err := Parse(text)
		require.NoError(t, err, text)
		assert.Equal(t, want, got, text)
	}
}

func TestErrorsPointAtTheColumnAndSayWhatWasExpected(t *testing.T) {
	cases := []struct {
		text     string
		line     int
		column   int
		expected string
	}{
		{"", 1, 1, `"declare"`},
		{"dance", 1, 1, `"cancel"`},
		{"show", 1, 5, `"tasks"`},
		{"show tasks were a = b", 1, 12, `"where"`},
		{"show workers since 10m", 1, 14, `"where" or the end`},
		{"show tasks since 1h since 2h", 1, 21, `"where" or the end`},
		{"show tasks where a b", 1, 20, `"="`},
		{"show tasks where a = ", 1, 21, "a value"},
		{"show events since ten", 1, 19, "a duration"},
		{"declare batch a { processors x }", 1, 30, "a number of processors"},
		{"declare batch a { processors 1 memory 9 bananas }", 1, 41, "an attribute of a batch"},
		{"declare batch a { processors 1 memory -1 }", 1, 39, "a size such as 8GiB"},
		{"declare batch a { processors 1 memory 1GiB replicas 2 }", 1, 44, "an attribute of a batch"},
		{"declare batch a { processors 1 processors 1 memory 1GiB }", 1, 32, "only once"},
		{"declare batch a { processors 1 }", 1, 32, `"memory"`},
		{"declare batch a/b { processors 1 memory 1GiB }", 1, 15, "the name of the batch"},
		{"declare batch a {\n processors 1\n memory x }", 3, 9, "a size such as 8GiB"},
		{`declare batch a { processors 1 memory 1GiB payload "{" }`, 1, 52, "a JSON document"},
		{`declare batch a { processors 1 memory 1GiB payload "{ }`, 1, 52, "a JSON document"},
		{"set config from f if version 0", 1, 30, "a version number"},
		{"drain w7", 1, 7, `"worker"`},
		{"cancel a b", 1, 10, "the end of the command"},
		{"cancel é b", 1, 10, "the end of the command"},
	}
	for _, c := range cases {
		_, err := Parse(c.text)
		require.Error(t, err, c.text)
		assert.Equal(t, kind.BadSyntax, kind.Of(err), c.text)
		var syntax *SyntaxError
		require.True(t, errors.As(err, &syntax), c.text)
		assert.Equal(t, c.line, syntax.Line, c.text)
		assert.Equal(t, c.column, syntax.Column, c.text)
		assert.Contains(t, syntax.Expected, c.expected, c.text)
	}
}

func TestMutatesTellsCommandsFromQueries(t *testing.T) {
	for text, want := range map[string]bool{
		"cancel a": true, "drain worker a": true, "undrain worker a": true, "set config from f": true,
		"declare batch a { processors 1 memory 1GiB }": true,
		"show tasks": false, "why a": false, "report burn": false, "help": false,
	} {
		statement, err := Parse(text)
		require.NoError(t, err)
		assert.Equal(t, want, statement.Mutates(), text)
	}
}

func TestFilterComparesTextAndNumbers(t *testing.T) {
	rows := []controlapi.Row{
		{{Name: "worker", Value: "w7"}, {Name: "processors", Value: 64.0}},
		{{Name: "worker", Value: "w8"}, {Name: "processors", Value: 32.0}},
	}
	kept, err := Filter(rows, []Condition{{"worker", "w7"}, {"processors", "64.00"}})
	require.NoError(t, err)
	assert.Equal(t, rows[:1], kept)
	_, err = Filter(rows, []Condition{{"colour", "red"}})
	assert.ErrorContains(t, err, `column "colour" does not exist (columns: worker, processors)`)
	assert.Equal(t, kind.BadRequest, kind.Of(err))
}

func FuzzParse(f *testing.F) {
	f.Add("declare batch a { processors 1 memory 1GiB payload \"{}\" }")
	f.Add("show tasks where a = 'b' since 10m")
	f.Add("set config from \"\\x00\" if version 7")
	f.Fuzz(func(t *testing.T, text string) {
		statement, err := Parse(text)
		if err == nil {
			assert.NotNil(t, statement)
			return
		}
		assert.Equal(t, kind.BadSyntax, kind.Of(err))
	})
}
