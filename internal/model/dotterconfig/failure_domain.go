package dotterconfig

// FailureDomain is a part of the pool that fails, or is taken out of service, as a whole.
type FailureDomain struct {
	Name   string
	Region string
	Out    bool `json:",omitempty"` // whether operators have taken it out of service
	Shards int  `json:",omitempty"` // number of task shards, 1 to 64; 0 means 3
}

// DefaultShards is the number of task shards of a failure domain whose Shards is 0.
const DefaultShards = 3

// ShardCount returns the number of task shards of f.
func (f FailureDomain) ShardCount() int {
	if f.Shards == 0 {
		return DefaultShards
	}
	return f.Shards
}
