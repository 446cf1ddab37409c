package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"

	"mangohill.example/mangohill/command"
	"mangohill.example/mangohill/controlapi"
	"mangohill.example/mangohill/kind"
	"mangohill.example/mangohill/operator"
	"mangohill.example/mangohill/table"
)

// session executes commands one after the other and prints their answers.
type session struct {
	client  *operator.Client
	json    bool
	picture string
	out     io.Writer
	errors  io.Writer
	width   int
}

// execute parses one command, sends it and prints its answer. It returns the
// exit code.
func (s *session) execute(text string) int {
	statement, err := command.Parse(text)
	if err != nil {
		s.printSyntaxError(text, err)
		return kind.ExitUsage
	}
	return s.executeStatement(text, statement)
}

func (s *session) executeStatement(text string, statement command.Statement) int {
	if help, ok := statement.(command.Help); ok {
		return s.help(help.Word)
	}
	file, err := readConfigFile(statement)
	if err != nil {
		s.report(err)
		return kind.ExitUsage
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	reply := s.client.Execute(ctx, operator.NewArgs(text, file))
	if err := s.print(reply); err != nil {
		s.report(err)
	}
	if err := s.drawBurn(statement, reply); err != nil {
		s.report(err)
	}
	return operator.ExitCode(reply, statement.Mutates())
}

func readConfigFile(statement command.Statement) (string, error) {
	set, ok := statement.(command.SetConfig)
	if !ok {
		return "", nil
	}
	content, err := os.ReadFile(set.File)
	if err != nil {
		return "", fmt.Errorf("configuration cannot be read: %w", err)
	}
	return string(content), nil
}

func (s *session) help(word string) int {
	text, err := command.HelpText(word)
	if err != nil {
		s.report(err)
		return kind.ExitUsage
	}
	fmt.Fprint(s.out, text)
	return kind.ExitDone
}

// print writes the answer: rows and messages of a command that is done to the
// output, the reason of any other to the error output. JSON always goes to the
// output.
func (s *session) print(reply controlapi.CommandReply) error {
	if s.json {
		return table.WriteJSON(s.out, reply)
	}
	if reply.Outcome != kind.OutcomeDone {
		fmt.Fprintf(s.errors, "mangohill: %s: %s: %s (command %s)\n", reply.Outcome, reply.Kind, printable(reply.Message), reply.ID)
		return nil
	}
	if err := table.Write(s.out, reply.Rows, s.width); err != nil {
		return err
	}
	if reply.Message != "" {
		fmt.Fprintln(s.out, printable(reply.Message))
	}
	if reply.Message == "" && len(reply.Rows) == 0 {
		fmt.Fprintln(s.out, doneText(reply))
	}
	return nil
}

func doneText(reply controlapi.CommandReply) string {
	if reply.Version > 0 {
		return fmt.Sprintf("done, version %d", reply.Version)
	}
	return "done"
}

// printable cleans each line of a message.
func printable(message string) string {
	lines := strings.Split(message, "\n")
	for i := range lines {
		lines[i] = table.Sanitize(lines[i])
	}
	return strings.Join(lines, "\n")
}

func (s *session) report(err error) { fmt.Fprintln(s.errors, "mangohill:", err) }

// printSyntaxError shows the line with a mark under the column; as JSON, the
// reply that an entry host would give.
func (s *session) printSyntaxError(text string, err error) {
	if s.json {
		_ = table.WriteJSON(s.out, operator.ReplyOf(err)) // The exit code tells it as well.
		return
	}
	var syntax *command.SyntaxError
	if !errors.As(err, &syntax) {
		s.report(err)
		return
	}
	lines := strings.Split(text, "\n")
	if syntax.Line <= len(lines) {
		fmt.Fprintf(s.errors, "  %s\n  %s^\n", table.Sanitize(lines[syntax.Line-1]), strings.Repeat(" ", syntax.Column-1))
	}
	s.report(syntax)
}
