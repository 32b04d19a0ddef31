package dotteraccount

import (
	"slices"

	"go.uber.org/zap"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterjob"
)

const (
	// maxCauses is the number of causes of stops that an account names. There are about as
	// many; the rest is counted as otherCause.
	maxCauses  = 5
	otherCause = "other"
	// maxNameLength bounds names in the log line, in bytes. Names of workers and causes are
	// usually below 60.
	maxNameLength = 80
)

// Result is how a run ended.
type Result int

// The results of a run.
const (
	Done    Result = iota // its task is done
	Failed                // its program failed
	Stopped               // it was ordered to stop
	Lost                  // it ended with its worker, with its lease, or without a trace
	Dropped               // it was never ordered, or its worker refused it
)

// Account is the time account of one job, as seen by one owner.
type Account struct {
	begunAt   dotterclock.Millis // when the owner got the job
	inherited bool               // whether another owner had runs of the job before
	open      int                // number of runs at work
	idleSince dotterclock.Millis // since when no run has been at work
	idle      dotterclock.Millis // time without a run at work, until idleSince or the last start

	runs, lostRuns                         int
	waiting, starting, done, failed, lost  dotterclock.Millis // sums over all tasks
	stops                                  []Stops            // by cause, at most maxCauses+1
	slowest                                dotterjob.TaskID
	slowestTotal, slowestWait, slowestLast dotterclock.Millis // from ready until done, waiting for a start, and in its last run
	slowestRuns                            int                // 0: no task is done
	slowestWorker                          string
}

// Stops are the stopped runs of one cause.
type Stops struct {
	Cause string
	Runs  int
	Ms    dotterclock.Millis // time from the start of the runs until they had ended
}

// New returns the account of a job that the owner got at now.
func New(now dotterclock.Millis) Account {
	return Account{begunAt: now, idleSince: now}
}

// Inherit records that another owner had runs of the job, which the account does not cover.
func (a *Account) Inherit() {
	a.inherited = true
}

// InheritRun begins the account of a task with a run that another owner has started.
func (a *Account) InheritRun(t *Task, now dotterclock.Millis) {
	a.Inherit()
	*t = Task{readyAt: now, since: now, runs: 1, phase: starting}
	a.runs++
}

// Bind records that a task gets a worker. Its step has been ready since readyAt.
func (a *Account) Bind(t *Task, now, readyAt dotterclock.Millis) {
	a.wait(t, now, readyAt)
	t.phase, t.since = starting, now
	t.runs++
	a.runs++
}

// wait adds the time for which the task has waited until now.
func (a *Account) wait(t *Task, now, readyAt dotterclock.Millis) {
	if t.readyAt == 0 {
		t.readyAt = max(a.begunAt, readyAt)
	}
	waited := max(0, now-max(t.since, t.readyAt))
	t.waited += waited
	a.waiting += waited
}

// Start records that the run of a task is at work.
func (a *Account) Start(t *Task, now dotterclock.Millis) {
	if t.phase != starting {
		return
	}
	a.starting += now - t.since
	t.waited += now - t.since
	t.phase, t.since = running, now
	if a.open == 0 {
		a.idle += now - a.idleSince
	}
	a.open++
}

// End records the end of a task's run on a worker. The cause matters to stopped runs only.
func (a *Account) End(t *Task, now dotterclock.Millis, id dotterjob.TaskID, worker string, result Result, cause string) {
	spent := now - t.since
	switch {
	case t.phase == waiting:
		return
	case t.phase == running:
		a.open--
		if a.open == 0 {
			a.idleSince = now
		}
	case result != Lost:
		a.starting += spent
		t.waited += spent
		spent = 0
	}
	a.add(result, spent, cause)
	if result == Done && now-t.readyAt >= a.slowestTotal {
		a.slowest, a.slowestTotal, a.slowestWait, a.slowestLast = id, now-t.readyAt, t.waited, spent
		a.slowestRuns, a.slowestWorker = t.runs, cut(worker)
	}
	t.phase, t.since = waiting, now
}

