package dottermessage

import "github.com/dotterelusher/dotterelusher/internal/base/dotterclock"

// StatusAnswer is the answer to GET /v1/status: the state of the pool as one entry
// host sees it.
type StatusAnswer struct {
	Host          string
	FailureDomain string
	Region        string
	Revision      int64    // revision of the configuration in force; 0 if there is none yet
	NotReady      []string `json:",omitempty"` // reasons why the host does not accept requests
	Starts        string   // "Allowed", or the reason why task starts are refused in this failure domain
	EntryHosts    []EntryHostStatus
	Backends      []BackendStatus
	Shards        []ShardStatus
}

// EntryHostStatus is the state of another entry host as last received from it. For
// an unreachable host only Host and FailureDomain are set, from the host list.
type EntryHostStatus struct {
	Host          string
	FailureDomain string
	Reached       bool
	Revision      int64
	HeardAgo      dotterclock.Millis
	FreeSlots     int
	Leaving       bool
}

// BackendStatus is the state of a backend server in this host's failure domain.
type BackendStatus struct {
	Host    string
	Service string
	State   string
	Usable  int // slots this entry host may use
	Free    int // usable slots that are not in use
}

// ShardStatus is a summary of a task shard that this host owns.
type ShardStatus struct {
	Shard   string
	Epoch   int64
	Workers int
	Queued  int
	Running int
	Ended   int
}
