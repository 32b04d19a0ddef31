package dottermember

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"

	"github.com/dotterelusher/dotterelusher"
	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/cluster/dotterslot"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterhost"
)

const (
	simulatedHosts   = 5
	simulatedServers = 3
	simulatedSlots   = 8
	simulatedSteps   = 20000
	simulatedSeeds   = 24
	maxPauseSteps    = 400
)

// simulation runs real records and ledgers on a simulated network that loses,
// delays, duplicates and reorders acknowledgements. Processes pause, skip epochs,
// read stale records, die, restart and leave.
type simulation struct {
	t         *testing.T
	random    *rand.Rand
	clock     *dotterclock.Manual
	step      int
	store     Record
	history   []Record
	processes []*process // by host; the latest process on each
	messages  []message
	acquired  int

	readWeight  int // percentage of steps in which a process reads the record
	deathWeight int // probability in tenths that a process dies rather than leaves
}

type process struct {
	member      Member
	ledger      *dotterslot.Ledger
	record      Record
	alive       bool
	leaving     bool
	pausedUntil int
	permits     [][]dotterelusher.Permit // by server
}

type message struct {
	from  dotterslot.Member
	epoch int64
}

func newSimulation(t *testing.T, seed uint64) *simulation {
	s := &simulation{t: t, random: rand.New(rand.NewPCG(seed, 0)), clock: dotterclock.NewManual(1)}
	s.readWeight = 1 + int(seed)%4*3
	s.deathWeight = int(seed) / 4 % 3 * 2
	s.processes = make([]*process, simulatedHosts)
	for i := range s.processes {
		s.start(i)
	}
	return s
}

func server(i int) string { return fmt.Sprintf("server-%d", i) }

// start starts a new process on host and joins it to the record.
func (s *simulation) start(host int) {
	name := fmt.Sprintf("host-%d", host)
	p := &process{
		member:  Member{Host: name, Incarnation: int64(s.step + 1), Address: name},
		ledger:  dotterslot.NewLedger(s.clock, 0, dotterslot.NewMetrics(prometheus.NewRegistry())),
		alive:   true,
		permits: make([][]dotterelusher.Permit, simulatedServers),
	}
	var servers []dotterhost.Host
	for i := range simulatedServers {
		servers = append(servers, dotterhost.Host{Name: server(i), Slots: simulatedSlots, Connections: 1})
	}
	p.ledger.SetServers(servers)
	joined, ok := s.store.WithJoined(p.member)
	if !ok {
		return
	}
	s.write(joined)
	s.processes[host] = p
}

func (s *simulation) write(r Record) {
	if r.Revision == s.store.Revision {
		return
	}
	s.store = r
	s.history = append(s.history, r)
}

func (s *simulation) adopt(p *process, r Record) {
	if r.Revision <= p.record.Revision {
		return
	}
	p.record = r
	p.ledger.Adopt(p.member.slotMember(), r.View())
}

func (s *simulation) advance() {
	s.step++
	host := s.random.IntN(simulatedHosts)
	p := s.processes[host]
	if !p.alive {
		s.actDead(host, p)
		return
	}
	if s.step < p.pausedUntil {
		return
	}
	s.act(p)
	s.check()
}

func (s *simulation) actDead(host int, p *process) {
	switch s.random.IntN(60) {
	case 0, 1:
		s.write(s.store.WithGone(p.member))
	case 2:
		s.start(host)
	}
}

func (s *simulation) act(p *process) {
	i := s.random.IntN(simulatedServers)
	switch n := s.random.IntN(100); {
	case n < 40:
		if permit, ok := p.ledger.Slot(server(i)); ok {
			p.permits[i] = append(p.permits[i], permit)
			s.acquired++
		}
	case n < 60:
		if len(p.permits[i]) > 0 {
			p.permits[i][0].Release()
			p.permits[i] = p.permits[i][1:]
		}
	case n < 60+s.readWeight:
		s.adopt(p, s.store)
	case n < 72:
		s.adopt(p, s.history[len(s.history)-1-s.random.IntN(min(8, len(s.history)))])
	case n < 80:
		s.messages = append(s.messages, message{p.member.slotMember(), p.ledger.AcknowledgedBy(p.member.Incarnation)})
	case n < 94:
		s.deliver(p)
	case n < 96:
		closed := s.store.WithClosed(func(m Member, e int64) bool { return p.ledger.HasReleased(m.slotMember(), e) })
		s.write(closed)
	case n < 97:
		p.pausedUntil = s.step + s.random.IntN(maxPauseSteps)
	default:
		s.leaveOrDie(p)
	}
}

