package dotterconfig

// MaxChanges is the number of changes that a Document remembers.
const MaxChanges = 64

// Change is one edit of the configuration.
type Change struct {
	Revision  int64 // that the edit made
	ChangeID  string
	ChangedBy string   `json:",omitempty"`
	Items     []string // what it touched, such as "Team brokers", sorted
}
