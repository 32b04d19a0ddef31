package dotterkey

// Changes is what a watch saw between two revisions.
type Changes struct {
	Revision Revision // the store's revision up to which the changes are complete
	Entries  []Entry  // keys written, each with its newest value
	Deleted  []string // keys deleted or lapsed
}
