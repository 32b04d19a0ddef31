package dotterclaim

// Key is a caller's idempotency key and its scope.
type Key struct {
	Team     string
	Template string
	Key      string
}
