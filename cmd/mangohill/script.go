package main

import (
	"fmt"
	"io"
	"os"

	"mangohill.example/mangohill/command"
	"mangohill.example/mangohill/kind"
)

// maxScriptBytes bounds the size of a script.
const maxScriptBytes = 1 << 20

func (s *session) runScript(path string) int {
	file, err := os.Open(path)
	if err != nil {
		s.reportError(err)
		return kind.ExitUsage
	}
	defer file.Close()
	return s.runScriptFrom(path, file)
}

// runScriptFrom parses the whole script before it sends the first command. It stops
// at the first command that is not done and returns that command's exit code.
func (s *session) runScriptFrom(name string, reader io.Reader) int {
	text, err := io.ReadAll(io.LimitReader(reader, maxScriptBytes+1))
	if err == nil && len(text) > maxScriptBytes {
		err = fmt.Errorf("%s has more than %d bytes", name, maxScriptBytes)
	}
	if err != nil {
		s.reportError(err)
		return kind.ExitUsage
	}
	commands, err := command.ParseScript(string(text))
	if err != nil {
		s.printSyntaxError(string(text), err)
		fmt.Fprintf(s.errors, "mangohill: %s: nothing was sent\n", name)
		return kind.ExitUsage
	}
	for i, c := range commands {
		code := s.executeStatement(c.Text, c.Statement)
		if code != kind.ExitDone {
			fmt.Fprintf(s.errors, "mangohill: %s:%d: stopped, %d of %d commands done\n", name, c.Line, i, len(commands))
			return code
		}
	}
	return kind.ExitDone
}
