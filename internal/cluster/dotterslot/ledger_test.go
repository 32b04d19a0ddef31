package dotterslot

import (
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/dotterelusher/dotterelusher"
	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterhost"
)

const testServer = "server"

func testLedger(clock dotterelusher.Clock, reclaimDelay dotterclock.Millis) *Ledger {
	l := NewLedger(clock, reclaimDelay, NewMetrics(prometheus.NewRegistry()))
	l.SetServers([]dotterhost.Host{{Name: testServer, Slots: 8, Connections: 64}})
	return l
}

// referenceLedger is a simple model of Ledger that keeps all acknowledgements and
// checks each index separately.
type referenceLedger struct {
	self Member
	view View
	acks map[Member]map[int64]bool
}

func (r *referenceLedger) usable(count int) int {
	usable := 0
	for i := range count {
		if r.mayUse(i, count) {
			usable++
		}
	}
	return usable
}

func (r *referenceLedger) holds(i, count int) bool {
	current := r.view.Current
	h := referenceAssign(current.Members, testServer, KindSlot, count)[i]
	return h != noMember && current.Members[h] == r.self
}

func (r *referenceLedger) mayUse(i, count int) bool {
	if !r.holds(i, count) {
		return false
	}
	for _, e := range r.view.Open {
		h := referenceAssign(e.Members, testServer, KindSlot, count)[i]
		if e.Number >= r.view.Current.Number || h == noMember || e.Members[h] == r.self {
			continue
		}
		if !r.hasReleased(e.Members[h], e.Number) {
			return false
		}
	}
	return true
}

func (r *referenceLedger) hasReleased(m Member, epoch int64) bool {
	for _, g := range r.view.Gone {
		if g == m {
			return true
		}
	}
	for a := epoch + 1; a <= r.view.Current.Number; a++ {
		if r.acks[m][a] {
			return true
		}
	}
	return false
}

func TestLedgerMatchesReference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := membersNamed(4)
		ledger := testLedger(dotterclock.NewManual(1), 0)
		reference := &referenceLedger{self: all[0], acks: map[Member]map[int64]bool{}}
		var history []Epoch
		var permits []dotterelusher.Permit
		drawMembers := func() []Member {
			var chosen []Member
			for i, m := range all {
				if rapid.Bool().Draw(t, "member") || i == 0 {
					chosen = append(chosen, m)
				}
			}
			return chosen
		}
		t.Repeat(map[string]func(*rapid.T){
			"adopt": func(t *rapid.T) {
				number := reference.view.Current.Number
				for range rapid.IntRange(1, 3).Draw(t, "skip") {
					number++
					history = append(history, Epoch{Number: number, Members: drawMembers()})
				}
				open := max(0, len(history)-1-rapid.IntRange(0, 6).Draw(t, "open"))
				reference.view = View{Current: history[len(history)-1], Open: history[open : len(history)-1]}
				if rapid.IntRange(0, 3).Draw(t, "gone") == 0 {
					reference.view.Gone = []Member{all[3]}
				}
				ledger.Adopt(reference.self, reference.view)
			},
			"acknowledge": func(t *rapid.T) {
				m := rapid.SampledFrom(all[1:]).Draw(t, "from")
				a := rapid.Int64Range(1, reference.view.Current.Number+3).Draw(t, "epoch")
				if !memberKnown(reference.view, m) {
					return
				}
				if reference.acks[m] == nil {
					reference.acks[m] = map[int64]bool{}
				}
				reference.acks[m][a] = true
				ledger.Acknowledge(m, a)
			},
			"take": func(t *rapid.T) {
				_, free := ledger.Slots(testServer)
				p, ok := ledger.Slot(testServer)
				require.Equal(t, free > 0, ok)
				if ok {
					permits = append(permits, p)
				}
			},
			"release": func(t *rapid.T) {
				if len(permits) == 0 {
					return
				}
				i := rapid.IntRange(0, len(permits)-1).Draw(t, "which")
				permits[i].Release()
				permits = append(permits[:i], permits[i+1:]...)
			},
			"": func(t *rapid.T) {
				reference.check(t, ledger, len(permits))
			},
		})
	})
}

// memberKnown reports whether a ledger with view keeps m's acknowledgements.
func memberKnown(view View, m Member) bool {
	known := view.Current.Has(m)
	for _, e := range view.Open {
		known = known || e.Has(m)
	}
	return known
}

