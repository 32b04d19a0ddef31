package dotterkey

import "github.com/rotisserie/eris"

// Limits set by the platform.
const (
	MaxTransactionEntries = 32      // of Transaction.Size
	MaxKeyBytes           = 200     // of a key
	MaxValueBytes         = 1 << 20 // of a value
)

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

// Check returns an error that names the first entry by which the transaction exceeds a limit.
func (t Transaction) Check() error {
	if n := t.Size(); n > MaxTransactionEntries {
		return eris.Errorf("transaction of %d entries, at most %d are allowed", n, MaxTransactionEntries)
	}
	for _, e := range t.Puts {
		switch {
		case len(e.Key) > MaxKeyBytes:
			return eris.Errorf("key %.40q... of %d bytes, at most %d are allowed", e.Key, len(e.Key), MaxKeyBytes)
		case len(e.Value) > MaxValueBytes:
			return eris.Errorf("value of %q has %d bytes, at most %d are allowed", e.Key, len(e.Value), MaxValueBytes)
		}
	}
	return nil
}
