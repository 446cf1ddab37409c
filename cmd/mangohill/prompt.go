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

// Prompts of the interactive mode. The second asks for the rest of a command
// with an open brace.
const (
	prompt     = "mangohill> "
	morePrompt = "      ...> "
)

const historyLimit = 1000

// prompt reads commands from the terminal until its end. It returns the exit
// code of the last command.
func (s *session) prompt() int {
	reader, err := readline.NewEx(&readline.Config{
		Prompt:       prompt,
		HistoryFile:  historyFile(),
		HistoryLimit: historyLimit,
		AutoComplete: completer{},
	})
	if err != nil {
		return fail(err, kind.ExitUsage)
	}
	defer reader.Close()
	return s.readLoop(reader)
}

// lineReader is what readLoop needs of a readline instance.
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
			reader.SetPrompt(morePrompt)
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

// historyFile returns the path of the history, empty for none.
func historyFile() string {
	cache, err := os.UserCacheDir()
	if err != nil {
		return ""
	}
	folder := filepath.Join(cache, "mangohill")
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return ""
	}
	return filepath.Join(folder, "history")
}

// completer completes by the grammar of the commands.
type completer struct{}

// Do returns what may follow the typed part of the current word, and the length
// of that part.
func (completer) Do(line []rune, position int) ([][]rune, int) {
	words, typed := command.Complete(string(line[:position]))
	var rest [][]rune
	for _, word := range words {
		rest = append(rest, append([]rune(word)[typed:], ' '))
	}
	return rest, typed
}
