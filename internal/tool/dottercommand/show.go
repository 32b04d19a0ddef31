package dottercommand

import (
	"encoding/json"
	"fmt"
	"strings"

	"github.com/dotterelusher/dotterelusher/internal/model/dottermessage"
)

type statusCommand struct {
	program *Program
}

// Execute shows the status that the entry host knows.
func (c *statusCommand) Execute([]string) error {
	var s dottermessage.StatusAnswer
	if err := c.program.operator().Get(c.program.ctx, "/v1/status", &s); err != nil {
		return err
	}
	return c.program.print(s, statusRows(s))
}

func statusRows(s dottermessage.StatusAnswer) [][]string {
	ready := "ready"
	if len(s.NotReady) > 0 {
		ready = "not ready: " + strings.Join(s.NotReady, "; ")
	}
	rows := [][]string{
		{"HOST", "DOMAIN", "REVISION", "HEARD", "FREE SLOTS", "STATE"},
		{s.Host, s.FailureDomain, fmt.Sprint(s.Revision), "-", "-", ready},
	}
	for _, h := range s.EntryHosts {
		rows = append(rows, entryHostRow(h))
	}
	rows = append(rows, []string{""}, []string{"TASK STARTS", s.Starts}, []string{""})
	rows = append(rows, []string{"BACKEND SERVER", "SERVICE", "STATE", "USABLE SLOTS", "FREE"})
	for _, b := range s.Backends {
		rows = append(rows, []string{b.Host, b.Service, b.State, fmt.Sprint(b.Usable), fmt.Sprint(b.Free)})
	}
	rows = append(rows, []string{""}, []string{"SHARD", "EPOCH", "WORKERS", "QUEUED", "RUNNING", "ENDED"})
	for _, x := range s.Shards {
		rows = append(rows, []string{x.Shard, fmt.Sprint(x.Epoch), fmt.Sprint(x.Workers), fmt.Sprint(x.Queued), fmt.Sprint(x.Running), fmt.Sprint(x.Ended)})
	}
	return rows
}

func entryHostRow(h dottermessage.EntryHostStatus) []string {
	if !h.Reached {
		return []string{h.Host, h.FailureDomain, "?", "-", "-", "can't be reached"}
	}
	state := "live"
	if h.Leaving {
		state = "leaving"
	}
	return []string{h.Host, h.FailureDomain, fmt.Sprint(h.Revision), fmt.Sprintf("%d ms ago", h.HeardAgo), fmt.Sprint(h.FreeSlots), state}
}

type decisionsCommand struct {
	program *Program
	Count   int `long:"count" value-name:"N" default:"50" description:"number of decisions, newest last"`
}

// Execute prints the newest decisions, one JSON object per line.
func (c *decisionsCommand) Execute([]string) error {
	var decisions []json.RawMessage
	path := fmt.Sprintf("/v1/decisions?Count=%d", c.Count)
	if err := c.program.operator().Get(c.program.ctx, path, &decisions); err != nil {
		return err
	}
	var rows [][]string
	for _, d := range decisions {
		rows = append(rows, []string{string(d)})
	}
	return c.program.print(decisions, rows)
}

type usageCommand struct {
	program *Program
}

// Execute shows usage by partner, team and split revision.
func (c *usageCommand) Execute([]string) error {
	var usage dottermessage.UsageAnswer
	if err := c.program.operator().Get(c.program.ctx, "/v1/usage", &usage); err != nil {
		return err
	}
	return c.program.print(usage, usageRows(usage))
}

func usageRows(usage dottermessage.UsageAnswer) [][]string {
	total := make(map[int64]float64)
	for _, r := range usage.Rows {
		total[r.Revision] += r.Charge
	}
	rows := [][]string{{"REVISION", "PARTNER", "TEAM", "SPLIT %", "USED %", "CORE-S", "MEMORY GB-S", "ACCELERATOR-H", "CHARGE", "ATTEMPTS"}}
	for _, r := range usage.Rows {
		used := 0.0
		if total[r.Revision] > 0 {
			used = 100 * r.Charge / total[r.Revision]
		}
		rows = append(rows, []string{
			fmt.Sprint(r.Revision), r.Partner, r.Team,
			fmt.Sprintf("%.1f", r.SplitPercent), fmt.Sprintf("%.1f", used),
			fmt.Sprintf("%.1f", r.CoreSeconds), fmt.Sprintf("%.1f", r.MemoryGBSeconds),
			fmt.Sprintf("%.3f", r.AcceleratorHours), fmt.Sprintf("%.1f", r.Charge), fmt.Sprint(r.Attempts),
		})
	}
	for _, m := range usage.Missing {
		rows = append(rows, []string{"shard " + m + " could not be queried"})
	}
	return rows
}
