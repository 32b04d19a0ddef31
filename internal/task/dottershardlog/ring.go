package dottershardlog

import (
	"fmt"
	"sort"

	"github.com/rotisserie/eris"

	"github.com/dotterelusher/dotterelusher/internal/model/dotterkey"
	"github.com/dotterelusher/dotterelusher/internal/task/dotterrecord"
)

// ring maps segment numbers to the fixed set of keys that hold a log, and keeps
// the version and length of each key's value.
type ring struct {
	prefix   string
	size     int64
	versions []dotterkey.Version
	lengths  []int // bytes of each value
	bytes    int   // of all values
}

func newRing(prefix string, size int64) *ring {
	return &ring{prefix: prefix, size: size, versions: make([]dotterkey.Version, size), lengths: make([]int, size)}
}

func (r *ring) slot(number int64) int64 {
	return number % r.size
}

func (r *ring) key(number int64) string {
	return fmt.Sprintf("%s%04d", r.prefix, r.slot(number))
}

func (r *ring) version(number int64) dotterkey.Version {
	return r.versions[r.slot(number)]
}

// setSlot stores the version and length of the value that holds segment number.
func (r *ring) setSlot(number int64, version dotterkey.Version, length int) {
	slot := r.slot(number)
	r.bytes += length - r.lengths[slot]
	r.lengths[slot] = length
	r.versions[slot] = version
}

// read decodes the entries of the ring, stores their versions and returns the
// segments in order. A gap, which is reported as ErrUnreadable, means that the log
// was written while it was read.
func (r *ring) read(entries []dotterkey.Entry) ([]dotterrecord.Segment, error) {
	segments := make([]dotterrecord.Segment, 0, len(entries))
	clear(r.versions)
	clear(r.lengths)
	r.bytes = 0
	for _, e := range entries {
		s, err := dotterrecord.DecodeSegment(e.Value)
		if err != nil {
			return nil, eris.Wrapf(ErrUnreadable, "%s: %v", e.Key, err)
		}
		if e.Key != r.key(s.Number) {
			return nil, eris.Wrapf(ErrUnreadable, "%s holds segment %d, which belongs to a ring of another size", e.Key, s.Number)
		}
		r.setSlot(s.Number, e.Version, len(e.Value))
		segments = append(segments, s)
	}
	sort.Slice(segments, func(i, j int) bool { return segments[i].Number < segments[j].Number })
	return segments, r.checkContiguous(segments)
}

func (r *ring) checkContiguous(segments []dotterrecord.Segment) error {
	if len(segments) == 0 {
		return nil
	}
	newest := segments[len(segments)-1].Number
	oldest := max(1, newest-r.size+1)
	if int64(len(segments)) != newest-oldest+1 || segments[0].Number != oldest {
		return eris.Wrapf(ErrUnreadable, "segments %d to %d are not complete", oldest, newest)
	}
	return nil
}
