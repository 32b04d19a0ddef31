package dotterfailure

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/dotterelusher/dotterelusher/internal/model/dotterattempt"
	"github.com/dotterelusher/dotterelusher/internal/model/dotteroutcome"
	"github.com/dotterelusher/dotterelusher/internal/model/dottersubmission"
	"github.com/dotterelusher/dotterelusher/internal/model/dottertask"
	"github.com/dotterelusher/dotterelusher/internal/standin/dottertruth"
	"github.com/dotterelusher/dotterelusher/internal/testing/dotterharness"
)

// assertNoViolations checks that the stand-in recorded no violation, such as an
// exceeded limit or two concurrent runs of a task.
func assertNoViolations(t *testing.T, c *dotterharness.Cluster) {
	t.Helper()
	assert.Empty(t, c.Truth().Violations)
}

// assertAnswers checks each answer against the executions recorded by the stand-in.
func assertAnswers(t *testing.T, c *dotterharness.Cluster, answers []dotterharness.Answer, repeatable bool) {
	t.Helper()
	assertNoViolations(t, c)
	executions := c.Executions()
	outcomes := map[dotteroutcome.Outcome]int{}
	for _, a := range answers {
		outcomes[a.Outcome]++
		runs := len(executions[a.Request])
		switch a.Outcome {
		case dotteroutcome.Done:
			assert.Positive(t, runs, "%s: Done, but it was not executed", a.Request)
			assert.True(t, a.Status != 200 || a.IsEchoOf(body(a.Request)), "%s: Done with an unexpected body: %.80q", a.Request, a.Body)
		case dotteroutcome.NotRun:
			assert.Zero(t, runs, "%s: NotRun, but it was executed", a.Request)
			assert.NotEmpty(t, a.Header.Get("Retry-After"), "%s: NotRun without Retry-After", a.Request)
		}
		if !repeatable {
			assert.LessOrEqual(t, runs, 1, "%s: not repeatable, but it was executed more than once", a.Request)
		}
	}
	t.Logf("answers by outcome: %v", outcomes)
}

// taskBatch is a set of tasks submitted together and whether they may run more
// than once.
type taskBatch struct {
	tasks      []dottertask.Task
	repeatable bool
	mayRepeat  bool // a repeatable task may have been completed more than once
}

// submit submits count tasks of a template through the host and retries until
// they are accepted.
func submit(t *testing.T, c *dotterharness.Cluster, h *dotterharness.EntryHost, template string, count int, edit func(*dottersubmission.Submission)) taskBatch {
	t.Helper()
	submissions := make([]dottersubmission.Submission, count)
	for i := range submissions {
		submissions[i].Template = template
		if edit != nil {
			edit(&submissions[i])
		}
	}
	var batch taskBatch
	c.Await("the tasks are accepted", func() bool {
		tasks, err := c.Submit(h, submissions...)
		batch.tasks = tasks
		return err == nil
	})
	require.Len(t, batch.tasks, count)
	batch.repeatable = batch.tasks[0].Repeatable
	return batch
}

// awaitEnded waits until every task has ended, as reported by the first host
// that returns it, and returns the ended tasks.
func awaitEnded(t *testing.T, c *dotterharness.Cluster, batch taskBatch, hosts ...*dotterharness.EntryHost) []dottertask.Task {
	t.Helper()
	var ended []dottertask.Task
	for _, task := range batch.tasks {
		var last dottertask.Task
		var lastErr error
		isFinal := func() bool {
			for _, h := range hosts {
				if last, lastErr = c.Task(h, task.ID); lastErr == nil {
					return last.State.Final()
				}
			}
			return false
		}
		c.AwaitWith("task "+string(task.ID)+" ends", isFinal, func() any { return []any{last, lastErr} })
		ended = append(ended, last)
	}
	return ended
}

// assertTasks checks ended tasks against the attempts recorded by the stand-in.
func assertTasks(t *testing.T, c *dotterharness.Cluster, batch taskBatch, ended []dottertask.Task) {
	t.Helper()
	assertNoViolations(t, c)
	runs := runsByTask(c.Truth())
	states := map[dottertask.State]int{}
	for _, e := range ended {
		states[e.State]++
		done := 0
		for _, r := range runs[e.ID] {
			if r.Phase == dotterattempt.PhaseDone {
				done++
			}
		}
		if e.State == dottertask.StateDone {
			assert.Positive(t, done, "%s: Done, with runs %+v", e.ID, runs[e.ID])
		}
		if !batch.mayRepeat {
			assert.LessOrEqual(t, done, 1, "%s: completed more than once, with runs %+v", e.ID, runs[e.ID])
		}
		if !batch.repeatable {
			assert.LessOrEqual(t, len(runs[e.ID]), 1, "%s: not repeatable, with runs %+v", e.ID, runs[e.ID])
		}
	}
	t.Logf("tasks by state: %v", states)
}

// assertAllDone checks that every task ended in state Done.
func assertAllDone(t *testing.T, ended []dottertask.Task) {
	t.Helper()
	for _, e := range ended {
		assert.Equal(t, dottertask.StateDone, e.State, "%s: %s", e.ID, e.Reason)
	}
}

func runsByTask(truth dottertruth.Truth) map[dottertask.ID][]dottertruth.Run {
	runs := map[dottertask.ID][]dottertruth.Run{}
	for _, r := range truth.Runs {
		runs[r.Task] = append(runs[r.Task], r)
	}
	return runs
}
