package dotterkey

// MaxTransactionEntries is the most entries, of all three kinds together, of a Transaction.
const MaxTransactionEntries = 32 // the platform's limit

// Transaction is a change of several keys that takes effect whole or not at all.
type Transaction struct {
	Expect  map[string]Version // versions at which the keys must be; zero: absent
	Puts    []Entry            // keys to write; their Version is not looked at
	Deletes []string
}

// Size returns the number of entries.
func (t Transaction) Size() int {
	return len(t.Expect) + len(t.Puts) + len(t.Deletes)
}
