package main

import (
	"errors"

	"mangohill.example/mangohill/kind"
)

// runTry runs a small cluster in this process.
func runTry(_ []string, _ bool) int {
	return fail(errors.New("try is not built in yet"), kind.ExitRefused)
}
