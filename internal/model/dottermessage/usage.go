package dottermessage

// UsageAnswer is the answer to GET /v1/usage.
type UsageAnswer struct {
	Rows    []UsageRow
	Missing []string `json:",omitempty"` // shards whose owner could not be reached, so that their usage is missing
}

// UsageRow is the usage of one team under one revision of the partners' shares.
type UsageRow struct {
	Partner          string
	Team             string
	Revision         int64   // configuration revision whose shares applied
	SplitPercent     float64 // the partner's share in that revision
	CoreSeconds      float64
	MemoryGBSeconds  float64
	AcceleratorHours float64
	Charge           float64 // core-seconds times the templates' cost weights
	Attempts         int64
}
