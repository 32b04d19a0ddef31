package dotterslot

// View is what a member knows of its failure domain's membership.
type View struct {
	Current Epoch
	Open    []Epoch  // earlier epochs of which some member may not have let go, ascending
	Gone    []Member // members proved gone, for whose acknowledgement nobody waits
}
