package control

import (
	"mangohill.example/mangohill/schedule"
	"mangohill.example/mangohill/types"
)

// maxExplanations bounds the explanations that are kept.
const maxExplanations = 512

// explanations keeps why the newest attempts were placed where they were, beyond
// the life of the planner's own record, which ends with the task.
type explanations struct {
	byTask map[types.TaskID]schedule.Explanation
	order  []types.TaskID
}

func newExplanations() explanations {
	return explanations{byTask: make(map[types.TaskID]schedule.Explanation)}
}

// keep stores the explanation of a task's newest start. The oldest one gives way.
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