// add counts the end of a run that was at work for spent.
func (a *Account) add(result Result, spent dotterclock.Millis, cause string) {
	switch result {
	case Done:
		a.done += spent
	case Failed:
		a.failed += spent
	case Lost:
		a.lost += spent
		a.lostRuns++
	case Stopped:
		s := a.stopsOf(cause)
		s.Runs++
		s.Ms += spent
	case Dropped:
	}
}

// stopsOf returns the entry of a cause.
func (a *Account) stopsOf(cause string) *Stops {
	cause = cut(cause)
	i := slices.IndexFunc(a.stops, func(s Stops) bool { return s.Cause == cause })
	if i < 0 && len(a.stops) >= maxCauses {
		cause = otherCause
		i = slices.IndexFunc(a.stops, func(s Stops) bool { return s.Cause == cause })
	}
	if i < 0 {
		a.stops = append(a.stops, Stops{Cause: cause})
		i = len(a.stops) - 1
	}
	return &a.stops[i]
}

// Close adds what a task that is not done has spent when its job is decided. A task that
// does not wait, or whose step is not ready (readyAt 0), adds nothing but the run at work.
func (a *Account) Close(t *Task, now, readyAt dotterclock.Millis) {
	switch {
	case t.phase == starting:
		a.starting += now - t.since
	case t.phase == running:
		a.done += now - t.since
	case readyAt > 0:
		a.wait(t, now, readyAt)
	}
}

// Fields returns the account as log fields, for a job that was accepted at acceptedAt and is
// decided now. Times are in milliseconds.
//
// BeforeMs is the time until this owner got the job, IdleMs the time since then without a
// run of the job at work. WaitingMs, StartingMs, RunningMs, FailedMs, LostMs and the Ms of
// Stops are sums over tasks. StartingMs is the time from the choice of a worker until the run
// is at work. Slowest describes the task that took longest from its step's readiness until
// it was done.
func (a *Account) Fields(acceptedAt, now dotterclock.Millis) []zap.Field {
	idle := a.idle
	if a.open == 0 {
		idle += now - a.idleSince
	}
	fields := []zap.Field{
		zap.Bool("Inherited", a.inherited), zap.Int64("BeforeMs", int64(a.begunAt-acceptedAt)), zap.Int64("IdleMs", int64(idle)), zap.Int("Runs", a.runs),
		zap.Int64("WaitingMs", int64(a.waiting)), zap.Int64("StartingMs", int64(a.starting)), zap.Int64("RunningMs", int64(a.done)),
	}
	if a.failed > 0 {
		fields = append(fields, zap.Int64("FailedMs", int64(a.failed)))
	}
	if a.lostRuns > 0 {
		fields = append(fields, zap.Int("LostRuns", a.lostRuns), zap.Int64("LostMs", int64(a.lost)))
	}
	if len(a.stops) > 0 {
		fields = append(fields, zap.Any("Stops", slices.Clone(a.stops)))
	}
	if a.slowestRuns > 0 {
		fields = append(fields, zap.Any("Slowest", Slowest{
			Task: a.slowest.String(), TotalMs: a.slowestTotal, WaitMs: a.slowestWait, LastRunMs: a.slowestLast, Runs: a.slowestRuns, Worker: a.slowestWorker,
		}))
	}
	return fields
}

// Slowest describes the slowest task of a job in its log line.
type Slowest struct {
	Task      string
	TotalMs   dotterclock.Millis // from its step's readiness until it was done
	WaitMs    dotterclock.Millis // of it without a run at work
	LastRunMs dotterclock.Millis // of it in the run that was done
	Runs      int
	Worker    string // of the last run
}

// cut returns a name that is short enough for the log line.
func cut(name string) string {
	return name[:min(len(name), maxNameLength)]
}
