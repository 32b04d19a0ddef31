package dottermessage

// UsageAnswer is the answer to GET /v1/usage.
type UsageAnswer struct {
	Rows    []UsageRow
	Missing []string `json:",omitempty"` // shards whose owner could not be asked
}

// UsageRow is what one team used under one revision of the split.
type UsageRow struct {
	Partner          string
	Team             string
	Revision         int64   // configuration revision whose split applied
	SplitPercent     float64 // partner's share under that revision
	CoreSeconds      float64
	MemoryGBSeconds  float64
	AcceleratorHours float64
	Charge           float64 // core-seconds times the templates' cost weights
	Attempts         int64
}
