package dotterledger

import "github.com/dotterelusher/dotterelusher/internal/task/dotterrecord"

// LiveRecords returns the live records of segment as full records of the current
// state: those entries and totals whose latest full record is in segment. It stops
// once budget bytes are used up; the second result reports whether it returned all.
func (l *Ledger) LiveRecords(segment int64, budget int) ([]dotterrecord.Record, bool) {
	var records []dotterrecord.Record
	for _, id := range l.segmentTasks[segment] {
		if l.fullSegment[id] != segment {
			continue
		}
		if budget <= 0 {
			return records, false
		}
		e := l.entries[id]
		budget -= e.Bytes()
		records = append(records, dotterrecord.Record{Kept: &e})
	}
	for _, t := range l.totals {
		if t.segment != segment {
			continue
		}
		if budget <= 0 {
			return records, false
		}
		budget -= totalBytes
		records = append(records, dotterrecord.Record{Total: &t.total})
	}
	return records, true
}

// totalBytes is the approximate encoded size of a Total.
const totalBytes = 250

// Bytes returns the approximate encoded size of full records of all entries.
func (l *Ledger) Bytes() int {
	return l.bytes
}

// DropSegment discards the list of tasks in segment, which must have no live records.
func (l *Ledger) DropSegment(segment int64) {
	delete(l.segmentTasks, segment)
}
