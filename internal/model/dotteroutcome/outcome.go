package dotteroutcome

// Outcome is the outcome of a request from the caller's point of view.
type Outcome string

// The outcomes of a request.
const (
	Done    Outcome = "Done"
	NotRun  Outcome = "NotRun"
	Unknown Outcome = "Unknown"
)

// Header is the HTTP header that carries the outcome in every answer to a caller.
const Header = "Dotter-Outcome"
