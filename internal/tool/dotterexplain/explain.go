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

// lineBytes bounds a line of a log.
const lineBytes = 1 << 20

// general are the messages that matter to every job.
var general = map[string]bool{
	"took the shard over": true, "no longer the owner": true, "owner changed": true, "shard loaded": true,
	"configuration in force": true, "store does not answer": true, "store answers again": true,
	"commit not confirmed": true, "started": true, "leaving": true, "stopped": true, "log lines dropped": true,
}

// Line is one line of a log.
type Line struct {
	At      float64 // milliseconds since 1970
	Host    string
	Message string
	Fields  map[string]any // the others
}

// String returns the line as a person reads it.
func (l Line) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%.0f %-16s %s", l.At, l.Host, l.Message)
	for _, name := range slices.Sorted(maps.Keys(l.Fields)) {
		fmt.Fprintf(&b, " %s=%v", name, l.Fields[name])
	}
	return b.String()
}

// Job returns the lines of the logs that explain what happened to the job, in order.
// What is no line of this program's is left out.
func Job(id string, logs ...io.Reader) ([]Line, error) {
	var named, others []Line
	for _, log := range logs {
		scanner := bufio.NewScanner(log)
		scanner.Buffer(nil, lineBytes)
		for scanner.Scan() {
			l, ok := parse(scanner.Bytes())
			switch {
			case !ok:
			case l.Fields["Job"] == id:
				named = append(named, l)
			default:
				others = append(others, l)
			}
		}
		if err := scanner.Err(); err != nil {
			return nil, err
		}
	}
	if len(named) == 0 {
		return nil, nil
	}
	lines := append(named, beside(named, others)...)
	slices.SortStableFunc(lines, compare)
	return lines, nil
}

// beside returns the lines between those of the job that bear on it.
func beside(named, others []Line) []Line {
	first, last := slices.MinFunc(named, compare).At, slices.MaxFunc(named, compare).At
	workers := map[any]bool{}
	for _, l := range named {
		if w, ok := l.Fields["Worker"]; ok {
			workers[w] = true
		}
	}
	var lines []Line
	for _, l := range others {
		if l.At < first || l.At > last {
			continue
		}
		if general[l.Message] || workers[l.Fields["Worker"]] && l.Fields["Job"] == nil {
			lines = append(lines, l)
		}
	}
	return lines
}

func compare(a, b Line) int {
	switch {
	case a.At < b.At:
		return -1
	case a.At > b.At:
		return 1
	}
	return 0
}

// parse reads a line; what stands before the first brace is left out.
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
