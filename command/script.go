package command

import "strings"

// Command is one command of a script. Text is the command as written; Line is the
// line of its first word, counted from 1.
type Command struct {
	Line      int
	Text      string
	Statement Statement
}

// ParseScript parses a script. A command ends at a line break or a semicolon
// outside braces. On an error, which is of the same kind as Parse's, ParseScript
// returns the commands before it; the error's line counts from the beginning of the
// script.
func ParseScript(text string) ([]Command, error) {
	var commands []Command
	for _, part := range splitScript(text) {
		statement, err := parseAt(part.text, part.line, part.column)
		if err != nil {
			return commands, err
		}
		commands = append(commands, Command{Line: part.line, Text: part.text, Statement: statement})
	}
	return commands, nil
}

// Incomplete reports whether text has an open brace, so that a prompt should read
// another line.
func Incomplete(text string) bool {
	tokens, err := tokenize(text)
	if err != nil {
		return false
	}
	depth := 0
	for _, t := range tokens {
		depth += depthChange(t)
	}
	return depth > 0
}

// depthChange returns the change of the nesting depth of braces at a token.
func depthChange(t token) int {
	switch {
	case t.isPunct("{"):
		return 1
	case t.isPunct("}"):
		return -1
	}
	return 0
}

// scriptPart is the text of one command with its position in the script.
type scriptPart struct {
	text   string
	line   int
	column int
}

// splitScript splits a script into commands. A script that the lexer rejects stays
// whole, so that the parser reports the error.
func splitScript(text string) []scriptPart {
	tokens, err := tokenizeUnbounded(text)
	if err != nil {
		return []scriptPart{{text: text, line: 1, column: 1}}
	}
	var parts []scriptPart
	depth := 0
	first := -1
	for i, t := range tokens {
		depth += depthChange(t)
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
			parts = append(parts, scriptPart{text: strings.TrimSpace(text[begin.offset:t.offset]), line: begin.line, column: begin.column})
		}
		first = -1
	}
	return parts
}
