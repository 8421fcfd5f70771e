package administrator

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestBytesAfterBodyAreIgnored guards against a request of an operator of which only a part is
// carried out, such as the first of two submissions.
func TestBytesAfterBodyAreIgnored(t *testing.T) {
	for body, valid := range map[string]bool{
		`{"n":1}`: true, "{\"n\":1}\n": true, `{"n":1}{"n":2}`: false, `{"n":1}x`: false, `{"n":1}]`: false,
	} {
		var got struct {
			N int `json:"n"`
		}
		w := httptest.NewRecorder()
		r := httptest.NewRequestWithContext(t.Context(), http.MethodPost, "/", strings.NewReader(body))
		qt.Assert(t, decode(w, r, &got), qt.Equals, valid, qt.Commentf(body))
		qt.Assert(t, w.Code == http.StatusBadRequest, qt.Equals, !valid)
	}
}
