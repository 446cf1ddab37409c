// Package command holds the operators' query and command language: its grammar,
// its typed statements and its help texts.
//
// Single commands, scripts and the interactive prompt share one grammar. Syntax
// errors are of kind BadSyntax and name the column and what was expected there.
// The lexer is participle's stateful lexer. The parser uses recursive descent, and
// so knows at each position what it expects.
package command
