package dotterkey

// Changes is the result of a watch: the changes between two revisions.
type Changes struct {
	Revision Revision // revision of the store up to which the changes are complete
	Entries  []Entry  // keys written, each with its latest value
	Deleted  []string // keys deleted, including those whose lease expired
}
