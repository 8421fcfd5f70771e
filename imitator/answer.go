package imitator

import (
	"encoding/json"
	"net/http"

	"waxwingseam.example/waxwingseam"
)

// TagHeader is the header with the tag that a caller chose for a request. The
// stand-in repeats it in the answer and copies it to the child calls.
const TagHeader = "Request-Tag"

// Answer is the JSON body of a stand-in's successful response.
type Answer struct {
	Server waxwingseam.ServerName `json:"server"`
	Path   string                 `json:"path"`
	Tag    string                 `json:"tag"`
	// BodyDigest is the xxhash of the request's body.
	BodyDigest uint64 `json:"body-digest"`
}

func (i *Imitator) writeAnswer(w http.ResponseWriter, r *http.Request, digest uint64) {
	data, err := json.Marshal(Answer{
		Server:     i.config.Name,
		Path:       r.URL.Path,
		Tag:        r.Header.Get(TagHeader),
		BodyDigest: digest,
	})
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	i.behavior.setStatementFields(w.Header())
	_, _ = w.Write(data)
}
