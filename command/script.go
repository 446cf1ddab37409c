package command

import "strings"

// Command is one command of a script. Text is as the script has it; Line is the
// line of its first word, counted from 1.
type Command struct {
	Line      int
	Text      string
	Statement Statement
}

// ParseScript reads a script: commands that end at the end of a line or at a
// semicolon, outside braces. It returns the commands up to the first error; the
// error's line counts from the beginning of the script.
func ParseScript(text string) ([]Command, error) {
	var commands []Command
	for _, part := range split(text) {
		statement, err := parseAt(part.text, part.line, part.column)
		if err != nil {
			return commands, err
		}
		commands = append(commands, Command{Line: part.line, Text: part.text, Statement: statement})
	}
	return commands, nil
}

// Incomplete reports whether text ends inside braces, so that a prompt should
// read another line.
func Incomplete(text string) bool {
	tokens, err := tokenize(text)
	if err != nil {
		return false
	}
	depth := 0
	for _, t := range tokens {
		depth += braceStep(t)
	}
	return depth > 0
}

func braceStep(t token) int {
	switch {
	case t.isPunct("{"):
		return 1
	case t.isPunct("}"):
		return -1
	}
	return 0
}

type part struct {
	text   string
	line   int
	column int
}

func split(text string) []part {
	tokens, err := tokenizeUnbounded(text)
	if err != nil {
		return []part{{text: text, line: 1, column: 1}}
	}
	var parts []part
	depth := 0
	first := -1
	for i, t := range tokens {
		depth += braceStep(t)
		ends := t.rule == "" || t.rule == ruleNewline && depth <= 0
		if !ends {
			if first < 0 && t.rule != ruleNewline {
				first = i
			}
			continue
		}
		depth = 0
		if first >= 0 {
			begin := tokens[first]
			parts = append(parts, part{text: strings.TrimSpace(text[begin.offset:t.offset]), line: begin.line, column: begin.column})
		}
		first = -1
	}
	return parts
}
