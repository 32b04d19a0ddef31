package dotterintake

// phase is how far a connection has come, in the order in which connections are closed in favour of others.
type phase int

const (
	lingering phase = iota // answered; the rest of the request is discarded
	header                 // waits for the header of a request
	idle                   // waits for another request
	body                   // waits for the body of a request
	work                   // the request is complete and being handled or answered
)
