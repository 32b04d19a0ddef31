package dotterintake

import (
	"sync"
	"time"

	"go.uber.org/zap"
)

const (
	// smallBytes is the size up to which a request is small.
	smallBytes = 16 << 10
	// reservedDivisor divides the memory for requests: the quotient is reserved for small ones.
	reservedDivisor = 4
	// largestBodies is how many requests of the largest size the budget has room for at least.
	largestBodies = 2
	// reportInterval is the least time between two log lines about refused callers.
	reportInterval = time.Second
)

// Intake bounds what callers hold of a process. It is safe for concurrent use.
type Intake struct {
	limits Limits
	logger *zap.Logger

	mu          sync.Mutex
	doors       []*Door
	largest     int64 // largest body that was last permitted, bytes
	held        int64 // charged to all connections, bytes
	heldByLarge int64 // of held, to connections whose requests are not small
	leaving     bool  // see Interrupt
	refused     map[Reason]int64
	reported    time.Time // when refusals were last logged
	unlogged    int64     // refusals since then
}

// New returns an intake without doors.
func New(limits Limits, logger *zap.Logger) *Intake {
	return &Intake{limits: limits, logger: logger, refused: map[Reason]int64{}}
}

// memory returns how much requests may hold. There is always room for some of the largest size.
func (i *Intake) memory() int64 {
	return max(i.limits.Memory, largestBodies*i.limits.PerByte*i.largest)
}

// largeShare returns how much of the memory requests that are not small may hold.
func (i *Intake) largeShare() int64 {
	return i.memory() - i.memory()/reservedDivisor
}

// setLargestBody sets the largest body.
func (i *Intake) setLargestBody(largest int64) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.largest = largest
}

// small reports whether what a connection holds is that of a small request.
func (i *Intake) small(held int64) bool {
	return held <= smallBytes*i.limits.PerByte
}

// charge sets what is charged to a connection.
func (i *Intake) charge(c *conn, held int64) {
	if !i.small(c.held) {
		i.heldByLarge -= c.held
	}
	i.held += held - c.held
	c.held = held
	if !i.small(c.held) {
		i.heldByLarge += c.held
	}
}

// enforceBudget interrupts requests until what the others hold is within the budget. Complete ones are left alone: they
// were charged before.
func (i *Intake) enforceBudget(now time.Time) {
	for {
		var victim *conn
		if i.heldByLarge > i.largeShare() {
			victim = i.costliest(now, func(c *conn) bool { return !i.small(c.held) })
		}
		if victim == nil && i.held > i.memory() {
			victim = i.costliest(now, func(*conn) bool { return true })
		}
		if victim == nil {
			return
		}
		i.recordRefusal(now, ReasonMemory)
		victim.interrupt(now)
	}
}

// costliest returns the connection of a request that can be interrupted and has held the most for
// the longest, or nil.
func (i *Intake) costliest(now time.Time, eligible func(*conn) bool) *conn {
	var found *conn
	most := -1.0
	for _, d := range i.doors {
		for c := range d.conns {
			if c.held == 0 || !c.interruptible() || !eligible(c) {
				continue
			}
			if cost := float64(c.held) * (now.Sub(c.since) + time.Millisecond).Seconds(); cost > most {
				found, most = c, cost
			}
		}
	}
	return found
}

// recordRefusal counts a refusal in favour of others and logs at most one line for all within reportInterval.
func (i *Intake) recordRefusal(now time.Time, reason Reason) {
	i.refused[reason]++
	i.unlogged++
	if now.Sub(i.reported) < reportInterval {
		return
	}
	open := 0
	for _, d := range i.doors {
		open += len(d.conns)
	}
	i.logger.Warn("callers refused", zap.String("Reason", string(reason)), zap.Int64("Callers", i.unlogged), zap.Int("Connections", open),
		zap.Int64("HeldBytes", i.held), zap.Int64("MaxBytes", i.memory()))
	i.reported, i.unlogged = now, 0
}

// Interrupt ends all requests that are still being received. A process that shuts down calls it
// once it has announced that it leaves.
func (i *Intake) Interrupt() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.leaving = true
	now := time.Now()
	for _, d := range i.doors {
		for c := range d.conns {
			if c.interruptible() && (c.phase == header || c.phase == body) {
				c.interrupt(now)
			}
		}
	}
}
