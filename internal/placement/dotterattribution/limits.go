package dotterattribution

// WorkerLimits limits the starts that may be made on a worker.
type WorkerLimits struct {
	Quarantined    bool
	Probe          bool // quarantined, but due for a probe with one task
	MaxUnconfirmed int  // largest number of concurrent unconfirmed starts
}
