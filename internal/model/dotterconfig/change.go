package dotterconfig

// MaxChanges is the maximum length of Document.Changes.
const MaxChanges = 64

// Change is one edit of the configuration.
type Change struct {
	Revision  int64 // revision that the edit produced
	ChangeID  string
	ChangedBy string   `json:",omitempty"`
	Items     []string // sorted names of the items it changed, such as "Team brokers"
}
