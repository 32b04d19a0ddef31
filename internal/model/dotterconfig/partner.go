package dotterconfig

// Partner is an organization that shares the pool.
type Partner struct {
	Name         string
	SharePercent float64 // share of the pool's cost and capacity, 0 to 100; all partners' shares sum to 100
}
