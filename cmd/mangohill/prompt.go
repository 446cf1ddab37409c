package main

import (
	"errors"
	"io"
	"os"
	"path/filepath"
	"strings"

	"github.com/chzyer/readline"

	"mangohill.example/mangohill/command"
	"mangohill.example/mangohill/kind"
)

// Prompts of the interactive mode. continuationPrompt is shown while a command has
// an open brace.
const (
	prompt             = "mangohill> "
	continuationPrompt = "      ...> "
)

// maxHistoryLines bounds the lines that the history file keeps.
const maxHistoryLines = 1000

// prompt reads commands from the terminal until the end of input. It returns the
// exit code of the last command.
func (s *session) prompt() int {
	reader, err := readline.NewEx(&readline.Config{
		Prompt:       prompt,
		HistoryFile:  historyFile(),
		HistoryLimit: maxHistoryLines,
		AutoComplete: completer{},
	})
	if err != nil {
		return fail(err, kind.ExitUsage)
	}
	defer reader.Close()
	return s.readLoop(reader)
}

// lineReader is the part of a readline instance that readLoop uses.
type lineReader interface {
	Readline() (string, error)
	SetPrompt(string)
}

func (s *session) readLoop(reader lineReader) int {
	code := kind.ExitDone
	pending := ""
	for {
		line, err := reader.Readline()
		if errors.Is(err, readline.ErrInterrupt) {
			pending = ""
			reader.SetPrompt(prompt)
			continue
		}
		if errors.Is(err, io.EOF) || err != nil {
			return code
		}
		pending += line + "\n"
		if command.Incomplete(pending) {
			reader.SetPrompt(continuationPrompt)
			continue
		}
		text := strings.TrimSpace(pending)
		pending = ""
		reader.SetPrompt(prompt)
		if text == "exit" || text == "quit" {
			return code
		}
		if text != "" {
			code = s.execute(text)
		}
	}
}

// historyFile returns the path of the history file, or an empty path if its
// directory cannot be created.
func historyFile() string {
	cache, err := os.UserCacheDir()
	if err != nil {
		return ""
	}
	dir := filepath.Join(cache, "mangohill")
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return ""
	}
	return filepath.Join(dir, "history")
}

// completer completes words according to the grammar of the commands.
type completer struct{}

// Do returns the possible completions of the current word without its typed part,
// and the length of that part in characters.
func (completer) Do(line []rune, position int) ([][]rune, int) {
	words, typed := command.Complete(string(line[:position]))
	var rest [][]rune
	for _, word := range words {
		rest = append(rest, append([]rune(word)[typed:], ' '))
	}
	return rest, typed
}
