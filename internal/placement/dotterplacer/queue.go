package dotterplacer

import (
	"cmp"
	"slices"

	"github.com/dotterelusher/dotterelusher/internal/model/dottertask"
)

// maxScoresPerPlan bounds the pairs of task and worker that one Plan scores; what
// is found harmful is remembered, so that the next Plan gets further.
const maxScoresPerPlan = 4000

// class is the queued tasks of one rank and urgency, by team and age.
type priorityClass struct {
	rank   int
	urgent bool
	teams  []string
	tasks  [][]int // positions in the queue, for each of teams
}

// add appends the queue's task at position to its team.
func (c *priorityClass) add(team string, position int) {
	at := slices.Index(c.teams, team)
	if at < 0 {
		at = len(c.teams)
		c.teams = append(c.teams, team)
		c.tasks = append(c.tasks, nil)
	}
	c.tasks[at] = append(c.tasks[at], position)
}

// remove takes the team at position out of c.
func (c *priorityClass) remove(position int) {
	c.teams = slices.Delete(c.teams, position, position+1)
	c.tasks = slices.Delete(c.tasks, position, position+1)
}

// priorityClasses returns the queue's classes in the order in which they are served.
func priorityClasses(queue []dottertask.Task) []*priorityClass {
	var classes []*priorityClass
	for i, t := range queue {
		classOf(&classes, t).add(t.Team, i)
	}
	slices.SortFunc(classes, func(a, b *priorityClass) int {
		if a.rank != b.rank {
			return cmp.Compare(a.rank, b.rank)
		}
		if a.urgent {
			return -1
		}
		return 1
	})
	return classes
}

func classOf(classes *[]*priorityClass, t dottertask.Task) *priorityClass {
	for _, c := range *classes {
		if c.rank == t.Rank && c.urgent == t.Urgent {
			return c
		}
	}
	c := &priorityClass{rank: t.Rank, urgent: t.Urgent}
	*classes = append(*classes, c)
	return c
}

// placeQueue places queued tasks by rank, urgency, fair share and age.
func (r *round) placeQueue() {
	r.applyClaims()
	r.applyReservations()
	for _, c := range priorityClasses(r.state.Queue) {
		r.placeClass(c)
	}
	if len(r.state.Queue) > 0 && !r.roomShortage && !r.limitReached() {
		r.placer.observePlacedSubmitTime(r.state.Now)
	}
}

func (r *round) placeClass(c *priorityClass) {
	for len(c.teams) > 0 && !r.limitReached() {
		first := r.shares.First(c.teams)
		if !r.placeNext(c, first) {
			c.remove(first)
		}
	}
}

// placeNext places the oldest task of a team that can be placed, or reports
// that it has none.
func (r *round) placeNext(c *priorityClass, team int) bool {
	tasks := c.tasks[team]
	for len(tasks) > 0 && !r.limitReached() {
		t := r.state.Queue[tasks[0]]
		tasks = tasks[1:]
		if r.place(t) {
			c.tasks[team] = tasks
			return true
		}
	}
	return false
}

// limitReached reports whether this round has done as much as one Plan may.
func (r *round) limitReached() bool {
	return len(r.plan.Assignments) >= r.placer.options.PlacementsPerPlan || r.scoredPairs >= maxScoresPerPlan
}
