package dotterrelief

const (
	// spreadCost is the cost of each task of the step on the worker. It outweighs how full the
	// worker is, which is at most 1, together with domainCost.
	spreadCost = 3.0
	// domainCost is the cost of a failure domain that has all the step's tasks. It decides
	// among workers with as many of them.
	domainCost = 1.5
	// highLoadCost is the cost of a worker on which the task is predicted to be at LoadHigh or
	// above. It outweighs the spread over a worker's most tasks.
	highLoadCost = 100.0
)

// Restart is what is known of a worker for a serving task that has lost its own.
type Restart struct {
	OnWorker int     // tasks of the step on the worker
	InDomain int     // tasks of the step in the worker's failure domain
	Tasks    int     // tasks of the step
	OwnLoad  float64 // load that the users of the step cause
	Added    float64 // load that the filling tasks there are predicted to add
	Reserved float64 // fraction of the worker's processor time that is reserved
}

// Score returns how well the worker suits the task, higher is better. The step's tasks spread
// over workers and failure domains, so that another failure takes fewer of them, and avoid
// workers with filling tasks that interfere with them. Among equal workers the fullest is
// the best, which leaves room elsewhere.
func (r Restart) Score() float64 {
	score := r.Reserved - spreadCost*float64(r.OnWorker) - domainCost*float64(r.InDomain)/float64(max(1, r.Tasks)) - r.Added
	if r.Added > minAddedLoad && r.OwnLoad+r.Added >= LoadHigh {
		score -= highLoadCost
	}
	return score
}
