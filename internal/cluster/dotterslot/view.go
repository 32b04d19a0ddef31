package dotterslot

// View is the membership of a failure domain as known to one member.
type View struct {
	Current Epoch
	Open    []Epoch  // earlier epochs that some member may not have released, ascending
	Gone    []Member // members proved gone, whose acknowledgements are not needed
}
