package dottertasks

import (
	"github.com/dotterelusher/dotterelusher/internal/model/dottertask"
	"github.com/dotterelusher/dotterelusher/internal/task/dotterowner"
	"github.com/dotterelusher/dotterelusher/internal/task/dotterrecord"
)

// Methods that entry hosts call on each other.
const (
	MethodSubmit = "Tasks.Submit"
	MethodGet    = "Tasks.Get"
	MethodCancel = "Tasks.Cancel"
	MethodAdopt  = "Tasks.Adopt"
	MethodTotals = "Tasks.Totals"
	MethodUse    = "Tasks.Use"
)

// Call holds the arguments of every method; each method uses some of the fields.
type Call struct {
	Shard   string
	Tasks   []dottertask.Task    `json:",omitempty"`
	IDs     []dottertask.ID      `json:",omitempty"`
	Entries []dotterrecord.Entry `json:",omitempty"`
}

// Reply is the reply to a Call.
type Reply struct {
	Code      code                       `json:",omitempty"`
	Message   string                     `json:",omitempty"`
	Tasks     []dottertask.Task          `json:",omitempty"`
	Target    string                     `json:",omitempty"` // shard that the task was moved to
	Cancelled int                        `json:",omitempty"`
	Moved     map[string][]dottertask.ID `json:",omitempty"`
	Other     []dottertask.ID            `json:",omitempty"` // tasks unknown to the shard
	Totals    []dotterrecord.Total       `json:",omitempty"`
	Use       *dotterowner.PoolUse       `json:",omitempty"`
}

func replyOf(err error) Reply {
	if err == nil {
		return Reply{}
	}
	return Reply{Code: codeOf(err), Message: err.Error()}
}

func (r Reply) err() error {
	return errorOf(r.Code, r.Message)
}
