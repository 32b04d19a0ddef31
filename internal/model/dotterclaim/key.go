package dotterclaim

// Key is a caller's idempotency key with what it is unique in.
type Key struct {
	Team     string
	Template string
	Key      string
}
