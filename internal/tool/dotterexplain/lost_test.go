package dotterexplain

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const (
	waitsHere = `{"Time":20000,"Host":"a1","Message":"lost long-running task still waits","Shard":"a","Job":"f3","Task":"f3.0.0.0","Run":1,` +
		`"Size":"20000m/40000MB/0a","WaitedMs":3100,"Verdict":"Pieces","Open":2,"FreeOpen":24.5,"Largest":12.9,` +
		`"Peers":[{"Shard":"b","Slots":3,"Lasting":1},{"Shard":"c","Slots":0,"Lasting":4}]}`
	runsHere  = `{"Time":30000,"Host":"a1","Message":"lost long-running task restarts","Shard":"a","Job":"f3","Task":"f3.0.0.0","Worker":"w7","WaitedMs":13100}`
	runsThere = `{"Time":30000,"Host":"b1","Message":"lost long-running task restarts","Shard":"b","Job":"f3","Task":"f3.0.0.0","Worker":"w8","WaitedMs":4000}`
)

// TestLostTaskIsExplained guards against a job of which the lines do not tell why a lost task waits, or where there
// is room.
func TestLostTaskIsExplained(t *testing.T) {
	alter := func(pairs ...string) string { return strings.NewReplacer(pairs...).Replace(waitsHere) }
	tests := map[string]struct {
		log  []string
		want []string // parts of the only explanation; none: there is none
	}{
		"it still waits": {
			log: []string{waitsHere},
			want: []string{
				"Task f3.0.0.0 (20000m/40000MB/0a) waits for a worker in shard a: open workers have enough", "none has it alone",
				"24.5 cores free on 2 open workers, at most 12.9 on one", "Other shards have published room: b for 3 of its size (it starts 1 long-running ones).",
				"had waited for 3100 ms then; no later line",
			},
		},
		"it runs again here":      {log: []string{waitsHere, runsHere}, want: []string{"It runs again on w7, after 13100 ms."}},
		"it runs again elsewhere": {log: []string{waitsHere, runsThere}, want: []string{"It runs again on w8, after 4000 ms. These are counted from its arrival in shard b."}},
		"another task of the job runs again": {
			log:  []string{waitsHere, strings.ReplaceAll(runsHere, "f3.0.0.0", "f3.0.0.1")},
			want: []string{"no later line shows it running"},
		},
		"no other shard has room":   {log: []string{alter(`"Slots":3`, `"Slots":0`)}, want: []string{"No other shard has published room for it."}},
		"there is one shard":        {log: []string{alter(`,"Peers":[{"Shard":"b","Slots":3,"Lasting":1},{"Shard":"c","Slots":0,"Lasting":4}]`, ``)}, want: []string{"No other shard has workers for it."}},
		"something else rules out":  {log: []string{alter("Pieces", "OnePiece")}, want: []string{"see WorkersByObstacle and HeldByCap"}},
		"closed workers have room":  {log: []string{alter("Pieces", "Closed")}, want: []string{"only workers that accept no starts"}},
		"held for starts":           {log: []string{alter("Pieces", "Unlisted")}, want: []string{"no worker has listed yet"}},
		"full":                      {log: []string{alter("Pieces", "Full")}, want: []string{"too little is free"}},
		"a verdict of a later host": {log: []string{alter("Pieces", "Another")}, want: []string{"shard a: Another"}},
		"it waited for a short time": {
			log: []string{`{"Time":20000,"Host":"a1","Message":"run lost","Shard":"a","Job":"f3","Task":"f3.0.0.0"}`},
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			lines, err := Job("f3", strings.NewReader(strings.Join(tc.log, "\n")))
			require.NoError(t, err)
			waits := LostTasks(lines)
			if len(tc.want) == 0 {
				assert.Empty(t, waits)
				return
			}
			require.Len(t, waits, 1)
			for _, part := range tc.want {
				assert.Contains(t, waits[0], part)
			}
		})
	}
}

// TestJobShowsRoomWhileItsTaskWaited guards against leaving out the room of the shard, which names no job.
func TestJobShowsRoomWhileItsTaskWaited(t *testing.T) {
	room := func(at, shard string) string {
		return `{"Time":` + at + `,"Host":"a1","Message":"room while long-running tasks wait","Shard":"` + shard + `","Verdict":"Pieces"}`
	}
	tests := map[string]struct {
		log   []string
		shown bool
	}{
		"before the task was lost":             {log: []string{room("16000", "a"), waitsHere}},
		"since it was lost":                    {log: []string{room("17000", "a"), waitsHere}, shown: true},
		"just after the line on the wait":      {log: []string{room("21000", "a"), waitsHere}, shown: true},
		"until it runs again":                  {log: []string{room("29000", "a"), waitsHere, runsHere}, shown: true},
		"after it runs again":                  {log: []string{room("31000", "a"), waitsHere, runsHere}},
		"another shard":                        {log: []string{room("19000", "c"), waitsHere, runsHere}},
		"the shard in which it waited later":   {log: []string{room("27000", "b"), waitsHere, runsThere}, shown: true},
		"that shard before the task was there": {log: []string{room("25000", "b"), waitsHere, runsThere}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			lines, err := Job("f3", strings.NewReader(strings.Join(tc.log, "\n")))
			require.NoError(t, err)
			want := len(tc.log) - 1
			if tc.shown {
				want++
			}
			assert.Len(t, lines, want)
		})
	}
}
