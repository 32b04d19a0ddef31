package dotterhome

import (
	"slices"

	"github.com/dotterelusher/dotterelusher/internal/model/dotterjob"
	"github.com/dotterelusher/dotterelusher/internal/model/dottervacancy"
)

// Candidate is a shard and what is known of it.
type Candidate struct {
	Shard   string
	Vacancy dottervacancy.Vacancy
	Live    bool // its owner has committed recently
	Out     bool // no task may start in any of its failure domains
}

// Weights of what a job needs and a shard lacks. They are far apart, so that a shard
// that lacks one thing is chosen only if every other shard lacks it too.
const (
	rackWeight    = 1e3   // of a shard with the rack of the job's data
	ownerWeight   = 1e-8  // of a shard whose owner has not committed recently
	workersWeight = 1e-12 // of a shard without a worker that could run the job
)

// minFreeFraction is the free fraction of its processor time that a shard is taken to
// have at least, so that jobs spread over all shards when none has room.
const minFreeFraction = 0.01

// Choose returns the home of a new job whose tasks run on workers of the service.
// Candidates must not be empty; draw is a random number from 0 to below 1.
func Choose(candidates []Candidate, j dotterjob.Job, service string, draw float64) string {
	if len(candidates) == 1 {
		return candidates[0].Shard
	}
	weights := make([]float64, len(candidates))
	sum := 0.0
	for i, c := range candidates {
		weights[i] = weight(c, j, service)
		sum += weights[i]
	}
	at := draw * sum
	for i, w := range weights {
		if at -= w; at < 0 {
			return candidates[i].Shard
		}
	}
	return candidates[len(candidates)-1].Shard
}

// weight returns the weight of a candidate for the job, above 0.
func weight(c Candidate, j dotterjob.Job, service string) float64 {
	s := c.Vacancy.Services[service]
	w := room(s, j)
	for _, step := range j.Steps {
		if step.Label != "" && !slices.Contains(s.Labels, step.Label) {
			w *= workersWeight
		}
		if step.DataRack != "" && slices.Contains(s.Labels, step.DataRack) {
			w *= rackWeight
		}
	}
	if c.Out || s.Capacity == 0 {
		w *= workersWeight
	}
	if !c.Live {
		w *= ownerWeight
	}
	return w
}

// room returns the square of the fraction of the shard's processor time that the job's
// largest step can have. Squares prefer the emptier shards without sending every host's
// jobs to the same one.
func room(s dottervacancy.Service, j dotterjob.Job) float64 {
	capacity := float64(max(1, s.Capacity))
	step := largest(j)
	free := float64(s.Unused - s.Filling)
	if !step.Fills {
		free = float64(int64(s.SlotsFor(step.Size))*step.Size.MilliCores - s.Waiting)
	}
	fraction := max(minFreeFraction, free/capacity)
	return fraction * fraction
}

// largest returns the step that declares the most processor time in all; steps that fill
// count only if there is no other.
func largest(j dotterjob.Job) dotterjob.Step {
	return slices.MaxFunc(j.Steps, func(a, b dotterjob.Step) int {
		if a.Fills != b.Fills {
			if a.Fills {
				return -1
			}
			return 1
		}
		return int(int64(a.Count)*a.Size.MilliCores - int64(b.Count)*b.Size.MilliCores)
	})
}
