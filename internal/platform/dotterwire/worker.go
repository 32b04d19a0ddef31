package dotterwire

// Paths of a worker's calls.
const (
	PathStart      = "/start"
	PathRenewal    = "/renew"
	PathCheckpoint = "/checkpoint"
	PathThrottle   = "/throttle"
	PathStop       = "/stop"
	PathInventory  = "/inventory"
)

// InventoryCall is the request body of an inventory call.
type InventoryCall struct {
	Shard string
	Epoch int64
}
