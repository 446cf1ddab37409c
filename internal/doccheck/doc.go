// Package doccheck contains only tests, which compare the documentation with the
// code.
package doccheck
