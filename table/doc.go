// Package table renders rows as text that fits the width of a terminal, and as
// JSON for programs.
package table
