package dottercommand

import (
	"fmt"
	"strings"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dottermessage"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterroom"
	"github.com/dotterelusher/dotterelusher/internal/tool/dotterclient"
)

type tenantsCommand struct {
	program *Program
	Metrics string `long:"metrics" env:"DOTTERELUSHER_METRICS" value-name:"IP:PORT" default:"127.0.0.1:9464" description:"metrics of a host that runs dotterscheduler"`
	JSON    bool   `long:"json" description:"the same as --output json"`
}

// Execute shows what each tenant of the jobs' platform has running and waiting.
func (c *tenantsCommand) Execute([]string) error {
	var answer dottermessage.TenantsAnswer
	client := dotterclient.New(c.Metrics, dotterclock.Millis(c.program.Timeout))
	if err := client.Get(c.program.ctx, "/tenants", &answer); err != nil {
		return err
	}
	if c.JSON {
		return c.program.printJSON(answer)
	}
	return c.program.print(answer, tenantRows(answer))
}

func tenantRows(answer dottermessage.TenantsAnswer) [][]string {
	rows := [][]string{{"TENANT", "CORES", "CAP", "MEMORY GB", "CAP", "ACCELERATORS", "CAP", "USED %", "WAITING TASKS"}}
	for _, t := range answer.Tenants {
		name := t.Tenant
		if !t.Configured {
			name += " (not configured)"
		}
		rows = append(rows, []string{
			name, thousandths(t.Running.MilliCores), limit(thousandths, t.Cap.MilliCores),
			thousandths(t.Running.MemoryMB), limit(thousandths, t.Cap.MemoryMB),
			fmt.Sprint(t.Running.Accelerators), limit(func(n int64) string { return fmt.Sprint(n) }, t.Cap.Accelerators),
			usedPercent(t), fmt.Sprint(t.Waiting),
		})
	}
	rows = append(rows, []string{fmt.Sprintf("configuration %d on %s, shards: %s", answer.Version, answer.Host, strings.Join(answer.Shards, ", "))})
	for _, m := range answer.Missing {
		rows = append(rows, []string{"shard " + m + " could not be queried"})
	}
	return rows
}

func thousandths(n int64) string {
	return fmt.Sprintf("%.1f", float64(n)/1000)
}

// limit formats a cap; 0 means that there is none.
func limit(format func(int64) string, cap int64) string {
	if cap == 0 {
		return "-"
	}
	return format(cap)
}

// usedPercent returns the largest part of a cap that is in use, in percent.
func usedPercent(t dottermessage.TenantUsage) string {
	limited := t.Running // components without a cap do not count
	if t.Cap.MilliCores == 0 {
		limited.MilliCores = 0
	}
	if t.Cap.MemoryMB == 0 {
		limited.MemoryMB = 0
	}
	if t.Cap.Accelerators == 0 {
		limited.Accelerators = 0
	}
	if t.Cap == (dotterroom.Room{}) {
		return "-"
	}
	return fmt.Sprintf("%.0f", 100*limited.DominantShare(t.Cap))
}
