package dotterpeer

// PeerState is the identity of another entry host and the last state received from
// it.
type PeerState struct {
	Identity Identity
	State    State
}
