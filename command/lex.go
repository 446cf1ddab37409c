package command

import (
	"fmt"
	"strings"

	"github.com/alecthomas/participle/v2/lexer"

	"mangohill.example/mangohill/kind"
)

// MaxTextBytes bounds the text of one command.
const MaxTextBytes = 64 << 10

// Names of the lexer rules whose tokens the parser gets. Tokens of the rules with
// lower-case names are skipped.
const (
	ruleString     = "String"
	ruleRawString  = "RawString"
	ruleOpenString = "OpenString"
	ruleNewline    = "Newline"
	rulePunct      = "Punct"
	ruleWord       = "Word"
)

var lexerDefinition = lexer.MustSimple([]lexer.SimpleRule{
	{Name: "comment", Pattern: `#[^\n]*`},
	{Name: "space", Pattern: `[ \t\r]+`},
	{Name: ruleNewline, Pattern: `[\n;]`},
	{Name: ruleString, Pattern: `"(\\[^\n]|[^"\\\n])*"`},
	{Name: ruleRawString, Pattern: `'[^'\n]*'`},
	{Name: ruleOpenString, Pattern: `["'][^\n]*`},
	{Name: rulePunct, Pattern: `[{}=]`},
	{Name: ruleWord, Pattern: `[^\s{}"'=;#][^\s{}"'=;]*`},
})

var tokenNames = lexer.SymbolsByRune(lexerDefinition)

// token is a token of a command with its position. Lines and columns count from
// 1, columns in characters; offset counts bytes from 0.
type token struct {
	rule   string
	text   string
	line   int
	column int
	offset int
}

func (t token) describe() string {
	switch t.rule {
	case "":
		return "the end of the command"
	case ruleNewline:
		return "the end of the line"
	case ruleOpenString:
		return "a string without its closing quote"
	}
	return fmt.Sprintf("%q", t.text)
}

func (t token) is(text string) bool { return t.rule == ruleWord && t.text == text }

func (t token) isPunct(text string) bool { return t.rule == rulePunct && t.text == text }

// tokenize returns the tokens of text, followed by an end token, whose rule is
// empty.
func tokenize(text string) ([]token, error) {
	if len(text) > MaxTextBytes {
		return nil, kind.Errorf(kind.BadSyntax, "the command has %d bytes, want at most %d", len(text), MaxTextBytes)
	}
	return tokenizeUnbounded(text)
}

// tokenizeUnbounded is tokenize without the bound on the length of text.
func tokenizeUnbounded(text string) ([]token, error) {
	lex, err := lexerDefinition.LexString("", text)
	if err != nil {
		return nil, kind.Errorf(kind.BadSyntax, "%w", err)
	}
	var tokens []token
	for {
		next, err := lex.Next()
		if err != nil {
			return nil, kind.Errorf(kind.BadSyntax, "%w", err)
		}
		if next.EOF() {
			return append(tokens, endToken(text)), nil
		}
		name := tokenNames[next.Type]
		if name == "comment" || name == "space" {
			continue
		}
		tokens = append(tokens, token{
			rule:   name,
			text:   next.Value,
			line:   next.Pos.Line,
			column: next.Pos.Column,
			offset: next.Pos.Offset,
		})
	}
}

// endToken returns the end token. Its position follows the last character that is
// neither white space nor a semicolon.
func endToken(text string) token {
	trimmed := strings.TrimRight(text, " \t\r\n;")
	line := 1 + strings.Count(trimmed, "\n")
	last := trimmed[strings.LastIndexByte(trimmed, '\n')+1:]
	return token{line: line, column: 1 + len([]rune(last)), offset: len(trimmed)}
}
