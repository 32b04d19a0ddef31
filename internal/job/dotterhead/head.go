package dotterhead

import (
	"encoding/json"

	"github.com/rotisserie/eris"

	"github.com/dotterelusher/dotterelusher/internal/model/dotterkey"
	"github.com/dotterelusher/dotterelusher/internal/model/dottervacancy"
)

// Head is the value of a head's key.
type Head struct {
	Host    string // the owner; empty if it has released the shard
	Address string // where the owner accepts calls of other entry hosts
	Epoch   int64  // incremented with each change of owner
	Commit  int64  // incremented with each commit of an epoch
	Sole    bool   `json:",omitempty"` // whether no earlier owner could send orders any more at this commit

	Vacancy dottervacancy.Vacancy // what the owner last published
}

// unreadableHost is the owner in place of a head that cannot be decoded.
const unreadableHost = "(unreadable)"

// Released reports whether the shard has no owner.
func (h Head) Released() bool {
	return h.Host == ""
}

// sameCommit reports whether both heads were written by the same commit.
func (h Head) sameCommit(other Head) bool {
	return h.Host == other.Host && h.Epoch == other.Epoch && h.Commit == other.Commit
}

func decode(value []byte) (Head, error) {
	var h Head
	if err := json.Unmarshal(value, &h); err != nil {
		return Head{}, eris.Wrap(err, "head: cannot decode the stored value")
	}
	return h, nil
}

// unreadable returns the head that stands for one that cannot be decoded. Its owner is
// unknown, and may be alive. Each epoch took at least one change of the key, so the epoch
// cannot exceed the version.
func unreadable(version dotterkey.Version) Head {
	return Head{Host: unreadableHost, Epoch: int64(version)}
}

func (h Head) encode() []byte {
	value, err := json.Marshal(h)
	if err != nil {
		panic(err) // strings and numbers always encode
	}
	return value
}
