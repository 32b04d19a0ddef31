package dottercommand

import (
	"fmt"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dottermessage"
	"github.com/dotterelusher/dotterelusher/internal/model/dottertask"
)

// taskArguments holds the positional arguments of commands that take task ids.
type taskArguments struct {
	Tasks []string `positional-arg-name:"TASK" required:"1" description:"id of a task"`
}

func (a taskArguments) ids() []dottertask.ID {
	var ids []dottertask.ID
	for _, t := range a.Tasks {
		ids = append(ids, dottertask.ID(t))
	}
	return ids
}

type taskStatusCommand struct {
	program *Program
	Args    taskArguments `positional-args:"yes" required:"yes"`
}

// Execute shows the tasks.
func (c *taskStatusCommand) Execute([]string) error {
	tasks, err := c.program.tasks(c.Args.ids())
	if err != nil {
		return err
	}
	return c.program.print(tasks, taskRows(tasks))
}

type taskWaitCommand struct {
	program *Program
	Wait    int64         `long:"wait" value-name:"MS" default:"600000" description:"maximum time to wait, ms"`
	Args    taskArguments `positional-args:"yes" required:"yes"`
}

// Execute waits until the tasks have ended.
func (c *taskWaitCommand) Execute([]string) error {
	return c.program.awaitTasks(c.Args.ids(), dotterclock.Millis(c.Wait))
}

type taskCancelCommand struct {
	program *Program
	Args    taskArguments `positional-args:"yes" required:"yes"`
}

// Execute cancels the tasks in one call.
func (c *taskCancelCommand) Execute([]string) error {
	p := c.program
	var answer dottermessage.CancelAnswer
	request := dottermessage.CancelRequest{Tasks: c.Args.ids()}
	if err := p.caller().Post(p.ctx, "/v1/cancellations", request, &answer); err != nil {
		return err
	}
	return p.print(answer, [][]string{{fmt.Sprintf("%d cancelled", answer.Cancelled)}})
}

// tasks fetches the tasks with the given ids.
func (p *Program) tasks(ids []dottertask.ID) ([]dottertask.Task, error) {
	var tasks []dottertask.Task
	for _, id := range ids {
		var task dottertask.Task
		if err := p.caller().Get(p.ctx, "/v1/tasks/"+string(id), &task); err != nil {
			return nil, fmt.Errorf("task %s: %w", id, err)
		}
		tasks = append(tasks, task)
	}
	return tasks, nil
}

// awaitTasks polls until all tasks have ended and prints them, or returns errTimeout.
func (p *Program) awaitTasks(ids []dottertask.ID, timeout dotterclock.Millis) error {
	deadline := p.clock.Now() + timeout
	for {
		tasks, err := p.tasks(ids)
		if err != nil {
			return err
		}
		unfinished := countUnfinished(tasks)
		p.progress("%d of %d tasks ended", len(tasks)-unfinished, len(tasks))
		if unfinished == 0 {
			p.endProgress()
			return p.printEnded(tasks)
		}
		if p.clock.Now() >= deadline {
			p.endProgress()
			return fmt.Errorf("%d of %d tasks have not ended: %w", unfinished, len(tasks), errTimeout)
		}
		<-p.clock.After(pollInterval)
	}
}

// printEnded prints the tasks; it returns errNotDone if one did not end as Done.
func (p *Program) printEnded(tasks []dottertask.Task) error {
	if err := p.print(tasks, taskRows(tasks)); err != nil {
		return err
	}
	for _, t := range tasks {
		if t.State != dottertask.StateDone {
			return fmt.Errorf("task %s ended as %s: %w", t.ID, t.State, errNotDone)
		}
	}
	return nil
}

func countUnfinished(tasks []dottertask.Task) int {
	unfinished := 0
	for _, t := range tasks {
		if !t.State.Final() {
			unfinished++
		}
	}
	return unfinished
}
