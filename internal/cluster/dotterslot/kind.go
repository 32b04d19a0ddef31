package dotterslot

// Kind says what is shared out.
type Kind uint8

// The kinds of shares.
const (
	KindSlot       Kind = 1
	KindConnection Kind = 2
)
