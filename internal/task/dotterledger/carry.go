package dotterledger

import "github.com/dotterelusher/dotterelusher/internal/task/dotterrecord"

// Stated returns full statements of what segment alone states, up to a budget
// of bytes, and whether that is all.
func (l *Ledger) Stated(segment int64, budget int) ([]dotterrecord.Record, bool) {
	var records []dotterrecord.Record
	for _, id := range l.index[segment] {
		if l.stated[id] != segment {
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

// totalBytes is about what a Total takes in a segment.
const totalBytes = 250

// Bytes returns about how many bytes it takes to state every entry.
func (l *Ledger) Bytes() int {
	return l.bytes
}

// DropIndex forgets which entries segment stated, once it states none alone.
func (l *Ledger) DropIndex(segment int64) {
	delete(l.index, segment)
}
