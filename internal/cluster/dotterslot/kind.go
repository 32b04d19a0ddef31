package dotterslot

// Kind is a kind of resource that a server offers.
type Kind uint8

// Kinds of resources.
const (
	KindSlot       Kind = 1
	KindConnection Kind = 2
)
