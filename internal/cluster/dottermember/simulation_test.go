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
	longestPause     = 400 // steps
)

// simulation runs real records and ledgers over a network that loses, delays
// and reorders acknowledgements, with processes that pause, skip epochs, read
// old records, die, start again and leave.
type simulation struct {
	t         *testing.T
	random    *rand.Rand
	clock     *dotterclock.Manual
	step      int
	store     Record
	history   []Record
	processes []*process // by host; the last one that ran there
	messages  []message
	taken     int

	readWeight  int // how often a process reads the record, percent of its steps
	deathWeight int // how often a process dies rather than leaves, of ten
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

// start runs a new process on host and has it join the record.
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
	p.ledger.Adopt(p.member.identity(), r.View())
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
			s.taken++
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
		s.messages = append(s.messages, message{p.member.identity(), p.ledger.AcknowledgedBy(p.member.Incarnation)})
	case n < 94:
		s.deliver(p)
	case n < 96:
		closed := s.store.WithClosed(func(m Member, e int64) bool { return p.ledger.HasReleased(m.identity(), e) })
		s.write(closed)
	case n < 97:
		p.pausedUntil = s.step + s.random.IntN(longestPause)
	default:
		s.actRarely(p)
	}
}

// deliver hands a message on the way to p, any and maybe again, or loses it.
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
		if m.epoch > 0 && m.from != p.member.identity() {
			p.ledger.Acknowledge(m.from, m.epoch)
		}
	}
	if len(s.messages) > 200 {
		s.messages = s.messages[100:]
	}
}

func (s *simulation) actRarely(p *process) {
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

// check compares the permits of all processes with the server's slots.
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

// settle lets everything come to rest and checks that no slot stays idle.
func (s *simulation) settle() {
	for host, p := range s.processes {
		if !p.alive {
			s.write(s.store.WithGone(p.member))
			s.processes[host] = nil
		}
	}
	for range 3 {
		for _, p := range s.processes {
			s.restOne(p)
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
			require.Equal(s.t, simulatedSlots, sum, "a slot stays idle")
		}
	}
	require.Empty(s.t, s.store.Open)
}

func (s *simulation) restOne(p *process) {
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
			o.ledger.Acknowledge(p.member.identity(), p.ledger.AcknowledgedBy(p.member.Incarnation))
		}
	}
	s.write(s.store.WithClosed(func(m Member, e int64) bool { return p.ledger.HasReleased(m.identity(), e) }))
}

func TestPermitsNeverExceedSlots(t *testing.T) {
	epochs, taken := int64(0), 0
	for seed := range uint64(simulatedSeeds) {
		s := newSimulation(t, seed)
		for range simulatedSteps {
			s.advance()
		}
		epochs += s.store.Current.Number
		taken += s.taken
		s.settle()
	}
	t.Logf("%d epochs, %d permits taken", epochs, taken)
	require.Greater(t, epochs, int64(500), "the simulation changes membership")
	require.Greater(t, taken, 10000, "the simulation takes permits")
}
