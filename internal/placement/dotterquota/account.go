package dotterquota

import (
	"github.com/dotterelusher/dotterelusher/internal/model/dotterjob"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterroom"
)

// Account is what a tenant may use in a shard, and what it uses there.
type Account struct {
	Cap       dotterroom.Room // of all shards together; 0 in a field means no limit
	Allotment Part            // of the cap that belongs to the shard
	Use       Use             // of everything that may run in the shard
}

// Request is a number of like tasks that could start.
type Request struct {
	Size  dotterroom.Room // declared by each task
	Count int
	Gang  bool // all of them start, or none
}

// Verdict is the reason for a decision.
type Verdict int

// The verdicts. After Waves, Held and Exclusive, tasks may start once enough runs of the tenant in
// this shard have ended.
const (
	Within    Verdict = iota // all may start
	Waves                    // some may start
	Held                     // none may start, because of what runs
	Exclusive                // the same for a gang or for a task larger than the cap, to which a single end may be of no use
	Short                    // none may start before the shard has more of the cap, or long-running tasks have ended
	Never                    // a gang larger than the cap
)

// verdictNames are the names of the verdicts in logs.
var verdictNames = [...]string{Within: "Within", Waves: "Waves", Held: "Held", Exclusive: "Exclusive", Short: "Short", Never: "Never"}

// String returns the verdict's name.
func (v Verdict) String() string {
	return verdictNames[v]
}

// Decision is how many tasks may start.
type Decision struct {
	Start   int
	Verdict Verdict
}

// Decide returns how many of the requested tasks may start now. Use within the limit stays
// within it, except that a task larger than the cap runs when nothing else of the tenant does.
func Decide(a Account, r Request) Decision {
	if a.Cap.IsZero() {
		return Decision{Start: r.Count}
	}
	if r.Gang && r.Count > 1 {
		return a.decideGang(r)
	}
	limit := a.Allotment.Of(a.Cap)
	n := count(a.Cap, limit.Sub(a.Use.Room), r)
	switch {
	case n == r.Count:
		return Decision{Start: n}
	case n > 0:
		return Decision{Start: n, Verdict: Waves}
	case within(a.Cap, r.Size, limit):
		if !within(a.Cap, a.Use.Lasting.Add(r.Size), limit) {
			return Decision{Verdict: Short}
		}
		return Decision{Verdict: Held}
	case a.Allotment < Whole || a.Use.LastingRuns > 0:
		return Decision{Verdict: Short}
	case a.Use.Runs > 0:
		return Decision{Verdict: Exclusive}
	case r.Count == 1:
		return Decision{Start: 1}
	}
	return Decision{Start: 1, Verdict: Waves}
}

// decideGang decides on a gang as on one task that cannot exceed the cap.
func (a Account) decideGang(r Request) Decision {
	limit, size := a.Allotment.Of(a.Cap), times(r.Size, r.Count)
	switch {
	case within(a.Cap, a.Use.Room.Add(size), limit):
		return Decision{Start: r.Count}
	case !within(a.Cap, size, a.Cap):
		return Decision{Verdict: Never}
	case !within(a.Cap, a.Use.Lasting.Add(size), limit):
		return Decision{Verdict: Short}
	}
	return Decision{Verdict: Exclusive}
}

// FitsCap reports whether each step of the job can start under the cap: a gang larger than the
// cap never can.
func FitsCap(cap dotterroom.Room, j dotterjob.Job) bool {
	return LargestGang(cap, j).IsZero()
}

// LargestGang returns in each field the most that a gang of the job which exceeds the cap needs,
// or the zero room if none exceeds it.
func LargestGang(cap dotterroom.Room, j dotterjob.Job) dotterroom.Room {
	var largest dotterroom.Room
	for _, s := range j.Steps {
		if size := times(s.Size, s.Count); s.Gang && s.Count > 1 && !within(cap, size, cap) {
			largest = largest.Max(size)
		}
	}
	return largest
}

// count returns how many of the requested tasks fit into what is left of the limit. It is 0 if any limited
// field is exceeded, also if the tasks need nothing of that field.
func count(cap, left dotterroom.Room, r Request) int {
	n := int64(r.Count)
	for _, f := range fields(cap, left, r.Size) {
		switch {
		case f.cap == 0:
		case f.a < 0:
			return 0
		case f.b > 0:
			n = min(n, f.a/f.b)
		}
	}
	return int(n)
}

// within reports whether room fits into the limit in each field in which the cap is a limit.
func within(cap, room, limit dotterroom.Room) bool {
	for _, f := range fields(cap, room, limit) {
		if f.cap > 0 && f.a > f.b {
			return false
		}
	}
	return true
}

// field is one field of a cap and of two other amounts.
type field struct{ cap, a, b int64 }

func fields(cap, a, b dotterroom.Room) [3]field {
	return [3]field{
		{cap.MilliCores, a.MilliCores, b.MilliCores},
		{cap.MemoryMB, a.MemoryMB, b.MemoryMB},
		{cap.Accelerators, a.Accelerators, b.Accelerators},
	}
}

func times(size dotterroom.Room, count int) dotterroom.Room {
	n := int64(count)
	return dotterroom.Room{MilliCores: n * size.MilliCores, MemoryMB: n * size.MemoryMB, Accelerators: n * size.Accelerators}
}
