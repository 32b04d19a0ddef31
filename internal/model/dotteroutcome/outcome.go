package dotteroutcome

// Outcome says what became of a request, seen from its caller.
type Outcome string

// The outcomes of a request.
const (
	Done    Outcome = "Done"
	NotRun  Outcome = "NotRun"
	Unknown Outcome = "Unknown"
)

// Header is the HTTP header that carries the outcome in every answer to a caller.
const Header = "Dotter-Outcome"
