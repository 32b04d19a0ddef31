package dotterrelief

import "github.com/dotterelusher/dotterelusher/internal/base/dotterclock"

// Worker is what is known of a worker at the time of its listing.
type Worker struct {
	Serving []Serving
	Filling []Filling // in an order that does not depend on chance, which breaks ties
	Settled bool      // whether the readings show the effect of the last order
	Unused  float64   // fraction of its processor time that is estimated to be unused
}

// Serving is a serving task on the worker.
type Serving struct {
	Load    float64            // predicted for the time at which an order takes effect
	Peak    float64            // highest load predicted until some time later, at least Load
	Known   bool               // whether a latency reading backs the prediction
	OverFor dotterclock.Millis // for how long its tail latency has been over its target
}

// Filling is a filling task on the worker.
type Filling struct {
	Fixed       bool               // no order makes sense: its run is not at work or is being stopped
	Pace        int                // percent of full speed, as last confirmed
	Wanted      int                // percent of full speed, as last ordered
	PacedFor    dotterclock.Millis // time since its pace last changed, or since its start
	Checkpoints bool
	Progress    int       // percent
	Added       []float64 // load that it adds to each serving task at its present pace, with a margin
	AtFullPace  []float64 // load that it is expected to add to each serving task at full pace
	Use         float64   // fraction of the worker's processor time that it uses at full pace
	Stake       Stake
}

// Stake is what the job of a filling task loses by a stop or a reduced pace.
type Stake struct {
	Work  dotterclock.Millis // work since the last checkpoint
	Left  dotterclock.Millis // estimated run time left at full pace
	Slack dotterclock.Millis // time left until the job's objective, beyond what its work takes at full pace; negative: it is late
	Delay dotterclock.Millis // time that the run has lost by reduced paces
	Stops int                // earlier runs of the task that were stopped for serving tasks
	Last  bool               // it is among the last tasks of the job's last step, whose end the job waits for
}

// Costs are the bounds of a deployment on which a decision depends.
type Costs struct {
	MaxOverTarget dotterclock.Millis // longest time that a serving task may exceed its target beside filling tasks that work
	Stop          dotterclock.Millis // time from a stop order until the room is free
	Restore       dotterclock.Millis // time that the next run needs before it continues from a checkpoint
}

// Kind is what an action does to a filling task.
type Kind string

// The kinds of actions.
const (
	Stop    Kind = "Stop"    // ends the run, so that the task continues on another worker
	Slow    Kind = "Slow"    // reduces the pace
	Suspend Kind = "Suspend" // sets the pace to 0
	Raise   Kind = "Raise"   // raises the pace

	RestartFirst Kind = "Restart" // a serving task that lost its worker gets another one; see Restart
)

// Reason is why an action is taken.
type Reason string

// The reasons for actions.
const (
	HighLoad    Reason = "HighLoad"    // a serving task's predicted load is high
	OverTarget  Reason = "OverTarget"  // a serving task has been over its target for too long
	LongDelay   Reason = "LongDelay"   // the delay by the reduced pace has reached the cost of a stop
	LoadAllowed Reason = "LoadAllowed" // the predicted load permits a higher pace
)

// Action is an order for one filling task.
type Action struct {
	Filling int // index of the task
	Kind    Kind
	Percent int // the new pace, unless it is a stop
	Reason  Reason
	Serving int     // index of the serving task that matters most to the action, or noServing
	Added   float64 // load that the task adds to it before the action
}

// noServing is the index of no serving task: all have left the worker.
const noServing = -1

// worst returns the index of the known serving task with the highest load, or noServing.
func (w Worker) worst() int {
	worst := noServing
	for i, s := range w.Serving {
		if s.Known && (worst < 0 || s.Load > w.Serving[worst].Load) {
			worst = i
		}
	}
	return worst
}

// longestOver returns the index of the known serving task that has been over its target for
// longest, or noServing.
func (w Worker) longestOver() int {
	longest := noServing
	for i, s := range w.Serving {
		if s.Known && s.OverFor > 0 && (longest < 0 || s.OverFor > w.Serving[longest].OverFor) {
			longest = i
		}
	}
	return longest
}

// isTooLong reports whether a serving task has been over its target for so long that all
// filling tasks beside it have to stop working.
func (c Costs) isTooLong(overFor dotterclock.Millis) bool {
	return overFor > c.MaxOverTarget/maxOverTargetDivisor
}
