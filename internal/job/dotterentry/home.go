package dotterentry

import (
	"bytes"
	"encoding/json"

	"github.com/rotisserie/eris"
)

// ErrHomeInvalid means that the stored home of a job cannot be decoded.
var ErrHomeInvalid = eris.New("jobs: invalid home")

// Home is where a job is and whose it is.
type Home struct {
	Shard  string
	Tenant string // empty if the job belongs to none
}

// Value returns the value of the job's home key. Without a tenant it is the shard's name.
// Names of shards begin with a letter or a digit, so it is never taken for the other form.
func (h Home) Value() []byte {
	if h.Tenant == "" {
		return []byte(h.Shard)
	}
	value, err := json.Marshal(h)
	if err != nil {
		panic(err) // impossible for two strings
	}
	return value
}

// ParseHome decodes the value of a home key. Its error is ErrHomeInvalid.
func ParseHome(value []byte) (Home, error) {
	if !bytes.HasPrefix(value, []byte("{")) {
		return Home{Shard: string(value)}, nil
	}
	var h Home
	if err := json.Unmarshal(value, &h); err != nil {
		return Home{}, eris.Wrap(ErrHomeInvalid, err.Error())
	}
	if h.Shard == "" || h.Tenant == "" {
		return Home{}, eris.Wrap(ErrHomeInvalid, "no shard or no tenant")
	}
	return h, nil
}
