package dotterjob

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/dotterelusher/dotterelusher/internal/model/dotterroom"
)

func TestJobCheckReportsInvalidField(t *testing.T) {
	valid := Job{ID: "0123456789abcdef", Queue: "q", Steps: []Step{{Count: 2}, {Count: 1, After: []int{0}}}}
	tests := map[string]struct {
		change func(*Job)
		fault  string // part of the error message; empty if the job is valid
	}{
		"valid":                    {change: func(*Job) {}},
		"short id":                 {change: func(j *Job) { j.ID = "0123" }, fault: "/Id"},
		"id is not hexadecimal":    {change: func(j *Job) { j.ID = "0123456789abcdeg" }, fault: "/Id"},
		"long spec":                {change: func(j *Job) { j.Spec = strings.Repeat("x", MaxSpecBytes+1) }, fault: "/Spec"},
		"no steps":                 {change: func(j *Job) { j.Steps = nil }, fault: "/Steps"},
		"no tasks":                 {change: func(j *Job) { j.Steps = []Step{{}} }, fault: "/Steps/0/Count"},
		"too many tasks":           {change: func(j *Job) { j.Steps = []Step{{Count: MaxTasks}, {Count: 1}} }, fault: "/Steps"},
		"after itself":             {change: func(j *Job) { j.Steps = []Step{{Count: 1, After: []int{0}}} }, fault: "/Steps/0/After"},
		"after a later step":       {change: func(j *Job) { j.Steps = []Step{{Count: 1, After: []int{1}}, {Count: 1}} }, fault: "/Steps/0/After"},
		"negative room":            {change: func(j *Job) { j.Steps = []Step{{Count: 1, Size: dotterroom.Room{MemoryMB: -1}}} }, fault: "/Steps/0"},
		"repeats without interval": {change: func(j *Job) { j.Times = 3 }, fault: "/IntervalMs"},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			j := valid
			tc.change(&j)
			err := j.Check()
			if tc.fault == "" {
				assert.NoError(t, err)
				return
			}
			assert.ErrorContains(t, err, tc.fault)
		})
	}
}

func TestTaskID(t *testing.T) {
	tests := map[string]struct {
		want  TaskID
		fails bool
	}{
		"0123456789abcdef.0.1.17": {want: TaskID{Job: "0123456789abcdef", Step: 1, Index: 17}},
		"0123456789abcdef.3.0.0":  {want: TaskID{Job: "0123456789abcdef", Occurrence: 3}},
		"0123456789abcdef.0.1":    {fails: true},
		"0123456789abcdef.0.x.1":  {fails: true},
		"0123456789abcdef.0.-1.1": {fails: true},
	}
	for text, tc := range tests {
		t.Run(text, func(t *testing.T) {
			id, err := ParseTaskID(text)
			if tc.fails {
				assert.Error(t, err)
				return
			}
			assert.NoError(t, err)
			assert.Equal(t, tc.want, id)
			assert.Equal(t, text, id.String())
		})
	}
}

func TestDueAt(t *testing.T) {
	tests := map[string]struct {
		job        Job
		occurrence int
		want       int64
	}{
		"once":             {job: Job{}, want: 0},
		"first occurrence": {job: Job{Times: 3, FirstDue: 1000, Interval: 50}, want: 1000},
		"third occurrence": {job: Job{Times: 3, FirstDue: 1000, Interval: 50}, occurrence: 2, want: 1100},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) { assert.EqualValues(t, tc.want, tc.job.DueAt(tc.occurrence)) })
	}
}
