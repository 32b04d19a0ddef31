package dotterwire

// Headers of the platform's HTTP interface.
const (
	HeaderClient  = "Dotter-Client"  // name of the entry host that calls
	HeaderNotRun  = "Dotter-Not-Run" // "true": the call or request took no effect
	HeaderLeaving = "Dotter-Leaving" // "true": this backend server is leaving
	HeaderRequest = "Dotter-Request" // names a caller's request to a backend server
)
