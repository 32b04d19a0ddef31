package dotterwire

// Paths of the platform's host list.
const (
	PathHosts = "/hosts"  // GET: all rows of the list
	PathHost  = "/hosts/" // PUT or DELETE, followed by the host's name
)
