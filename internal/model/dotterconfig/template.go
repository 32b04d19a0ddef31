package dotterconfig

import (
	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterroom"
)

// Kind is how a template's work is executed.
type Kind string

// The kinds of templates.
const (
	KindService Kind = "Service" // requests to backend servers
	KindTask    Kind = "Task"    // tasks on workers
)

// Rule says whether work is refused or allowed while a guarantee can't be given.
type Rule string

// The rules that a template may choose.
const (
	RuleRefuse Rule = "Refuse"
	RuleAllow  Rule = "Allow"
)

// Template describes one kind of work of a team.
type Template struct {
	Name       string
	Team       string
	Kind       Kind
	Rank       int  // priority, 0 to 100; lower goes first
	Repeatable bool // whether the work may run more than once

	// Services.
	TargetMillis  dotterclock.Millis `json:",omitempty"` // target for the p99 latency
	TimeoutMillis dotterclock.Millis `json:",omitempty"` // timeout of a request that sets none
	SharePercent  float64            `json:",omitempty"` // maximum share of a backend server's slots, 1 to 100; 0 means 100
	Hedge         bool               `json:",omitempty"` // whether a slow request may be sent to a second server; repeatable work only
	KeyedOutage   Rule               `json:",omitempty"` // for non-repeatable requests with an idempotency key while the store is unavailable; default Refuse

	// Tasks.
	Critical     bool               `json:",omitempty"` // latency-critical task
	Urgent       bool               `json:",omitempty"` // starts may evict work with a higher Rank
	Size         dotterroom.Room    // declared size of a task that sets none
	RunMillis    dotterclock.Millis `json:",omitempty"` // declared run time of a task that sets none
	MaxAttempts  int                `json:",omitempty"` // failed attempts after which the task fails, 1 to 20; 0 means 3
	CutOffStarts Rule               `json:",omitempty"` // for starts in a failure domain without evidence that its configuration is current; default Refuse
	CostWeight   float64            `json:",omitempty"` // factor of the charge, above 0; 0 means 1
}
