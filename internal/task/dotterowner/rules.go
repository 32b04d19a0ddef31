package dotterowner

import (
	"fmt"
	"sort"
	"strings"

	"github.com/dotterelusher/dotterelusher/internal/model/dotterconfig"
	"github.com/dotterelusher/dotterelusher/internal/task/dotterrecord"
)

// defaultMaxAttempts is the number of failed attempts after which a task fails
// if its template sets no limit.
const defaultMaxAttempts = 3

func (o *Owner) maxAttempts(template string) int {
	t, ok := o.document.Template(template)
	if !ok || t.MaxAttempts == 0 {
		return defaultMaxAttempts
	}
	return t.MaxAttempts
}

func (o *Owner) costWeight(template string) float64 {
	t, ok := o.document.Template(template)
	if !ok || t.CostWeight == 0 {
		return 1
	}
	return t.CostWeight
}

func (o *Owner) allowsCutOffStarts(template string) bool {
	t, ok := o.document.Template(template)
	return ok && t.CutOffStarts == dotterconfig.RuleAllow
}

// totalKey returns the key of the total to which an attempt of team is charged
// under the current configuration.
func (o *Owner) totalKey(team string) dotterrecord.TotalKey {
	t, _ := o.document.Team(team)
	return dotterrecord.TotalKey{Team: team, Partner: t.Partner, Split: splitName(o.document.Partners)}
}

func sharePercent(partners []dotterconfig.Partner, name string) float64 {
	for _, p := range partners {
		if p.Name == name {
			return p.SharePercent
		}
	}
	return 0
}

// splitName encodes the partners' shares, so that a configuration revision that
// leaves the shares unchanged doesn't start new totals.
func splitName(partners []dotterconfig.Partner) string {
	parts := make([]string, len(partners))
	for i, p := range partners {
		parts[i] = fmt.Sprintf("%s:%g", p.Name, p.SharePercent)
	}
	sort.Strings(parts)
	return strings.Join(parts, ",")
}
