package main

import (
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strings"

	"mangohill.example/mangohill/clusterconfig"
	"mangohill.example/mangohill/command"
	"mangohill.example/mangohill/kind"
	"mangohill.example/mangohill/settings"
)

// Patterns that identify the kind of a file: only settings have a listen key, and
// only an entry process listens for callers and for the platform.
var (
	settingsPattern = regexp.MustCompile(`(?m)^listen\s*:`)
	entryPattern    = regexp.MustCompile(`(?m)\b(callers|platform)\s*:`)
)

// checkFile checks a file without sending anything. A .yaml or .yml file with a
// listen key is a settings file, of an entry process if it listens for callers or
// the platform; without that key it is a cluster configuration. Other files are
// scripts.
func (s *session) checkFile(path string) int {
	content, err := os.ReadFile(path)
	if err != nil {
		s.reportError(err)
		return kind.ExitUsage
	}
	text := string(content)
	faults := checkText(path, text)
	for _, fault := range faults {
		fmt.Fprintln(s.out, fault)
	}
	if len(faults) > 0 {
		return kind.ExitUsage
	}
	return kind.ExitDone
}

func checkText(path, text string) []string {
	extension := filepath.Ext(path)
	if extension != ".yaml" && extension != ".yml" {
		_, err := command.ParseScript(text)
		return errorLines(path, err)
	}
	if !settingsPattern.MatchString(text) {
		_, err := clusterconfig.Parse(text)
		return errorLines(path, err)
	}
	program := settings.Control
	if entryPattern.MatchString(text) {
		program = settings.Entry
	}
	_, faults := settings.Load(path, program)
	var lines []string
	for _, fault := range faults {
		lines = append(lines, fault.String())
	}
	return lines
}

func errorLines(path string, err error) []string {
	if err == nil {
		return nil
	}
	detail := strings.TrimPrefix(err.Error(), string(kind.Of(err))+": ")
	return []string{path + ": " + detail}
}
