package dotterattempt

import (
	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterroom"
	"github.com/dotterelusher/dotterelusher/internal/model/dottertask"
)

// Ref identifies one attempt of a task in a shard.
type Ref struct {
	Shard   string
	Task    dottertask.ID
	Attempt int
}

// Start tells a worker to run an attempt.
type Start struct {
	Ref
	Epoch       int64
	Incarnation int64              // of the worker in the logged reservation; a worker of any other incarnation refuses the start
	LatestStart dotterclock.Millis // on the worker's clock; the worker refuses a start that arrives later
	Lease       dotterclock.Millis // how long the attempt may run without renewal
	Size        dotterroom.Room
	Template    string
	RunMillis   dotterclock.Millis
	Payload     string `json:",omitempty"`
	ResumeFrom  string `json:",omitempty"`
	Critical    bool   `json:",omitempty"`
}

// Order is the body of the checkpoint, throttle and stop commands.
type Order struct {
	Ref
	Epoch   int64
	Percent int `json:",omitempty"` // throttle only: processor time allowed, 1 to 100 percent
}

// Renewal renews the leases of a shard's attempts on a worker and acknowledges
// the ended attempts that the owner has logged.
type Renewal struct {
	Shard    string
	Epoch    int64
	Lease    dotterclock.Millis
	Attempts []Ref
	Ended    []Ref
}
