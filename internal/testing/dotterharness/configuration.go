package dotterharness

import (
	"github.com/dotterelusher/dotterelusher/internal/model/dotterconfig"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterroom"
)

// Configuration returns the first configuration of a cluster with the given
// failure domains. It has a repeatable and a non-repeatable service, a
// repeatable and a non-repeatable task, and an urgent task.
func Configuration(failureDomains ...string) dotterconfig.Document {
	small := dotterroom.Room{MilliCores: 4000, MemoryMB: 8000}
	document := dotterconfig.Document{
		Revision: 1,
		ChangeID: "first",
		Partners: []dotterconfig.Partner{{Name: "north", SharePercent: 60}, {Name: "south", SharePercent: 40}},
		Teams: []dotterconfig.Team{
			{Name: "analysts", Partner: "north", Weight: 1},
			{Name: "brokers", Partner: "south", Weight: 1},
		},
		Templates: []dotterconfig.Template{
			{Name: "refresh", Team: "analysts", Kind: dotterconfig.KindService, Repeatable: true, TargetMillis: 200, TimeoutMillis: 2000},
			{Name: "clearance", Team: "brokers", Kind: dotterconfig.KindService, TargetMillis: 300, TimeoutMillis: 2000},
			{Name: "reweighting", Team: "analysts", Kind: dotterconfig.KindTask, Rank: 50, Repeatable: true, Size: small, RunMillis: 500},
			{Name: "settlement", Team: "brokers", Kind: dotterconfig.KindTask, Rank: 20, Size: small, RunMillis: 500},
			{Name: "urgent-clearance", Team: "brokers", Kind: dotterconfig.KindTask, Repeatable: true, Urgent: true, Size: small, RunMillis: 500},
		},
	}
	for _, d := range failureDomains {
		document.FailureDomains = append(document.FailureDomains, dotterconfig.FailureDomain{Name: d, Region: "r1"})
	}
	return document
}
