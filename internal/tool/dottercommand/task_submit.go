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
	Payload      string `long:"payload" value-name:"TEXT" description:"passed to the worker unchanged"`
	Urgent       bool   `long:"urgent" description:"may evict work of a higher rank number"`
	Retry        int64  `long:"retry" value-name:"MS" description:"retry a submission that was not run, after the delay that the daemon names, for at most this long, ms"`
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
		return p.awaitTasks(taskIDs(answer.Tasks), dotterclock.Millis(c.Wait))
	}
	return p.print(answer.Tasks, taskRows(answer.Tasks))
}

// post sends the request. While the daemon refuses it as not run and names a retry
// delay that ends within c.Retry, post sends it again.
func (c *taskSubmitCommand) post(request dottermessage.SubmitRequest, answer *dottermessage.SubmitAnswer) error {
	p := c.program
	deadline := p.clock.Now() + dotterclock.Millis(c.Retry)
	for {
		err := p.caller().Post(p.ctx, "/v1/tasks", request, answer)
		delay, retryable := dotterclient.RetryAfter(err)
		if !retryable || p.clock.Now()+delay > deadline {
			return err
		}
		p.progress("not run, repeating in %d ms", delay)
		<-p.clock.After(delay)
	}
}

func (c *taskSubmitCommand) submissions() []dottersubmission.Submission {
	base := dottersubmission.Submission{
		Template:  c.Args.Template,
		Key:       c.Key,
		Size:      dotterroom.Room{MilliCores: c.MilliCores, MemoryMB: c.MemoryMB, Accelerators: c.Accelerators},
		RunMillis: dotterclock.Millis(c.Run),
		Payload:   c.Payload,
		Urgent:    c.Urgent,
	}
	var all []dottersubmission.Submission
	for i := range c.Count {
		submission := base
		if c.Key != "" && c.Count > 1 {
			submission.Key = fmt.Sprintf("%s-%d", c.Key, i+1)
		}
		all = append(all, submission)
	}
	return all
}

func taskIDs(tasks []dottertask.Task) []dottertask.ID {
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
