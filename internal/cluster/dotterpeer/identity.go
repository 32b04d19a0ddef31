package dotterpeer

// Identity is what stays the same about an entry host's process while it runs.
type Identity struct {
	Name          string
	FailureDomain string
	Incarnation   int64  // differs between any two processes of the same name, and rises
	Address       string // IP:port at which the process accepts links
	CallerAddress string // IP:port of its callers' API
}
