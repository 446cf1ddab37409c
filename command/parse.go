package command

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"mangohill.example/mangohill/kind"
)

// SyntaxError is the cause of an error of kind BadSyntax. Line and Column count
// from 1, Column counts characters.
type SyntaxError struct {
	Line     int
	Column   int
	Expected string
	Found    string
	// Words lists the words that would have been accepted. It is empty where a
	// name or a value was expected.
	Words []string
}

// Error names the position, what was expected there and what was found.
func (e *SyntaxError) Error() string {
	place := fmt.Sprintf("column %d", e.Column)
	if e.Line > 1 {
		place = fmt.Sprintf("line %d, column %d", e.Line, e.Column)
	}
	return fmt.Sprintf("%s: expected %s, found %s", place, e.Expected, e.Found)
}

// Parse parses one command. Errors are of kind BadSyntax; their cause is a
// *SyntaxError unless the text exceeds MaxTextBytes or cannot be tokenized.
func Parse(text string) (Statement, error) { return parseAt(text, 1, 1) }

// parseAt parses one command that begins at a line and column of a larger text.
func parseAt(text string, line, column int) (Statement, error) {
	tokens, err := tokenize(text)
	if err != nil {
		return nil, err
	}
	for i := range tokens {
		if tokens[i].line == 1 {
			tokens[i].column += column - 1
		}
		tokens[i].line += line - 1
	}
	p := &parser{tokens: withoutNewlines(tokens)}
	statement, err := p.statement()
	if err != nil {
		return nil, err
	}
	if p.peek().rule != "" {
		return nil, p.expected("the end of the command")
	}
	return statement, nil
}

func withoutNewlines(tokens []token) []token {
	return slices.DeleteFunc(tokens, func(t token) bool { return t.rule == ruleNewline })
}

// parser is a recursive-descent parser of one command.
type parser struct {
	tokens   []token
	position int
	// optional lists the words that may follow the command, which is complete
	// without them.
	optional []string
}

// peek returns the current token.
func (p *parser) peek() token { return p.tokens[p.position] }

// advance returns the current token and moves to the next one. It doesn't move
// past the end token.
func (p *parser) advance() token {
	t := p.tokens[p.position]
	if t.rule != "" {
		p.position++
	}
	return t
}

func (p *parser) expected(what string) error { return expectedAt(p.peek(), what) }

func (p *parser) expectedWord(words ...string) error {
	return expectedAt(p.peek(), oneOf(words), words...)
}

func expectedAt(t token, what string, words ...string) error {
	syntax := &SyntaxError{Line: t.line, Column: t.column, Expected: what, Found: t.describe(), Words: words}
	return kind.Errorf(kind.BadSyntax, "%w", syntax)
}

var verbs = []string{"declare", "cancel", "show", "why", "drain", "undrain", "evacuate", "restore", "set", "report", "help"}

func (p *parser) statement() (Statement, error) {
	verb := p.peek()
	if verb.rule != ruleWord || !slices.Contains(verbs, verb.text) {
		return nil, p.expectedWord(verbs...)
	}
	p.advance()
	switch verb.text {
	case "declare":
		return p.declare()
	case "cancel":
		name, err := p.word("the name of a job or task")
		return Cancel{Name: name}, err
	case "show":
		return p.show()
	case "why":
		name, err := p.word("the name of a task")
		return Why{Task: name}, err
	case "drain":
		name, err := p.worker()
		return Drain{Worker: name}, err
	case "undrain":
		name, err := p.worker()
		return Undrain{Worker: name}, err
	case "evacuate":
		name, err := p.domain()
		return Evacuate{Domain: name}, err
	case "restore":
		name, err := p.domain()
		return Restore{Domain: name}, err
	case "set":
		return p.setConfig()
	case "report":
		return ReportBurn{}, p.keyword("burn")
	}
	return p.help(), nil
}

func (p *parser) help() Statement {
	if p.peek().rule != ruleWord {
		return Help{}
	}
	return Help{Word: p.advance().text}
}

func (p *parser) worker() (string, error) {
	if err := p.keyword("worker"); err != nil {
		return "", err
	}
	return p.word("the name of a worker")
}

func (p *parser) domain() (string, error) {
	if err := p.keyword("domain"); err != nil {
		return "", err
	}
	return p.value("the name of a failure domain")
}

