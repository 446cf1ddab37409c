package main

import (
	"fmt"
	"os"
	"path/filepath"

	"mangohill.example/mangohill/burn"
	"mangohill.example/mangohill/command"
	"mangohill.example/mangohill/controlapi"
	"mangohill.example/mangohill/kind"
)

// writePicture writes the picture of a burn report to the file of --picture, as
// HTML if its extension is .html, else as SVG.
func (s *session) writePicture(statement command.Statement, reply controlapi.CommandReply) error {
	_, isReport := statement.(command.ReportBurn)
	if s.picture == "" || !isReport || reply.Outcome != kind.OutcomeDone {
		return nil
	}
	file, err := os.Create(s.picture)
	if err != nil {
		return fmt.Errorf("picture: %w", err)
	}
	write := burn.WriteSVG
	if filepath.Ext(s.picture) == ".html" {
		write = burn.WriteHTML
	}
	if err := write(file, reply.Rows); err != nil {
		_ = file.Close() // The first error is the one to report.
		return fmt.Errorf("picture: %w", err)
	}
	return file.Close()
}
