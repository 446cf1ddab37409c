package command

import (
	"fmt"
	"strings"

	"mangohill.example/mangohill/kind"
	"mangohill.example/mangohill/types"
)

// helpEntry is the help on a word: its forms, what it does, and examples.
type helpEntry struct {
	word     string
	forms    []string
	summary  string
	examples []string
}

var helpEntries = []helpEntry{
	{
		word: "declare",
		forms: []string{
			"declare service NAME { ATTRIBUTES }",
			"declare batch NAME { ATTRIBUTES }",
			"declare watcher NAME { ATTRIBUTES }",
		},
		summary: "Declares a job. A service runs its replicas until it is cancelled; a batch job runs once to its end; a watcher runs until it is cancelled.",
		examples: []string{
			"declare service quote { team booking replicas 12 processors 4 memory 8GiB objective p99 50ms }",
			`declare batch route-7 { processors 12 memory 8GiB expected 40m class routing payload "{}" }`,
			"declare watcher event-42 { processors 1 memory 1GiB }",
			"declare batch coat-3 { processors 8 memory 16GiB accelerators 1 expected 9h urgent deadline 2026-12-24T18:00:00Z }",
		},
	},
	{
		word:     "cancel",
		forms:    []string{"cancel NAME"},
		summary:  "Cancels a job, or one task, by its name. A running attempt is stopped first.",
		examples: []string{"cancel route-7"},
	},
	{
		word: "show",
		forms: []string{
			"show TOPIC [where COLUMN = VALUE [and COLUMN = VALUE]...] [since DURATION]",
		},
		summary: "Lists rows of a topic: tasks, workers, targets, domains, members, entries, config, commands or events. " +
			"All conditions must hold. A value with spaces stands in quotes. since keeps the tasks, commands and events of the last while.",
		examples: []string{
			"show tasks where worker = w7 and kind = batch",
			"show workers",
			"show targets where state = leaving",
			"show domains",
			"show members",
			"show entries",
			"show config",
			"show commands since 1h",
			"show events since 10m",
		},
	},
	{
		word:  "why",
		forms: []string{"why TASK"},
		summary: "Explains from the recorded decision why a task runs where it does, or what it waits for: each host passed over with " +
			"the filter that ruled it out, and the scores of those kept.",
		examples: []string{"why route-7"},
	},
	{
		word:     "drain",
		forms:    []string{"drain worker NAME"},
		summary:  "Starts nothing more on a worker and moves its tasks away.",
		examples: []string{"drain worker w7"},
	},
	{
		word:     "undrain",
		forms:    []string{"undrain worker NAME"},
		summary:  "Ends a drain.",
		examples: []string{"undrain worker w7"},
	},
	{
		word:  "evacuate",
		forms: []string{"evacuate domain NAME"},
		summary: "Starts nothing more on the workers of a failure domain, moves their tasks away, and sends no new request to targets there. " +
			"Requests in flight complete. The order holds until it is withdrawn by restore.",
		examples: []string{"evacuate domain zone-b"},
	},
	{
		word:     "restore",
		forms:    []string{"restore domain NAME"},
		summary:  "Ends the evacuation of a failure domain.",
		examples: []string{"restore domain zone-b"},
	},
	{
		word:  "set",
		forms: []string{"set config from FILE [if version N]"},
		summary: "Replaces the cluster's configuration by the content of a file. With \"if version N\" it is refused unless N is in force, " +
			"so that of two operators who read the same version one is refused.",
		examples: []string{"set config from cluster.yaml if version 7", "set config from cluster.yaml"},
	},
	{
		word:     "report",
		forms:    []string{"report burn"},
		summary:  "Shows by service how fast the error budget is used, over windows of 5m, 1h, 6h and 3d, and whether the fast or the slow alert fires.",
		examples: []string{"report burn"},
	},
	{
		word:     "help",
		forms:    []string{"help [WORD]"},
		summary:  "Shows the help on a word, or the list of words.",
		examples: []string{"help declare", "help"},
	},
}

// HelpWords returns the words that have a help text.
func HelpWords() []string {
	words := make([]string, 0, len(helpEntries))
	for _, entry := range helpEntries {
		words = append(words, entry.word)
	}
	return words
}

// HelpText returns the help on a word, or the list of commands if word is empty.
// An unknown word is an error of kind NotFound.
func HelpText(word string) (string, error) {
	if word == "" {
		return overview(), nil
	}
	for _, entry := range helpEntries {
		if entry.word == word {
			return entry.text(), nil
		}
	}
	return "", kind.Errorf(kind.NotFound, "help on %q does not exist (words: %s)", word, strings.Join(HelpWords(), ", "))
}

func overview() string {
	var out strings.Builder
	out.WriteString("Commands:\n")
	for _, entry := range helpEntries {
		for _, form := range entry.forms {
			fmt.Fprintf(&out, "  %s\n", form)
		}
	}
	out.WriteString("\n\"help WORD\" explains one, with examples.\n")
	return out.String()
}

func (e helpEntry) text() string {
	var out strings.Builder
	for _, form := range e.forms {
		out.WriteString(form + "\n")
	}
	out.WriteString("\n" + e.summary + "\n")
	if e.word == "declare" {
		out.WriteString("\n" + attributeHelp())
	}
	out.WriteString("\nExamples:\n")
	for _, example := range e.examples {
		out.WriteString("  " + example + "\n")
	}
	return out.String()
}

func attributeHelp() string {
	var out strings.Builder
	out.WriteString("Attributes (processors and memory are required):\n")
	for _, a := range attributes() {
		fmt.Fprintf(&out, "  %-13s %s%s\n", a.name, a.help, kindSuffix(a.kinds))
	}
	return out.String()
}

// kindSuffix names the kinds of job to which an attribute is limited.
func kindSuffix(kinds []types.TaskKind) string {
	if kinds == nil {
		return ""
	}
	names := make([]string, 0, len(kinds))
	for _, k := range kinds {
		names = append(names, string(k))
	}
	return " (" + strings.Join(names, ", ") + " only)"
}
