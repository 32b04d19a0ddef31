package dottermessage

import "github.com/dotterelusher/dotterelusher/internal/base/dotterclock"

// StatusAnswer is the answer to GET /v1/status: what one entry host knows.
type StatusAnswer struct {
	Host          string
	FailureDomain string
	Region        string
	Revision      int64    // configuration in force; 0 before there is one
	NotReady      []string `json:",omitempty"` // why the host takes no requests
	Starts        string   // "Allowed", or why task starts are refused in this failure domain
	EntryHosts    []EntryHostStatus
	Backends      []BackendStatus
	Shards        []ShardStatus
}

// EntryHostStatus is another entry host as this one hears it; of one that can't
// be reached only name and failure domain are known, from the host list.
type EntryHostStatus struct {
	Host          string
	FailureDomain string
	Reached       bool
	Revision      int64
	HeardAgo      dotterclock.Millis
	FreeSlots     int
	Leaving       bool
}

// BackendStatus is a backend server of this host's failure domain.
type BackendStatus struct {
	Host    string
	Service string
	State   string
	Usable  int // slots that this entry host may use
	Free    int // of them not in use
}

// ShardStatus is a task shard that this host owns.
type ShardStatus struct {
	Shard   string
	Epoch   int64
	Workers int
	Queued  int
	Running int
	Ended   int
}
