package dottertasks

import (
	"github.com/rotisserie/eris"

	dotterelusher "github.com/dotterelusher/dotterelusher"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterconfig"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterhost"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterroom"
	"github.com/dotterelusher/dotterelusher/internal/model/dottersubmission"
	"github.com/dotterelusher/dotterelusher/internal/model/dottertask"
)

// newTask returns the task for a submission, without an ID. Size and RunMillis of
// the submission take precedence over those of its template.
func newTask(document dotterconfig.Document, sub dottersubmission.Submission) (dottertask.Task, error) {
	template, ok := document.Template(sub.Template)
	if !ok {
		return dottertask.Task{}, eris.Wrapf(dotterelusher.ErrTaskInvalid, "Template: no template %q", sub.Template)
	}
	if template.Kind != dotterconfig.KindTask {
		return dottertask.Task{}, eris.Wrapf(dotterelusher.ErrTaskInvalid, "Template: %q is not for tasks", sub.Template)
	}
	task := dottertask.Task{
		Team: template.Team, Template: template.Name, Key: sub.Key, Size: template.Size, RunMillis: template.RunMillis,
		Payload: sub.Payload, Repeatable: template.Repeatable, Urgent: template.Urgent || sub.Urgent,
		Critical: template.Critical, Rank: template.Rank,
	}
	if !sub.Size.IsZero() {
		task.Size = sub.Size
	}
	if sub.RunMillis > 0 {
		task.RunMillis = sub.RunMillis
	}
	if task.Size.IsZero() || !(dotterroom.Room{}).Fits(task.Size) {
		return dottertask.Task{}, eris.Wrapf(dotterelusher.ErrTaskInvalid, "Size: %s is not a size", task.Size)
	}
	return task, nil
}

// infeasibleReason returns why some task is too large for every worker of the pool,
// or "" if there is none or no worker is known.
func (s *Service) infeasibleReason(tasks []dottertask.Task) string {
	var capacities []dotterroom.Room
	for _, h := range s.options.Directory.Hosts() {
		if h.Role == dotterhost.RoleWorker {
			capacities = append(capacities, h.Capacity)
		}
	}
	if len(capacities) == 0 {
		return ""
	}
	for _, t := range tasks {
		if !fitsAny(t.Size, capacities) {
			return "Size: no worker of the pool has room for " + t.Size.String()
		}
	}
	return ""
}

func fitsAny(size dotterroom.Room, capacities []dotterroom.Room) bool {
	for _, c := range capacities {
		if size.Fits(c) {
			return true
		}
	}
	return false
}

func allFit(tasks []dottertask.Task, capacities []dotterroom.Room) bool {
	for _, t := range tasks {
		if !fitsAny(t.Size, capacities) {
			return false
		}
	}
	return true
}
