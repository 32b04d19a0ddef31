package dotterkey

// Version numbers the changes of one key; zero means that the key is absent.
type Version int64

// Revision numbers the changes of the whole store.
type Revision int64

// LeaseID names a store lease; empty means none.
type LeaseID string

// Entry is a key, its value and the version at which it was written.
type Entry struct {
	Key     string
	Value   []byte
	Version Version
	Lease   LeaseID `json:",omitempty"`
}
