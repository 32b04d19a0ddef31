package dotterpeer

// PeerState is another entry host's identity and its state as last told.
type PeerState struct {
	Identity Identity
	State    State
}
