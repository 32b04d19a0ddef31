package dotterattempt

import (
	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterroom"
	"github.com/dotterelusher/dotterelusher/internal/model/dottertask"
)

// Ref names one attempt of one task of one shard.
type Ref struct {
	Shard   string
	Task    dottertask.ID
	Attempt int
}

// Start tells a worker to run an attempt.
type Start struct {
	Ref
	Epoch       int64
	Incarnation int64              // of the worker that the attempt is logged for; any other refuses the start
	LatestStart dotterclock.Millis // on the worker's clock; the worker refuses a later start
	Lease       dotterclock.Millis // how long the attempt may run without a renewal
	Size        dotterroom.Room
	Template    string
	RunMillis   dotterclock.Millis
	Payload     string `json:",omitempty"`
	ResumeFrom  string `json:",omitempty"`
	Critical    bool   `json:",omitempty"`
}

// Order tells a worker to do something with a running attempt.
type Order struct {
	Ref
	Epoch   int64
	Percent int `json:",omitempty"` // throttle only: processor share that stays, 1 to 100
}

// Renewal renews the leases of a shard's attempts on a worker and
// acknowledges the ends that the owner has logged.
type Renewal struct {
	Shard    string
	Epoch    int64
	Lease    dotterclock.Millis
	Attempts []Ref
	Ended    []Ref
}
