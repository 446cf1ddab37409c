package settings

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"mangohill.example/mangohill/kind"
)

const validSettings = `cluster: association
name: entry-1 # unique among the processes
failure_domain: pt-norte
listen:
  callers: 127.0.0.11:8080
  platform: 127.0.0.11:8081
  operators: 127.0.0.11:8082
  peers: 127.0.0.11:7400
entries: [127.0.0.11:7400, 127.0.0.12:7400]
control: [127.0.0.11:7400, 127.0.0.22:7400, 127.0.0.23:7400]
data: ./data/control-1
log: {level: info, format: json}
`

func TestValidSettingsServeBothPrograms(t *testing.T) {
	for _, program := range []Program{Control, Entry} {
		s, faults := Parse(validSettings, program)
		require.Empty(t, faults)
		assert.Equal(t, "entry-1", s.Name)
		assert.Equal(t, "127.0.0.11:8081", s.Listen.Platform)
		assert.Equal(t, []string{"127.0.0.11:7400", "127.0.0.12:7400"}, s.Entries)
		assert.Equal(t, Log{Level: "info", Format: "json"}, s.Log)
		assert.Equal(t, 30*time.Second, s.StopTimeout)
	}
}

func TestEveryFaultIsReportedAtOnce(t *testing.T) {
	path := filepath.Join(t.TempDir(), "bad.yaml")
	text := `cluster: a b
name: entry-1
colour: red
name: entry-2
listen:
  callers: localhost:8080
  peers: 127.0.0.11:0
  operators: 127.0.0.11:8082
  platform: 127.0.0.11:8082
  extra: 1
entries: 127.0.0.11:7400
control:
  - 127.0.0.21:7400
  - 127.0.0.21:7400
  - nowhere
stop_timeout: soon
log: {level: loud}
`
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	s, faults := Load(path, Entry)
	assert.Nil(t, s)
	var lines []string
	for _, fault := range faults {
		lines = append(lines, fault.String()[len(path):])
	}
	assert.Equal(t, []string{
		`:1: cluster: "a b" holds ' ', want letters, digits, '-', '_' and '.'`,
		`:1: failure_domain: is missing (required for entry)`,
		`:3: colour: is not a known key (known: cluster, name, failure_domain, listen, entries, control, data, log, stop_timeout)`,
		`:4: name: is given twice (first in line 2)`,
		`:6: listen.callers: "localhost:8080" is not an IP address with a port such as 127.0.0.1:8080`,
		`:7: listen.peers: "127.0.0.11:0" has port 0, want 1 to 65535`,
		`:9: listen.platform: 127.0.0.11:8082 is also listen.operators`,
		`:10: listen.extra: is not a known key (known: callers, platform, operators, peers)`,
		`:11: entries: must be a list, not a single value`,
		`:14: control[1]: 127.0.0.21:7400 is listed twice`,
		`:15: control[2]: "nowhere" is not an IP address with a port such as 127.0.0.1:8080`,
		`:16: stop_timeout: "soon" is not a duration such as 250ms or 2s`,
		`:17: log.level: "loud" is not one of [debug info warn error]`,
	}, lines)
	assert.Equal(t, kind.BadSettings, kind.Of(FaultsError(faults)))
}

func TestMissingKeysDependOnTheProgram(t *testing.T) {
	assert.Equal(t, []string{"cluster", "name", "failure_domain", "listen.operators", "listen.peers", "control", "data"}, faultKeys(Control, "{}"))
	assert.Equal(t, []string{"cluster", "name", "failure_domain", "listen.callers", "listen.platform", "listen.operators", "listen.peers", "control", "entries"}, faultKeys(Entry, ""))
}

func faultKeys(program Program, text string) []string {
	_, faults := Parse(text, program)
	var keys []string
	for _, fault := range faults {
		keys = append(keys, fault.Key)
	}
	return keys
}

func TestDataFolderMustBeUsable(t *testing.T) {
	file := filepath.Join(t.TempDir(), "file")
	require.NoError(t, os.WriteFile(file, nil, 0o600))
	assert.ErrorContains(t, checkDataFolder(filepath.Join(file, "data")), "not a directory")
	assert.ErrorContains(t, checkDataFolder(file), "is not a folder")
	assert.Error(t, checkDataFolder("/proc/mangohill"))
	missing := filepath.Join(filepath.Dir(file), "a", "b")
	assert.NoError(t, checkDataFolder(missing))
	assert.NoDirExists(t, missing, "the check must not create the folder")
}

func TestBrokenFilesAreFaultsWithALine(t *testing.T) {
	_, faults := Load("/nonexistent/settings.yaml", Entry)
	require.Len(t, faults, 1)
	assert.Contains(t, faults[0].String(), "/nonexistent/settings.yaml:1: cannot be read")
	_, faults = Parse("cluster: a\nname: [", Entry)
	require.Len(t, faults, 1)
	assert.Equal(t, 2, faults[0].Line)
	_, faults = Parse("- a", Entry)
	require.Len(t, faults, 1)
	assert.Contains(t, faults[0].Problem, "must be a mapping")
}

func FuzzParse(f *testing.F) {
	f.Add(validSettings)
	f.Add("listen: &a {callers: *a}\n<<: 1\n? [a]: b\n")
	f.Fuzz(func(t *testing.T, text string) {
		s, faults := Parse(text, Control)
		assert.Equal(t, s == nil, len(faults) > 0)
	})
}
