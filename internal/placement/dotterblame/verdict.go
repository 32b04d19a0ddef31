package dotterblame

// Verdict says what a worker may be given.
type Verdict struct {
	Quarantined bool
	Probe       bool // quarantined, but one task may probe it now
	Unconfirmed int  // most starts without progress that it may have at a time
}
