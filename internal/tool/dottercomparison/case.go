package dottercomparison

import (
	"math/rand/v2"

	"github.com/dotterelusher/dotterelusher"
	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/entry/dotterrouter"
)

// Parameters of the simulated pool and of the request path.
const (
	Servers       = 8
	Slots         = 8
	ServiceMillis = 50 // mean service time
	SlowFactor    = 5  // service time of the slowed server relative to the others

	queueItems    = 256
	queueMillis   = 500
	timeoutMillis = 2 * dotterclock.Second
	unbounded     = 1 << 30
)

// Capacity is the number of requests a second that the pool serves when no server is slowed.
const Capacity = Servers * Slots * 1000 / ServiceMillis

// Policy is a rule for choosing servers and for queueing.
type Policy struct {
	Name      string
	NewRouter func(template string) dotterelusher.Router
	Unbounded bool // the queue has no bound
	// Choose picks the server of a request on arrival; the request then waits in an
	// unbounded queue at that server. If Choose is nil, requests share one queue and
	// the router chooses among the servers with a free slot.
	Choose func(number int) int
}

// Policies returns the policies that are compared; the first is the daemon's.
// RoundRobin and Random ignore the load of the servers; those with FreeSlot in
// their name use the daemon's queue and choose among the servers with a free slot.
func Policies() []Policy {
	const seed = 1
	powerOfTwo := func(string) dotterelusher.Router { return dotterrouter.NewPowerOfTwo(seed) }
	random := rand.New(rand.NewPCG(seed, seed))
	return []Policy{
		{Name: "PowerOfTwo", NewRouter: powerOfTwo},
		{Name: "RoundRobin", Choose: func(number int) int { return number % Servers }},
		{Name: "Random", Choose: func(int) int { return random.IntN(Servers) }},
		{Name: "RoundRobinFreeSlot", NewRouter: func(string) dotterelusher.Router { return dotterrouter.NewRoundRobin() }},
		{Name: "RandomFreeSlot", NewRouter: func(string) dotterelusher.Router { return dotterrouter.NewRandom(seed) }},
		{Name: "UnboundedQueue", NewRouter: powerOfTwo, Unbounded: true},
	}
}

// Case is a load under which the policies are compared.
type Case struct {
	Name    string
	Percent int  // arrival rate in percent of Capacity
	Slow    bool // one server is slowed
	Kill    bool // one server dies a third of the way through and is back after two thirds
}

// Cases returns the loads that are compared.
func Cases() []Case {
	return []Case{
		{Name: "Load50", Percent: 50},
		{Name: "Load80", Percent: 80},
		{Name: "Load95", Percent: 95},
		{Name: "Slow50", Percent: 50, Slow: true},
		{Name: "Slow80", Percent: 80, Slow: true},
		{Name: "Slow95", Percent: 95, Slow: true},
		{Name: "Kill80", Percent: 80, Kill: true},
		{Name: "Overload300", Percent: 300},
	}
}