// deliver picks a random message in transit and delivers it to p or loses it. A
// delivered message stays in transit and may be delivered again.
func (s *simulation) deliver(p *process) {
	if len(s.messages) == 0 {
		return
	}
	i := s.random.IntN(len(s.messages))
	m := s.messages[i]
	switch s.random.IntN(10) {
	case 0: // lost
		s.messages = append(s.messages[:i], s.messages[i+1:]...)
	default:
		if m.epoch > 0 && m.from != p.member.slotMember() {
			p.ledger.Acknowledge(m.from, m.epoch)
		}
	}
	if len(s.messages) > 200 {
		s.messages = s.messages[100:]
	}
}

func (s *simulation) leaveOrDie(p *process) {
	switch {
	case p.leaving:
		if p.ledger.Drained() {
			s.write(s.store.WithGone(p.member))
			p.alive = false
		}
	case s.random.IntN(3) > 0:
	case s.random.IntN(10) < s.deathWeight:
		p.alive = false
		p.permits = make([][]dotterelusher.Permit, simulatedServers)
	default:
		p.leaving = true
		s.write(s.store.WithLeft(p.member))
		s.adopt(p, s.store)
	}
}

// check fails the test if the processes have more permits for a server than it has
// slots.
func (s *simulation) check() {
	for i := range simulatedServers {
		sum := 0
		for _, p := range s.processes {
			sum += len(p.permits[i])
		}
		if sum > simulatedSlots {
			require.Failf(s.t, "too many permits", "step %d: %d permits for %d slots", s.step, sum, simulatedSlots)
		}
	}
}

// checkQuiescent marks dead processes as gone, delivers all acknowledgements,
// releases all permits and then checks that no slot is idle and no epoch is open.
func (s *simulation) checkQuiescent() {
	for host, p := range s.processes {
		if !p.alive {
			s.write(s.store.WithGone(p.member))
			s.processes[host] = nil
		}
	}
	for range 3 {
		for _, p := range s.processes {
			s.quiesce(p)
		}
	}
	for i := range simulatedServers {
		sum := 0
		for _, p := range s.processes {
			if p != nil && s.store.Has(p.member) {
				usable, _ := p.ledger.Slots(server(i))
				sum += usable
			}
		}
		if len(s.store.Current.Members) > 0 {
			require.Equal(s.t, simulatedSlots, sum, "slots usable by the members")
		}
	}
	require.Empty(s.t, s.store.Open)
}

func (s *simulation) quiesce(p *process) {
	if p == nil {
		return
	}
	s.adopt(p, s.store)
	for i := range p.permits {
		for _, permit := range p.permits[i] {
			permit.Release()
		}
		p.permits[i] = nil
	}
	for _, o := range s.processes {
		if o != nil && o != p {
			o.ledger.Acknowledge(p.member.slotMember(), p.ledger.AcknowledgedBy(p.member.Incarnation))
		}
	}
	s.write(s.store.WithClosed(func(m Member, e int64) bool { return p.ledger.HasReleased(m.slotMember(), e) }))
}

func TestPermitsNeverExceedSlots(t *testing.T) {
	epochs, acquired := int64(0), 0
	for seed := range uint64(simulatedSeeds) {
		s := newSimulation(t, seed)
		for range simulatedSteps {
			s.advance()
		}
		epochs += s.store.Current.Number
		acquired += s.acquired
		s.checkQuiescent()
	}
	t.Logf("%d epochs, %d permits taken", epochs, acquired)
	require.Greater(t, epochs, int64(500), "the simulation changes membership")
	require.Greater(t, acquired, 10000, "the simulation takes permits")
}
