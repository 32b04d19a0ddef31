package dotterkey

// MaxTransactionEntries is the maximum of Transaction.Size.
const MaxTransactionEntries = 32 // limit set by the platform

// Transaction is an atomic change of several keys.
type Transaction struct {
	Expect  map[string]Version // required versions by key; zero means absent
	Puts    []Entry            // keys to write; their Version is ignored
	Deletes []string
}

// Size returns the number of expectations, puts and deletes.
func (t Transaction) Size() int {
	return len(t.Expect) + len(t.Puts) + len(t.Deletes)
}
