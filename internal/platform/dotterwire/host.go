package dotterwire

// Paths of the platform's host list.
const (
	PathHosts = "/hosts"  // GET: every row
	PathHost  = "/hosts/" // PUT or DELETE with the host's name behind it
)
