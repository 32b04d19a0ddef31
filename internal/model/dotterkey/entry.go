package dotterkey

// Version is the version number of a key; zero means that the key is absent.
type Version int64

// Revision is the revision number of the whole store.
type Revision int64

// LeaseID identifies a lease of the store; empty means no lease.
type LeaseID string

// Entry is a key, its value and the version at which it was written.
type Entry struct {
	Key     string
	Value   []byte
	Version Version
	Lease   LeaseID `json:",omitempty"`
}
