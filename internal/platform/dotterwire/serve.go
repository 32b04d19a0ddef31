package dotterwire

import (
	"encoding/json"
	"net/http"
)

// RequestLimit is the largest request that a server of the platform reads, in bytes.
const RequestLimit = 16 << 20

// Read decodes the body of request into value, or answers with a bad request and returns false.
func Read(w http.ResponseWriter, request *http.Request, value any) bool {
	decoder := json.NewDecoder(http.MaxBytesReader(w, request.Body, RequestLimit))
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
		panic("platform: an answer can't be encoded: " + err.Error())
	}
	w.Header().Set("Content-Type", "application/json")
	w.Write(content) // a caller that is gone needs no answer
}

// Refuse answers with status and says that the call took no effect.
func Refuse(w http.ResponseWriter, status int) {
	w.Header().Set(HeaderNotRun, "true")
	w.WriteHeader(status)
}
