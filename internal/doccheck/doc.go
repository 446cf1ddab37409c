// Package doccheck holds tests that compare the documentation with the code. It
// has no code of its own.
package doccheck
