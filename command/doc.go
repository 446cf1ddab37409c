// Package command holds the operators' query and command language: its grammar,
// its typed statements and its help texts.
//
// One grammar serves single commands, scripts and the interactive prompt. An
// error is of kind BadSyntax, points at a column and says what was expected
// there. The tokens come from participle's stateful lexer; the statements are
// read by recursive descent, which knows at each place what it expects.
package command