func (r *referenceLedger) check(t *rapid.T, ledger *Ledger, permits int) {
	usable, free := ledger.Slots(testServer)
	if !r.acknowledgementsDropped(ledger) {
		require.Equal(t, r.usable(8), usable)
	}
	pool := (*ledger.servers.Load())[testServer].slots
	inUse := 0
	for _, i := range pool.indexes {
		if i.permit != nil {
			inUse++
			require.True(t, i.held)
		}
	}
	require.Equal(t, permits, inUse+len(pool.excess))
	require.Equal(t, int64(len(pool.excess)), ledger.excess.Load())
	if len(pool.excess) > 0 {
		require.Zero(t, free, "excess permits move to free indexes")
		require.Less(t, ledger.acknowledged, r.view.Current.Number)
	} else {
		require.Equal(t, r.view.Current.Number, ledger.acknowledged)
	}
}

// acknowledgementsDropped reports whether the ledger has dropped acknowledgements
// of a member that was in no epoch of an adopted view. The ledger may then treat
// slots as unusable that the reference treats as usable.
func (r *referenceLedger) acknowledgementsDropped(ledger *Ledger) bool {
	for m, epochs := range r.acks {
		if len(epochs) != len(ledger.acks[m]) {
			return true
		}
	}
	return false
}

func TestExcessPermitsAreWithdrawnOrMoved(t *testing.T) {
	ledger := testLedger(dotterclock.NewManual(1), 0)
	members := membersNamed(2)
	ledger.Adopt(members[0], View{Current: Epoch{1, members[:1]}})
	var permits []dotterelusher.Permit
	for range 8 {
		p, ok := ledger.Slot(testServer)
		require.True(t, ok)
		permits = append(permits, p)
	}
	ledger.Adopt(members[0], View{Current: Epoch{2, members}, Open: []Epoch{{1, members[:1]}}})
	var withdrawn, kept []dotterelusher.Permit
	for _, p := range permits {
		select {
		case <-p.Withdrawn():
			withdrawn = append(withdrawn, p)
		default:
			kept = append(kept, p)
		}
	}
	require.Len(t, withdrawn, 4)
	require.EqualValues(t, 1, ledger.AcknowledgedBy(1))
	for _, p := range kept {
		p.Release()
	}
	require.EqualValues(t, 2, ledger.AcknowledgedBy(1), "permits in flight move to the remaining share")
	_, ok := ledger.Slot(testServer)
	require.False(t, ok, "withdrawn permits occupy the whole share")
}

func TestUnlistedServerIsRemovedOnceIdle(t *testing.T) {
	ledger := testLedger(dotterclock.NewManual(1), 0)
	members := membersNamed(1)
	ledger.Adopt(members[0], View{Current: Epoch{1, members}})
	permit, ok := ledger.Slot(testServer)
	require.True(t, ok)

	ledger.SetServers(nil)
	_, ok = ledger.Slot(testServer)
	require.False(t, ok)
	<-permit.Withdrawn()
	ledger.SetServers([]dotterhost.Host{{Name: testServer, Slots: 8}})
	_, free := ledger.Slots(testServer)
	require.Equal(t, 7, free, "the request in flight is counted when the server comes back")

	permit.Release()
	ledger.SetServers(nil)
	require.Len(t, *ledger.servers.Load(), 1)
	ledger.SetServers(nil)
	require.Empty(t, *ledger.servers.Load())
}

func TestSlotsOfGoneMemberAreUsableAfterReclaimDelay(t *testing.T) {
	clock := dotterclock.NewManual(1)
	ledger := testLedger(clock, 2*dotterclock.Second)
	previous := Member{"host-0", 1}
	restarted := Member{"host-0", 2}
	ledger.Adopt(restarted, View{
		Current: Epoch{2, []Member{restarted}},
		Open:    []Epoch{{1, []Member{previous}}},
		Gone:    []Member{previous},
	})
	usable, _ := ledger.Slots(testServer)
	require.Zero(t, usable)
	require.False(t, ledger.HasReleased(previous, 1))
	clock.Advance(2 * dotterclock.Second)
	ledger.Refresh()
	usable, _ = ledger.Slots(testServer)
	require.Equal(t, 8, usable)
}

func BenchmarkSlot(b *testing.B) {
	ledger := testLedger(dotterclock.NewSystem(), 0)
	members := membersNamed(1)
	ledger.Adopt(members[0], View{Current: Epoch{1, members}})
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if p, ok := ledger.Slot(testServer); ok {
				p.Release()
			}
		}
	})
}
