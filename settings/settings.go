package settings

import (
	"fmt"
	"os"
	"strings"
	"time"

	"mangohill.example/mangohill/internal/yamltree"
	"mangohill.example/mangohill/kind"
)

// Program is the program that a settings file is checked for.
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

// maxFileBytes bounds what is read of a settings file.
const maxFileBytes = 1 << 20

// Settings are the settings of one process.
type Settings struct {
	Cluster       string
	Name          string
	FailureDomain string
	Listen        Listen
	// Entries and Control are the peers addresses of the entry and control
	// processes, host:port with an IP address as host.
	Entries []string
	Control []string
	// Data is the data folder of a control process.
	Data string
	Log  Log
	// StopTimeout bounds the time that a planned stop waits for requests in
	// flight.
	StopTimeout time.Duration
}

// Listen holds the listen addresses, host:port with an IP address as host. An
// unused one is empty.
type Listen struct {
	Callers   string
	Platform  string
	Operators string
	Peers     string
}

// Log sets the log output.
type Log struct {
	Level  string
	Format string
}

// Fault is one fault of a settings file.
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

// FaultsError joins faults to one error of kind BadSettings, nil if there are none.
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

// Load reads the settings file at path and checks it for program. The settings
// are nil if there is any fault.
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

// Parse checks the text of a settings file for program. The settings are nil if
// there is any fault; the faults lack the file name.
func Parse(text string, program Program) (*Settings, []Fault) {
	var faults []yamltree.Fault
	root := yamltree.Parse(text, &faults)
	if root == nil {
		return nil, convert(faults)
	}
	settings := read(root)
	check(settings, root, program)
	if len(faults) > 0 {
		return nil, convert(faults)
	}
	return settings, nil
}

func convert(faults []yamltree.Fault) []Fault {
	list := make([]Fault, 0, len(faults))
	for _, fault := range faults {
		list = append(list, Fault{Line: fault.Line, Key: fault.Key, Problem: fault.Problem})
	}
	sortFaults(list)
	return list
}
