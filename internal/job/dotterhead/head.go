package dotterhead

import (
	"encoding/json"

	"github.com/rotisserie/eris"
)

// Head is the value of the head's key.
type Head struct {
	Host    string // the owner; empty if it has released the shard
	Address string // where the owner accepts calls of other entry hosts
	Epoch   int64  // incremented with each change of owner
	Commit  int64  // incremented with each commit of an epoch
}

// Released reports whether the shard has no owner.
func (h Head) Released() bool {
	return h.Host == ""
}

func decode(value []byte) (Head, error) {
	var h Head
	if err := json.Unmarshal(value, &h); err != nil {
		return Head{}, eris.Wrap(err, "head: cannot decode the stored value")
	}
	return h, nil
}

func (h Head) encode() []byte {
	value, err := json.Marshal(h)
	if err != nil {
		panic(err) // strings and numbers always encode
	}
	return value
}
