package webserver

import (
	"encoding/json"
	"net/http"
)

// DecodeJSON reads the body of a call as one JSON value without unknown keys.
// It answers 400 and reports false when the body cannot be read.
func DecodeJSON(w http.ResponseWriter, r *http.Request, limit int64, into any) bool {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, limit))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}
