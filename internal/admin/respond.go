package admin

import "net/http"

// Respond writes a value as JSON, or an error in the form that Client reads.
func Respond(w http.ResponseWriter, v any, err error) {
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, v)
}
