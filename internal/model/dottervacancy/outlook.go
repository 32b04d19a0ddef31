package dottervacancy

import (
	"encoding/json"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterroom"
)

// Outlook describes the backlog of a shard. Work is declared processor time times declared
// run time, in thousandths of a core times seconds.
type Outlook struct {
	At    dotterclock.Millis `json:",omitempty"` // time of day at which the owner computed it; 0: it has published none
	Lanes []Lane             `json:",omitempty"` // those with a backlog whose drain is known
}

// Lane is a queue of tasks that compete for the same room: the filling or the other tasks of
// a service, or all tasks of a tenant that is at its cap.
type Lane struct {
	Service string          `json:",omitempty"`
	Fills   bool            `json:",omitempty"`
	Tenant  string          `json:",omitempty"`
	Cap     dotterroom.Room `json:",omitzero"` // of the tenant, when the drain was measured
	Drain   int64           // work that was done per second while the backlog lasted
	Queued  []Queued        `json:",omitempty"`
}

// Queued is the waiting work of a lane that is of one priority, size and urgency. It is encoded as
// an array of its fields in this order, since each commit of an owner writes some dozens.
type Queued struct {
	Rank  int
	Class int                // size class of the tasks
	Slack dotterclock.Millis // upper bound of the time left until the objective; 0: it cannot be met any more
	Left  dotterclock.Millis // lower bound of the time left in which it is of use to start the tasks
	Work  int64              // of tasks that can start
	Later int64              // of steps of the same jobs that depend on steps that are not done
}

// MarshalJSON implements json.Marshaler.
func (q Queued) MarshalJSON() ([]byte, error) {
	return json.Marshal([...]int64{int64(q.Rank), int64(q.Class), int64(q.Slack), int64(q.Left), q.Work, q.Later})
}

// UnmarshalJSON implements json.Unmarshaler.
func (q *Queued) UnmarshalJSON(data []byte) error {
	var fields [6]int64
	if err := json.Unmarshal(data, &fields); err != nil {
		return err
	}
	*q = Queued{
		Rank: int(fields[0]), Class: int(fields[1]), Slack: dotterclock.Millis(fields[2]), Left: dotterclock.Millis(fields[3]),
		Work: fields[4], Later: fields[5],
	}
	return nil
}

// UnmarshalJSON decodes an outlook. One that cannot be decoded counts as not published, so
// that the head which contains it stays usable.
func (o *Outlook) UnmarshalJSON(data []byte) error {
	type plain Outlook
	var decoded plain
	if err := json.Unmarshal(data, &decoded); err != nil {
		decoded = plain{}
	}
	*o = Outlook(decoded)
	return nil
}