func (p *parser) show() (Statement, error) {
	names := make([]string, 0, len(Topics()))
	for _, topic := range Topics() {
		names = append(names, string(topic))
	}
	topic := p.peek()
	if topic.rule != ruleWord || !slices.Contains(names, topic.text) {
		return nil, p.expectedWord(names...)
	}
	p.advance()
	show := Show{Topic: Topic(topic.text)}
	for p.peek().rule != "" {
		switch next := p.peek(); {
		case next.is("where") && show.Where == nil:
			where, err := p.where()
			if err != nil {
				return nil, err
			}
			show.Where = where
		case next.is("since") && show.Since == 0 && show.Topic.hasTimes():
			since, err := p.since()
			if err != nil {
				return nil, err
			}
			show.Since = since
		default:
			return nil, show.expectedNext(p)
		}
	}
	p.optional = show.optionalWords()
	return show, nil
}

func (s Show) optionalWords() []string {
	var words []string
	if s.Where == nil {
		words = append(words, "where")
	}
	if s.Since == 0 && s.Topic.hasTimes() {
		words = append(words, "since")
	}
	return words
}

func (s Show) expectedNext(p *parser) error {
	words := s.optionalWords()
	if len(words) == 0 {
		return p.expected("the end of the command")
	}
	return expectedAt(p.peek(), oneOf(words)+" or the end of the command", words...)
}

func (p *parser) where() ([]Condition, error) {
	var conditions []Condition
	for {
		p.advance() // "where" or "and"
		column, err := p.word("the name of a column")
		if err != nil {
			return nil, err
		}
		if !p.peek().isPunct("=") {
			return nil, p.expected(`"="`)
		}
		p.advance()
		value, err := p.value("a value")
		if err != nil {
			return nil, err
		}
		conditions = append(conditions, Condition{Column: column, Value: value})
		if !p.peek().is("and") {
			return conditions, nil
		}
	}
}

func (p *parser) since() (time.Duration, error) {
	p.advance() // "since"
	return p.duration()
}

func (p *parser) setConfig() (Statement, error) {
	if err := p.keyword("config"); err != nil {
		return nil, err
	}
	if err := p.keyword("from"); err != nil {
		return nil, err
	}
	file, err := p.value("the name of a file")
	if err != nil {
		return nil, err
	}
	set := SetConfig{File: file}
	if !p.peek().is("if") {
		p.optional = []string{"if"}
		return set, nil
	}
	p.advance()
	if err := p.keyword("version"); err != nil {
		return nil, err
	}
	number := p.peek()
	set.Version, err = strconv.ParseUint(number.text, 10, 64)
	if err != nil || number.rule != ruleWord || set.Version == 0 {
		return nil, p.expected("a version number of at least 1")
	}
	p.advance()
	set.IfVersion = true
	return set, nil
}

func (p *parser) keyword(text string) error {
	if !p.peek().is(text) {
		return p.expectedWord(text)
	}
	p.advance()
	return nil
}

func (p *parser) word(what string) (string, error) {
	if p.peek().rule != ruleWord {
		return "", p.expected(what)
	}
	return p.advance().text, nil
}

// value parses a word or a string.
func (p *parser) value(what string) (string, error) {
	switch t := p.peek(); t.rule {
	case ruleWord:
		p.advance()
		return t.text, nil
	case ruleRawString:
		p.advance()
		return t.text[1 : len(t.text)-1], nil
	case ruleString:
		text, err := strconv.Unquote(t.text)
		if err != nil {
			return "", p.expected(what + " with valid escapes")
		}
		p.advance()
		return text, nil
	}
	return "", p.expected(what)
}

func (p *parser) duration() (time.Duration, error) {
	t := p.peek()
	duration, err := time.ParseDuration(t.text)
	if t.rule != ruleWord || err != nil || duration <= 0 {
		return 0, p.expected("a duration such as 10m or 250ms")
	}
	p.advance()
	return duration, nil
}

func oneOf(words []string) string {
	quoted := make([]string, 0, len(words))
	for _, word := range words {
		quoted = append(quoted, strconv.Quote(word))
	}
	if len(quoted) == 1 {
		return quoted[0]
	}
	last := len(quoted) - 1
	return strings.Join(quoted[:last], ", ") + " or " + quoted[last]
}
