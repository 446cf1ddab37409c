package settings

import (
	"fmt"
	"os"
	"strings"
	"time"

	"mangohill.example/mangohill/internal/yamltree"
	"mangohill.example/mangohill/kind"
)

// Program is the program that a settings file is validated for.
type Program string

// Programs with a settings file.
const (
	Control Program = "control"
	Entry   Program = "entry"
)

// Log formats.
const (
	FormatJSON    = "json"
	FormatConsole = "console"
)

// Defaults of optional keys.
const (
	DefaultStopTimeout = 30 * time.Second
	DefaultLogLevel    = "info"
	DefaultLogFormat   = FormatJSON
)

// maxFileBytes is the largest accepted size of a settings file, in bytes.
const maxFileBytes = 1 << 20

// Settings are the settings of one process.
type Settings struct {
	Cluster       string
	Name          string
	FailureDomain string
	Listen        Listen
	// Entries and Control are the addresses (listen.peers) of the entry and control
	// processes, host:port with an IP address as host.
	Entries []string
	Control []string
	// Data is the data folder of a control process.
	Data string
	Log  Log
	// StopTimeout is how long a graceful shutdown waits for requests in flight.
	StopTimeout time.Duration
}

// Listen holds the listen addresses, host:port with an IP address as host. Unused
// addresses are empty.
type Listen struct {
	Callers   string
	Platform  string
	Operators string
	Peers     string
}

// Log configures the level and the format of the log.
type Log struct {
	Level  string
	Format string
}

// Fault is a problem in a settings file. Key is empty if it concerns no single key.
type Fault struct {
	File    string
	Line    int
	Key     string
	Problem string
}

// String returns the fault in the form FILE:LINE: key: what is wrong.
func (f Fault) String() string {
	if f.Key == "" {
		return fmt.Sprintf("%s:%d: %s", f.File, f.Line, f.Problem)
	}
	return fmt.Sprintf("%s:%d: %s: %s", f.File, f.Line, f.Key, f.Problem)
}

// FaultsError joins faults into one error of kind BadSettings. It returns nil if there
// are none.
func FaultsError(faults []Fault) error {
	if len(faults) == 0 {
		return nil
	}
	lines := make([]string, 0, len(faults))
	for _, fault := range faults {
		lines = append(lines, fault.String())
	}
	return kind.Errorf(kind.BadSettings, "%s", strings.Join(lines, "\n"))
}

// Load reads the settings file at path and validates it for program. The settings are
// nil if there is any fault.
func Load(path string, program Program) (*Settings, []Fault) {
	text, err := readFile(path)
	if err != nil {
		return nil, []Fault{{File: path, Line: 1, Problem: "cannot be read: " + err.Error()}}
	}
	settings, faults := Parse(text, program)
	for i := range faults {
		faults[i].File = path
	}
	return settings, faults
}

func readFile(path string) (string, error) {
	info, err := os.Stat(path)
	if err != nil {
		return "", err
	}
	if info.Size() > maxFileBytes {
		return "", fmt.Errorf("%d bytes exceed the limit of %d", info.Size(), maxFileBytes)
	}
	data, err := os.ReadFile(path)
	return string(data), err
}

// Parse parses the text of a settings file and validates it for program. The settings
// are nil if there is any fault. The faults do not include the file name.
func Parse(text string, program Program) (*Settings, []Fault) {
	var faults []yamltree.Fault
	root := yamltree.Parse(text, &faults)
	if root == nil {
		return nil, convertFaults(faults)
	}
	settings := readSettings(root)
	validate(settings, root, program)
	if len(faults) > 0 {
		return nil, convertFaults(faults)
	}
	return settings, nil
}

func convertFaults(faults []yamltree.Fault) []Fault {
	list := make([]Fault, 0, len(faults))
	for _, fault := range faults {
		list = append(list, Fault{Line: fault.Line, Key: fault.Key, Problem: fault.Problem})
	}
	sortFaults(list)
	return list
}
