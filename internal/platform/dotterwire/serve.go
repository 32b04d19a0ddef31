package dotterwire

import (
	"encoding/json"
	"net/http"
)

// MaxRequestBytes is the maximum size of a request body that a server of the platform reads.
const MaxRequestBytes = 16 << 20

// Read decodes the JSON body of request into value. If that fails, it answers with
// status 400 and returns false.
func Read(w http.ResponseWriter, request *http.Request, value any) bool {
	decoder := json.NewDecoder(http.MaxBytesReader(w, request.Body, MaxRequestBytes))
	if err := decoder.Decode(value); err != nil {
		Refuse(w, http.StatusBadRequest)
		return false
	}
	return true
}

// Answer sends value as JSON.
func Answer(w http.ResponseWriter, value any) {
	content, err := json.Marshal(value)
	if err != nil {
		panic("platform: cannot encode answer: " + err.Error())
	}
	w.Header().Set("Content-Type", "application/json")
	w.Write(content) // an error means that the client is gone
}

// Refuse answers with status and the header that says that the call had no effect.
func Refuse(w http.ResponseWriter, status int) {
	w.Header().Set(HeaderNotRun, "true")
	w.WriteHeader(status)
}
