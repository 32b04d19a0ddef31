package dotterwire

// Headers of the platform's HTTP interface.
const (
	HeaderClient  = "Dotter-Client"  // name of the calling entry host
	HeaderNotRun  = "Dotter-Not-Run" // "true": the call or request had no effect
	HeaderLeaving = "Dotter-Leaving" // "true": this backend server is leaving
	HeaderRequest = "Dotter-Request" // ID of a caller's request to a backend server
)
