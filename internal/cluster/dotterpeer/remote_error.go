package dotterpeer

import "fmt"

// RemoteError is an error that the other entry host returned for a call.
type RemoteError struct {
	Host    string
	Method  string
	Message string
}

// Error implements error.
func (e *RemoteError) Error() string {
	return fmt.Sprintf("peer %s: %s: %s", e.Host, e.Method, e.Message)
}
