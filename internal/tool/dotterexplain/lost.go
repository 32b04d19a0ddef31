package dotterexplain

import (
	"fmt"
	"strings"
)

// Messages on long-running tasks that lost their run.
const (
	waitsMessage    = "lost long-running task still waits"
	restartsMessage = "lost long-running task restarts"
	roomMessage     = "room while long-running tasks wait"
)

// verdictTexts tell by the verdict of a line why its shard has no room for the task.
var verdictTexts = map[string]string{
	"OnePiece": "an open worker has enough free processor time, and something else rules it out: see WorkersByObstacle and HeldByCap",
	"Closed":   "only workers that accept no starts have enough free processor time",
	"Pieces":   "open workers have enough free processor time together, and none has it alone",
	"Unlisted": "it would do together with what is held for starts and ends that no worker has listed yet",
	"Full":     "too little is free",
}

// LostTasks returns for each long wait of a long-running task after its run was lost, why it did not run and which
// shards had room. The lines are those of one job, as Job returns them.
func LostTasks(lines []Line) []string {
	var waits []string
	for i, l := range lines {
		if l.Message == waitsMessage {
			waits = append(waits, explainWait(l, lines[i+1:]))
		}
	}
	return waits
}

// explainWait returns the explanation of a line on a task that waits; later are the lines after it.
func explainWait(l Line, later []Line) string {
	var b strings.Builder
	fmt.Fprintf(&b, "Task %v (%v) waits for a worker in shard %v: ", l.Fields["Task"], l.Fields["Size"], l.Fields["Shard"])
	text, known := verdictTexts[fmt.Sprint(l.Fields["Verdict"])]
	if !known {
		text = fmt.Sprint(l.Fields["Verdict"])
	}
	fmt.Fprintf(&b, "%s (%v cores free on %v open workers, at most %v on one). ", text, l.Fields["FreeOpen"], l.Fields["Open"], l.Fields["Largest"])
	b.WriteString(roomElsewhere(l))
	if end, found := endOfWait(l, later); found {
		fmt.Fprintf(&b, " It runs again on %v, after %v ms.", end.Fields["Worker"], end.Fields["WaitedMs"])
		if end.Fields["Shard"] != l.Fields["Shard"] {
			fmt.Fprintf(&b, " These are counted from its arrival in shard %v.", end.Fields["Shard"])
		}
	} else {
		fmt.Fprintf(&b, " It had waited for %v ms then; no later line shows it running.", l.Fields["WaitedMs"])
	}
	return b.String()
}

// endOfWait returns the line on the next start of the task.
func endOfWait(l Line, later []Line) (Line, bool) {
	for _, end := range later {
		if end.Message == restartsMessage && end.Fields["Task"] == l.Fields["Task"] {
			return end, true
		}
	}
	return Line{}, false
}

// roomElsewhere tells which other shards have published room for the task.
func roomElsewhere(l Line) string {
	peers, _ := l.Fields["Peers"].([]any)
	if len(peers) == 0 {
		return "No other shard has workers for it."
	}
	var with []string
	for _, p := range peers {
		peer, _ := p.(map[string]any)
		if slots, _ := peer["Slots"].(float64); slots > 0 {
			with = append(with, fmt.Sprintf("%v for %v of its size (it starts %v long-running ones)", peer["Shard"], peer["Slots"], peer["Lasting"]))
		}
	}
	if len(with) == 0 {
		return "No other shard has published room for it."
	}
	return "Other shards have published room: " + strings.Join(with, ", ") + "."
}

// spell is the time in which a lost task waited in a shard, in milliseconds since 1970.
type spell struct {
	shard    any
	from, to float64
}

// lostSpells returns the times in which lost tasks of the job waited.
func lostSpells(jobLines []Line) []spell {
	var spells []spell
	for _, l := range jobLines {
		waited, _ := l.Fields["WaitedMs"].(float64)
		switch l.Message {
		case waitsMessage:
			spells = append(spells, spell{shard: l.Fields["Shard"], from: l.At - waited, to: l.At + roomAfter})
		case restartsMessage:
			spells = append(spells, spell{shard: l.Fields["Shard"], from: l.At - waited, to: l.At})
		}
	}
	return spells
}

// roomAfter is how long after the line on a waiting task the room of its shard is of interest, if no line
// tells when it restarted.
const roomAfter = 2000 // milliseconds

// concerns reports whether the line is on the room of a shard in which a lost task waited then.
func concerns(spells []spell, l Line) bool {
	if l.Message != roomMessage {
		return false
	}
	for _, s := range spells {
		if l.Fields["Shard"] == s.shard && l.At >= s.from && l.At <= s.to {
			return true
		}
	}
	return false
}
