package dispatch

import (
	"fmt"
	"strings"
	"time"
)

// Text returns the explanation for a terminal.
func (x *PlacementExplanation) Text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "queue %s, service %s, %d workers; term %d, leader for %v, %d uncommitted batches\n", x.Queue, x.Service, x.Workers, x.Term, ms(x.LeadsForMs), x.UncommittedBatches)
	if x.JobID != "" {
		fmt.Fprintf(&b, "job %s: %s\n", x.JobID, x.State)
	}
	for i := range x.Steps {
		x.Steps[i].write(&b)
	}
	if x.OmittedSteps > 0 {
		fmt.Fprintf(&b, "%d further steps\n", x.OmittedSteps)
	}
	return b.String()
}

func (s *StepExplanation) write(b *strings.Builder) {
	fmt.Fprintf(b, "step %d.%d: %d of %d tasks pending, each needs %s; %d tasks ahead\n", s.Occurrence, s.Step, s.Pending, s.Tasks, resourcesText(s.Needs), s.TasksAhead)
	if s.Blocked != "" {
		fmt.Fprintf(b, "  not placed now: %s\n", s.Blocked)
	}
	if s.Kept > 0 {
		fmt.Fprintf(b, "  open starts keep %d of the placed tasks with their workers, which have not begun them\n", s.Kept)
		for i := range s.KeptStarts {
			s.KeptStarts[i].writeKept(b)
		}
	}
	if s.Pending == 0 {
		return
	}
	if s.Held > 0 {
		fmt.Fprintf(b, "  open starts keep %d of the pending tasks from workers\n", s.Held)
		for i := range s.OpenStarts {
			s.OpenStarts[i].write(b)
		}
	}
	atLeast := ""
	if s.RoomFor == s.RoomLimit && s.RoomLimit < s.Pending-s.Held {
		atLeast = "at least "
	}
	fmt.Fprintf(b, "  %d workers fit, with room for %s%d tasks\n", s.Fitting, atLeast, s.RoomFor)
	for i, w := range s.Best {
		fmt.Fprintf(b, "  %d. %s score %d =", i+1, w.Worker, w.Score)
		for _, p := range w.Parts {
			fmt.Fprintf(b, " %s %+d", p.Name, p.Value)
		}
		fmt.Fprintf(b, "; free %s; %s\n", resourcesText(w.Free), answeredText(w.LastAnswerMs))
	}
	for _, r := range s.Rejections {
		fmt.Fprintf(b, "  %s: %d workers", r.Filter, r.Workers)
		for i, w := range r.Examples {
			separator := ", "
			if i == 0 {
				separator = ", as "
			}
			fmt.Fprintf(b, "%s%s (", separator, w.Worker)
			if w.Detail != "" {
				fmt.Fprintf(b, "%s; ", w.Detail)
			}
			fmt.Fprintf(b, "%s)", answeredText(w.LastAnswerMs))
		}
		b.WriteString("\n")
	}
	if f := s.NextFree; f != nil {
		fmt.Fprintf(b, "  next capacity: %s in about %v, after %d ends; %s\n", f.Worker, ms(f.InMs), f.Ends, answeredText(f.LastAnswerMs))
	}
}

func ms(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

func answeredText(n int64) string {
	if n < 0 {
		return "no answer to this leader yet"
	}
	return fmt.Sprintf("answered %v ago", ms(n))
}
