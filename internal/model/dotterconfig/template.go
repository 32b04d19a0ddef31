package dotterconfig

import (
	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterroom"
)

// Kind says how a template's work is run.
type Kind string

// The kinds of templates.
const (
	KindService Kind = "Service" // requests to backend servers
	KindTask    Kind = "Task"    // tasks on workers
)

// Rule says what happens to work for which a guarantee can't be had at the moment.
type Rule string

// The rules that a template may choose.
const (
	RuleRefuse Rule = "Refuse"
	RuleAllow  Rule = "Allow"
)

// Template describes one kind of a team's work.
type Template struct {
	Name       string
	Team       string
	Kind       Kind
	Rank       int  // lower goes first, 0 to 100
	Repeatable bool // whether the work may run more than once

	// Services.
	TargetMillis  dotterclock.Millis `json:",omitempty"` // tail latency (p99) that the team wants
	TimeoutMillis dotterclock.Millis `json:",omitempty"` // deadline of a request that brings none
	SharePercent  float64            `json:",omitempty"` // most of a backend server's slots, 1 to 100; 0 means 100
	Hedge         bool               `json:",omitempty"` // whether a slow repeatable request may be sent twice
	KeyedOutage   Rule               `json:",omitempty"` // not repeatable, with a key, while the store is away; default Refuse

	// Tasks.
	Critical     bool               `json:",omitempty"` // latency-critical task
	Urgent       bool               `json:",omitempty"` // starts may evict work of higher rank number
	Size         dotterroom.Room    // declared size of a task that brings none
	RunMillis    dotterclock.Millis `json:",omitempty"` // declared run time of a task that brings none
	MaxAttempts  int                `json:",omitempty"` // attempts that may fail before the task does, 1 to 20; 0 means 3
	CutOffStarts Rule               `json:",omitempty"` // starts in a domain that can't prove its configuration current; default Refuse
	CostWeight   float64            `json:",omitempty"` // factor on the charge, above 0; 0 means 1
}
