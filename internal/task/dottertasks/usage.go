package dottertasks

import (
	"context"
	"sort"

	"github.com/dotterelusher/dotterelusher/internal/model/dottermessage"
	"github.com/dotterelusher/dotterelusher/internal/task/dotterrecord"
)

// Usage returns the usage of every team under each split, summed over all shards.
// Shards that do not answer are listed as missing.
func (s *Service) Usage(ctx context.Context) (dottermessage.UsageAnswer, error) {
	sums := make(map[dotterrecord.TotalKey]dotterrecord.Total)
	var answer dottermessage.UsageAnswer
	for _, name := range s.allShards() {
		reply, err := s.call(ctx, MethodTotals, Call{Shard: name.String()}, s.answerTotals)
		if err == nil {
			err = reply.err()
		}
		if err != nil {
			answer.Missing = append(answer.Missing, name.String())
			continue
		}
		for _, t := range reply.Totals {
			addTotal(sums, t)
		}
	}
	for _, t := range sums {
		answer.Rows = append(answer.Rows, usageRow(t))
	}
	sort.Slice(answer.Rows, func(i, j int) bool { return rowBefore(answer.Rows[i], answer.Rows[j]) })
	return answer, nil
}

func addTotal(sums map[dotterrecord.TotalKey]dotterrecord.Total, t dotterrecord.Total) {
	sum, known := sums[t.Key()]
	if !known {
		sums[t.Key()] = t
		return
	}
	sums[t.Key()] = sum.Add(t)
}

func rowBefore(a, b dottermessage.UsageRow) bool {
	if a.Partner != b.Partner {
		return a.Partner < b.Partner
	}
	if a.Team != b.Team {
		return a.Team < b.Team
	}
	return a.Revision < b.Revision
}

const (
	milliPerUnit   = 1000
	megabytesPerGB = 1000
	secondsPerHour = 3600
)

func usageRow(t dotterrecord.Total) dottermessage.UsageRow {
	return dottermessage.UsageRow{
		Partner:          t.Partner,
		Team:             t.Team,
		Revision:         t.Revision,
		SplitPercent:     t.Percent,
		CoreSeconds:      float64(t.CoreMillis) / milliPerUnit / milliPerUnit,
		MemoryGBSeconds:  float64(t.MemoryMillis) / megabytesPerGB / milliPerUnit,
		AcceleratorHours: float64(t.DeviceMillis) / milliPerUnit / secondsPerHour,
		Charge:           float64(t.CostMillis) / milliPerUnit / milliPerUnit,
		Attempts:         t.Attempts,
	}
}

func (s *Service) answerTotals(ctx context.Context, call Call) Reply {
	owner, ok := s.ownerFor(call)
	if !ok {
		return notOwner(call)
	}
	totals, err := owner.Totals(ctx)
	reply := replyOf(err)
	reply.Totals = totals
	return reply
}
