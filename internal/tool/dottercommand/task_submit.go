package dottercommand

import (
	"fmt"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dottermessage"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterroom"
	"github.com/dotterelusher/dotterelusher/internal/model/dottersubmission"
	"github.com/dotterelusher/dotterelusher/internal/model/dottertask"
	"github.com/dotterelusher/dotterelusher/internal/tool/dotterclient"
)

type taskSubmitCommand struct {
	program *Program

	Count        int    `long:"count" value-name:"N" default:"1" description:"number of tasks, 1 to 10000"`
	Key          string `long:"key" value-name:"KEY" description:"idempotency key; with several tasks -1, -2, ... are added to it"`
	MilliCores   int64  `long:"millicores" value-name:"N" description:"processor, thousandths of a core; the template's if left out"`
	MemoryMB     int64  `long:"memory" value-name:"MB" description:"memory, MB; the template's if left out"`
	Accelerators int64  `long:"accelerators" value-name:"N" description:"accelerators; the template's if left out"`
	Run          int64  `long:"run" value-name:"MS" description:"expected run time, ms; the template's if left out"`
	Payload      string `long:"payload" value-name:"TEXT" description:"handed to the worker as it is"`
	Urgent       bool   `long:"urgent" description:"may evict work of a higher rank number"`
	Retry        int64  `long:"retry" value-name:"MS" description:"repeat a submission that was not run, when the daemon says so, for at most this long, ms"`
	Wait         int64  `long:"wait" value-name:"MS" description:"wait at most this long for the tasks to end, ms"`

	Args struct {
		Template string `positional-arg-name:"TEMPLATE" description:"name of the template"`
	} `positional-args:"yes" required:"yes"`
}

// Execute submits the tasks and, if asked to, waits for them.
func (c *taskSubmitCommand) Execute([]string) error {
	p := c.program
	var answer dottermessage.SubmitAnswer
	request := dottermessage.SubmitRequest{Submissions: c.submissions()}
	if err := c.post(request, &answer); err != nil {
		return err
	}
	if c.Wait > 0 {
		return p.await(idsOf(answer.Tasks), dotterclock.Millis(c.Wait))
	}
	return p.print(answer.Tasks, taskRows(answer.Tasks))
}

// post sends the request, again as long as it is refused as not run and time is left.
func (c *taskSubmitCommand) post(request dottermessage.SubmitRequest, answer *dottermessage.SubmitAnswer) error {
	p := c.program
	deadline := p.clock.Now() + dotterclock.Millis(c.Retry)
	for {
		err := p.caller().Post(p.ctx, "/v1/tasks", request, answer)
		pause, worthwhile := dotterclient.RetryAfter(err)
		if !worthwhile || p.clock.Now()+pause > deadline {
			return err
		}
		p.progress("not run, repeating in %d ms", pause)
		<-p.clock.After(pause)
	}
}

func (c *taskSubmitCommand) submissions() []dottersubmission.Submission {
	one := dottersubmission.Submission{
		Template:  c.Args.Template,
		Key:       c.Key,
		Size:      dotterroom.Room{MilliCores: c.MilliCores, MemoryMB: c.MemoryMB, Accelerators: c.Accelerators},
		RunMillis: dotterclock.Millis(c.Run),
		Payload:   c.Payload,
		Urgent:    c.Urgent,
	}
	var all []dottersubmission.Submission
	for i := range c.Count {
		each := one
		if c.Key != "" && c.Count > 1 {
			each.Key = fmt.Sprintf("%s-%d", c.Key, i+1)
		}
		all = append(all, each)
	}
	return all
}

func idsOf(tasks []dottertask.Task) []dottertask.ID {
	var ids []dottertask.ID
	for _, t := range tasks {
		ids = append(ids, t.ID)
	}
	return ids
}

func taskRows(tasks []dottertask.Task) [][]string {
	rows := [][]string{{"TASK", "TEMPLATE", "STATE", "ATTEMPT", "WORKER", "REASON"}}
	for _, t := range tasks {
		rows = append(rows, []string{string(t.ID), t.Template, string(t.State), fmt.Sprint(t.Attempt), t.Worker, t.Reason})
	}
	return rows
}
