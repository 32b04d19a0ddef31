package dotteraccount

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterjob"
)

// encode returns the fields as the JSON object of a log line.
func encode(t *testing.T, fields []zap.Field) string {
	t.Helper()
	line, err := zapcore.NewJSONEncoder(zapcore.EncoderConfig{}).EncodeEntry(zapcore.Entry{}, fields)
	require.NoError(t, err)
	return line.String()
}

// TestAccountTellsHowTimeWasSpent guards against a slow job whose log line does not show what
// it was waiting for.
func TestAccountTellsHowTimeWasSpent(t *testing.T) {
	first, second := dotterjob.TaskID{Job: "j"}, dotterjob.TaskID{Job: "j", Index: 1}
	tests := map[string]struct {
		play func(a *Account, t, u *Task)
		want string
	}{
		"ran at once": {
			play: func(a *Account, t, _ *Task) {
				a.Bind(t, 100, 100)
				a.Start(t, 110)
				a.End(t, 610, first, "w1", Done, "")
			},
			want: `{"Inherited":false,"BeforeMs":40,"IdleMs":1510,"Runs":1,"WaitingMs":0,"StartingMs":10,"RunningMs":500,
				"Slowest":{"Task":"` + first.String() + `","TotalMs":510,"WaitMs":10,"LastRunMs":500,"Runs":1,"Worker":"w1"}}`,
		},
		"waited for a worker, beside a task that did not": {
			play: func(a *Account, t, u *Task) {
				a.Bind(t, 100, 100)
				a.Start(t, 100)
				a.Bind(u, 900, 100)
				a.Start(u, 900)
				a.End(t, 1000, first, "w1", Done, "")
				a.End(u, 1100, second, "w2", Done, "")
			},
			want: `{"Inherited":false,"BeforeMs":40,"IdleMs":1010,"Runs":2,"WaitingMs":800,"StartingMs":0,"RunningMs":1100,
				"Slowest":{"Task":"` + second.String() + `","TotalMs":1000,"WaitMs":800,"LastRunMs":200,"Runs":1,"Worker":"w2"}}`,
		},
		"stopped twice, lost and failed once": {
			play: func(a *Account, t, _ *Task) {
				at := dotterclock.Millis(100)
				for _, e := range []struct {
					result Result
					cause  string
				}{{Stopped, "interferes"}, {Stopped, "interferes"}, {Lost, ""}, {Failed, ""}, {Done, ""}} {
					a.Bind(t, at, 100)
					a.Start(t, at)
					a.End(t, at+200, first, "w1", e.result, e.cause)
					at += 250 // waits for 50 ms
				}
			},
			want: `{"Inherited":false,"BeforeMs":40,"IdleMs":1010,"Runs":5,"WaitingMs":200,"StartingMs":0,"RunningMs":200,"FailedMs":200,"LostRuns":1,"LostMs":200,
				"Stops":[{"Cause":"interferes","Runs":2,"Ms":400}],
				"Slowest":{"Task":"` + first.String() + `","TotalMs":1200,"WaitMs":200,"LastRunMs":200,"Runs":5,"Worker":"w1"}}`,
		},
		"a start that nothing was heard of counts as lost": {
			play: func(a *Account, t, _ *Task) {
				a.Bind(t, 100, 100)
				a.End(t, 1600, first, "w1", Lost, "")
			},
			want: `{"Inherited":false,"BeforeMs":40,"IdleMs":2010,"Runs":1,"WaitingMs":0,"StartingMs":0,"RunningMs":0,"LostRuns":1,"LostMs":1500}`,
		},
		"a refused start counts as starting": {
			play: func(a *Account, t, _ *Task) {
				a.Bind(t, 100, 100)
				a.End(t, 130, first, "w1", Dropped, "")
			},
			want: `{"Inherited":false,"BeforeMs":40,"IdleMs":2010,"Runs":1,"WaitingMs":0,"StartingMs":30,"RunningMs":0}`,
		},
		"decided while a task ran and one waited": {
			play: func(a *Account, t, u *Task) {
				a.Bind(t, 100, 100)
				a.Start(t, 100)
				a.Close(t, 2100, 100)
				a.Close(u, 2100, 600)
			},
			want: `{"Inherited":false,"BeforeMs":40,"IdleMs":10,"Runs":1,"WaitingMs":1500,"StartingMs":0,"RunningMs":2000}`,
		},
		"successor": {
			play: func(a *Account, t, _ *Task) {
				a.InheritRun(t, 90)
				a.Start(t, 140)
				a.End(t, 640, first, "w1", Done, "")
			},
			want: `{"Inherited":true,"BeforeMs":40,"IdleMs":1510,"Runs":1,"WaitingMs":0,"StartingMs":50,"RunningMs":500,
				"Slowest":{"Task":"` + first.String() + `","TotalMs":550,"WaitMs":50,"LastRunMs":500,"Runs":1,"Worker":"w1"}}`,
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			a := New(90)
			tc.play(&a, &Task{}, &Task{})
			assert.JSONEq(t, tc.want, encode(t, a.Fields(50, 2100)))
		})
	}
}

// TestAccountIsBounded guards against a log line that grows with the tasks of a job or with
// the causes of its stops. Log lines are read whole, and a job may have thousands of tasks.
func TestAccountIsBounded(t *testing.T) {
	const maxLength = 1500 // bytes
	a := New(1)
	for i := range 10_000 {
		task, id := &Task{}, dotterjob.TaskID{Job: "0123456789abcdef", Step: 99, Index: i}
		a.Bind(task, 10, 1)
		a.Start(task, 20)
		a.End(task, 1_000_000, id, strings.Repeat("w", 500), Stopped, fmt.Sprintf("%d %s", i, strings.Repeat("c", 500)))
		a.Bind(task, 1_000_001, 1)
		a.Start(task, 1_000_002)
		a.End(task, 9_000_000, id, strings.Repeat("w", 500), Done, "")
	}
	line := encode(t, a.Fields(0, 10_000_000))
	assert.Less(t, len(line), maxLength)
	var fields struct{ Stops []Stops }
	require.NoError(t, json.Unmarshal([]byte(line), &fields))
	total := 0
	for _, s := range fields.Stops {
		total += s.Runs
	}
	assert.Equal(t, 10_000, total, "stops of causes without a name must be counted too")
}
