package dotterexplain

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
)

// maxLineBytes is the longest log line that can be read.
const maxLineBytes = 1 << 20

// generalMessages are the log messages that concern every job.
var generalMessages = map[string]bool{
	"took the shard over": true, "no longer the owner": true, "owner changed": true, "shard loaded": true,
	"configuration in force": true, "store does not answer": true, "store answers again": true,
	"commit not confirmed": true, "end of the previous owner's orders dated by a worker's clock": true, "started": true, "leaving": true, "stopped": true, "log lines dropped": true,
}

// Line is one parsed log line.
type Line struct {
	At      float64 // milliseconds since 1970
	Host    string
	Message string
	Fields  map[string]any // all other fields
}

// String formats the line for display, with the fields sorted by name.
func (l Line) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%.0f %-16s %s", l.At, l.Host, l.Message)
	for _, name := range slices.Sorted(maps.Keys(l.Fields)) {
		fmt.Fprintf(&b, " %s=%v", name, l.Fields[name])
	}
	return b.String()
}

// Job returns the lines of the logs that explain what happened to the job, ordered by time.
// It skips lines that are not structured log entries.
func Job(id string, logs ...io.Reader) ([]Line, error) {
	var jobLines, others []Line
	for _, log := range logs {
		scanner := bufio.NewScanner(log)
		scanner.Buffer(nil, maxLineBytes)
		for scanner.Scan() {
			l, ok := parse(scanner.Bytes())
			switch {
			case !ok:
			case l.Fields["Job"] == id:
				jobLines = append(jobLines, l)
			default:
				others = append(others, l)
			}
		}
		if err := scanner.Err(); err != nil {
			return nil, err
		}
	}
	if len(jobLines) == 0 {
		return nil, nil
	}
	lines := append(jobLines, relatedLines(jobLines, others)...)
	slices.SortStableFunc(lines, compareTime)
	return lines, nil
}

// lookBack is how long before the first line of the job lines of its workers are of interest:
// placing a task is not logged, so that a worker may have restarted under it before.
const lookBack = 5000 // milliseconds

// relatedLines returns the other lines, between the first and the last line of the
// job, that concern every job or one of the job's workers; the latter also from before. Lines on the room
// of a shard are added while a lost task of the job waited there.
func relatedLines(jobLines, others []Line) []Line {
	first, last := slices.MinFunc(jobLines, compareTime).At, slices.MaxFunc(jobLines, compareTime).At
	workers := map[any]bool{}
	for _, l := range jobLines {
		if w, ok := l.Fields["Worker"]; ok {
			workers[w] = true
		}
	}
	var lines []Line
	spells := lostSpells(jobLines)
	for _, l := range others {
		if concerns(spells, l) {
			lines = append(lines, l)
		}
		if l.At < first-lookBack || l.At > last {
			continue
		}
		if generalMessages[l.Message] && l.At >= first || workers[l.Fields["Worker"]] && l.Fields["Job"] == nil {
			lines = append(lines, l)
		}
	}
	return lines
}

func compareTime(a, b Line) int {
	switch {
	case a.At < b.At:
		return -1
	case a.At > b.At:
		return 1
	}
	return 0
}

// parse decodes a log line; it ignores any text before the first brace.
func parse(text []byte) (Line, bool) {
	start := bytes.IndexByte(text, '{')
	if start < 0 {
		return Line{}, false
	}
	fields := map[string]any{}
	if err := json.Unmarshal(text[start:], &fields); err != nil {
		return Line{}, false
	}
	l := Line{Fields: fields}
	l.At, _ = fields["Time"].(float64)
	l.Host, _ = fields["Host"].(string)
	l.Message, _ = fields["Message"].(string)
	for _, name := range []string{"Time", "Host", "Message", "Level"} {
		delete(fields, name)
	}
	return l, l.Message != ""
}
