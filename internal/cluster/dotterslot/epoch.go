package dotterslot

// Epoch is a numbered member list of a failure domain.
type Epoch struct {
	Number  int64
	Members []Member
}

// Has reports whether e contains m.
func (e Epoch) Has(m Member) bool {
	for _, o := range e.Members {
		if o == m {
			return true
		}
	}
	return false
}
