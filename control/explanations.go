package control

import (
	"mangohill.example/mangohill/schedule"
	"mangohill.example/mangohill/types"
)

// maxExplanations bounds the number of tasks whose explanation is kept.
const maxExplanations = 512

// explanations keeps the reasons for the placement of the newest attempts. The planner
// drops its own record when a task ends.
type explanations struct {
	byTask map[types.TaskID]schedule.Explanation
	order  []types.TaskID
}

func newExplanations() explanations {
	return explanations{byTask: make(map[types.TaskID]schedule.Explanation)}
}

// keep stores the explanation of a task's newest start. If there are too many, it drops
// the oldest one.
func (e *explanations) keep(id types.TaskID, explanation schedule.Explanation) {
	if _, ok := e.byTask[id]; !ok {
		e.order = append(e.order, id)
	}
	e.byTask[id] = explanation
	if len(e.order) > maxExplanations {
		delete(e.byTask, e.order[0])
		e.order = e.order[1:]
	}
}

// lines returns the explanation of a task's newest start, nil if it is not kept.
func (e *explanations) lines(id types.TaskID) []string {
	explanation, ok := e.byTask[id]
	if !ok {
		return nil
	}
	return explanation.Lines()
}
