package handler

import (
	"encoding/json"
	"net/http"
)

func writeResult[V any](w http.ResponseWriter, view V, err error) {
	if err != nil {
		WriteError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, view)
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A write error means that the operator has disconnected and does not need the response.
	_ = json.NewEncoder(w).Encode(body)
}
