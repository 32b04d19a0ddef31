package dotterplacer

import (
	"cmp"
	"slices"

	"github.com/dotterelusher/dotterelusher/internal/model/dottertask"
)

// maxScoresPerPlan limits the pairs of task and worker scored in one Plan.
// Shapes found to interfere are remembered, so that the next Plan gets further
// down the queue.
const maxScoresPerPlan = 4000

// priorityClass holds the queued tasks of one rank and urgency, by team and in
// order of submission.
type priorityClass struct {
	rank   int
	urgent bool
	teams  []string
	tasks  [][]int // queue positions of each team's tasks
}

// add appends the task at the given queue position to its team.
func (c *priorityClass) add(team string, position int) {
	at := slices.Index(c.teams, team)
	if at < 0 {
		at = len(c.teams)
		c.teams = append(c.teams, team)
		c.tasks = append(c.tasks, nil)
	}
	c.tasks[at] = append(c.tasks[at], position)
}

// remove deletes the team at the given position in c.teams.
func (c *priorityClass) remove(position int) {
	c.teams = slices.Delete(c.teams, position, position+1)
	c.tasks = slices.Delete(c.tasks, position, position+1)
}

// priorityClasses groups the queue into classes, in the order in which they are
// served: by rank, with urgent tasks first.
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
	r.beginLookAhead()
	for _, c := range priorityClasses(r.state.Queue) {
		r.placeClass(c)
	}
	// No task lacked room, so tasks that are still queued were held back for
	// another reason, such as interference. Moving placedSubmitTime towards the present
	// makes them count as overtaken after a while.
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

// placeNext places the team's oldest task that can be placed, and reports
// whether there was one.
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

// limitReached reports whether the round has reached its limit of assignments
// or of scored pairs.
func (r *round) limitReached() bool {
	return len(r.plan.Assignments) >= r.placer.options.PlacementsPerPlan || r.scoredPairs >= maxScoresPerPlan
}
