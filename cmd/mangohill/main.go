// Command mangohill is the operators' command line: it sends commands of the
// query and command language to an entry host and prints the answers.
package main

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/jessevdk/go-flags"
	"golang.org/x/term"

	"mangohill.example/mangohill/kind"
	"mangohill.example/mangohill/operator"
)

// defaultEntry is the operators' address of the first entry host in the examples.
const defaultEntry = "127.0.0.11:8082"

type options struct {
	Entry   []string      `long:"entry" env:"MANGOHILL_ENTRY" env-delim:"," value-name:"HOST:PORT" description:"operators' address of an entry host; repeat it for others to fall back on"`
	JSON    bool          `long:"json" description:"print answers as JSON, one object a line"`
	Timeout time.Duration `long:"timeout" default:"15s" description:"time to wait for a command, with all its resends"`
	Picture string        `long:"picture" value-name:"FILE" description:"with report burn: also write a picture (.svg or .html)"`
}

const usage = `[OPTIONS] COMMAND

Commands of the cluster (mangohill help WORD explains one):
  declare, cancel, show, why, drain, undrain, evacuate, restore, set, report

Commands of this program:
  try             run a small cluster in this process and check its promises
  run FILE        send the commands of a script, up to the first that fails
  check FILE      check a settings file, a cluster configuration or a script
  help [WORD]     show the help on a word of the command language
  (none)          read commands from the terminal, or from standard input`

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	var opts options
	parser := flags.NewNamedParser("mangohill", flags.HelpFlag|flags.PassDoubleDash|flags.PassAfterNonOption)
	parser.Usage = usage
	if _, err := parser.AddGroup("Options", "", &opts); err != nil {
		return fail(err, kind.ExitUsage)
	}
	words, err := parser.ParseArgs(args)
	var flagsErr *flags.Error
	if errors.As(err, &flagsErr) && flagsErr.Type == flags.ErrHelp {
		fmt.Println(flagsErr.Message)
		return kind.ExitDone
	}
	if err != nil {
		return fail(err, kind.ExitUsage)
	}
	return newSession(opts).dispatch(words)
}

// dispatch runs a sub-command of this program, or sends the words as a command to
// the cluster. It returns the exit code.
func (s *session) dispatch(words []string) int {
	if len(words) == 0 {
		return s.readCommands()
	}
	switch words[0] {
	case "try":
		return runTry(words[1:], s.json)
	case "run":
		return s.withFile(words, s.runScript)
	case "check":
		return s.withFile(words, s.checkFile)
	}
	return s.execute(strings.Join(words, " "))
}

func (s *session) withFile(words []string, action func(path string) int) int {
	if len(words) != 2 {
		return fail(fmt.Errorf("usage: mangohill %s FILE", words[0]), kind.ExitUsage)
	}
	return action(words[1])
}

// readCommands reads commands from the terminal, or a script from standard input if
// that is no terminal.
func (s *session) readCommands() int {
	if term.IsTerminal(int(os.Stdin.Fd())) {
		return s.prompt()
	}
	return s.runScriptFrom("standard input", os.Stdin)
}

func newSession(opts options) *session {
	entries := opts.Entry
	if len(entries) == 0 {
		entries = []string{defaultEntry}
	}
	return &session{
		client:  &operator.Client{Entries: entries, Timeout: opts.Timeout},
		json:    opts.JSON,
		picture: opts.Picture,
		out:     os.Stdout,
		errors:  os.Stderr,
		width:   terminalWidth(),
	}
}

// terminalWidth returns the width of standard output in characters, 0 if it is
// no terminal.
func terminalWidth() int {
	width, _, err := term.GetSize(int(os.Stdout.Fd()))
	if err != nil {
		return 0
	}
	return width
}

func fail(err error, code int) int {
	fmt.Fprintln(os.Stderr, "mangohill:", err)
	return code
}
