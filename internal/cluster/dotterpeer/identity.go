package dotterpeer

// Identity identifies the process of an entry host. It does not change while the
// process runs.
type Identity struct {
	Name          string
	FailureDomain string
	Incarnation   int64  // higher for each new process of the same name
	Address       string // IP:port on which the process accepts links
	CallerAddress string // IP:port of the callers' API
}
