package dotterhead

// Candidate is a host that may own shards.
type Candidate struct {
	Host          string
	Address       string // where it accepts calls of other entry hosts
	FailureDomain string
	Weak          bool // should own a shard only if no stronger host of its failure domain does
}
