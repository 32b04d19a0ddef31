package dotterconfig

// Partner is a member of the joint venture.
type Partner struct {
	Name         string
	SharePercent float64 // part of the pool's cost and capacity, 0 to 100; all partners' sum to 100
}
