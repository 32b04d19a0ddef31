package dotterhead

import (
	"encoding/json"

	"github.com/rotisserie/eris"
)

// Head is the content of the head's key.
type Head struct {
	Host    string // owner; empty: it has let go
	Address string // of the owner's link
	Epoch   int64  // rises with each change of owner
	Commit  int64  // rises with each commit of one epoch
}

// Released reports whether the shard has no owner.
func (h Head) Released() bool {
	return h.Host == ""
}

func decode(value []byte) (Head, error) {
	var h Head
	if err := json.Unmarshal(value, &h); err != nil {
		return Head{}, eris.Wrap(err, "head: not as this program writes it")
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
