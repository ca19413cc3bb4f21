package handler

import (
	"encoding/json"
	"net/http"
)

func answer[V any](w http.ResponseWriter, view V, err error) {
	if err != nil {
		WriteError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, view)
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// An operator that has left does not need the answer.
	_ = json.NewEncoder(w).Encode(body)
}
