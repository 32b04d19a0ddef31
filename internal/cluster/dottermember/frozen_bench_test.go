package dottermember

import (
	"fmt"
	"testing"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/cluster/dotterslot"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterhost"
)

const frozenServers = 65

// BenchmarkFrozenMember reports the fraction of all slots that are idle while one
// member is frozen: with no membership change, after another member has joined,
// and after another member has left.
func BenchmarkFrozenMember(b *testing.B) {
	changes := map[string]func(Record) Record{
		"Alone":  func(r Record) Record { return r },
		"Joined": func(r Record) Record { joined, _ := r.WithJoined(frozenMember(99)); return joined },
		"Left":   func(r Record) Record { return r.WithGone(frozenMember(1)) },
	}
	for _, members := range []int{3, 8, 12} {
		for name, change := range changes {
			b.Run(fmt.Sprintf("Members=%d/%s", members, name), func(b *testing.B) {
				idle := 0.0
				for b.Loop() {
					idle = idleFraction(members, change)
				}
				b.ReportMetric(100*idle, "idle-%")
			})
		}
	}
}

func frozenMember(i int) Member {
	return Member{Host: fmt.Sprintf("host-%d", i), Incarnation: 1, Address: fmt.Sprintf("host-%d", i)}
}

// idleFraction freezes member 0, applies change, makes all other members adopt and
// acknowledge the new epoch, and returns the fraction of the slots that no member
// may use.
func idleFraction(members int, change func(Record) Record) float64 {
	var record Record
	for i := range members {
		record, _ = record.WithJoined(frozenMember(i))
	}
	record.Open = nil
	changed := change(record)
	var ledgers []*dotterslot.Ledger
	for _, m := range changed.Current.Members {
		if m != frozenMember(0) {
			ledgers = append(ledgers, frozenLedger(m, changed))
		}
	}
	usable := 0
	for _, l := range ledgers {
		for _, m := range changed.Current.Members {
			if m != frozenMember(0) {
				l.Acknowledge(m.slotMember(), changed.Current.Number)
			}
		}
		usable += l.FreeSlots()
	}
	return 1 - float64(usable)/(8*frozenServers)
}

func frozenLedger(m Member, record Record) *dotterslot.Ledger {
	l := dotterslot.NewLedger(dotterclock.NewManual(1), 0, dotterslot.NewMetrics(prometheus.NewRegistry()))
	var servers []dotterhost.Host
	for i := range frozenServers {
		servers = append(servers, dotterhost.Host{Name: fmt.Sprintf("server-%d", i), Slots: 8, Connections: 64})
	}
	l.SetServers(servers)
	l.Adopt(m.slotMember(), record.View())
	return l
}
