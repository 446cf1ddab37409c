// Package table renders rows for people and for programs: as a table that fits
// the width of a terminal, and as JSON.
package table
