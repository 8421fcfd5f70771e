package parser_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/google/go-cmp/cmp/cmpopts"
	"golang.org/x/net/http/httpguts"

	"waxwingseam.example/waxwingseam/parser"
)

// FuzzHeadReadOtherwise guards against heads that are understood otherwise than by the
// standard library, by which requests could be smuggled past a node.
func FuzzHeadReadOtherwise(f *testing.F) {
	for _, text := range []string{
		"GET / HTTP/1.1\r\nHost: a\r\n\r\n",
		"GET /a%2Fb|c?d HTTP/1.1\nhost: a\naccept: \t x \nACCEPT:y\nX:\n\n",
		"POST http://b/ HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\ncontent-length: 3\r\nConnection: x, close\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: Chunked\r\nContent-Length: 4\r\nTrailer: X\r\n\r\n",
		"POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\nContent-Length: 4\r\nConnection: keep-alive\r\n\r\n",
		"CONNECT a:443 HTTP/1.1\r\nHost: a\r\n\r\n",
		"GET / HTTP/1.1\r\nHost: a\r\nX: b\r\n c\r\n\r\n",
		"GET / HTTP/1.1\r\nHost: a\r\nX : b\r\nContent-Length: +1\r\n\r\n",
	} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, head []byte) {
		r, err := parser.Parse(head)
		if err != nil {
			return
		}
		want, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(head)))
		qt.Assert(t, err, qt.IsNil)
		if r.Header.Get("Pragma") == "no-cache" {
			// The standard library adds a field then.
			delete(want.Header, "Cache-Control")
			delete(r.Header, "Cache-Control")
		}
		if r.ContentLength < 0 {
			delete(want.Header, "Trailer")
		}
		qt.Assert(t, r.Header, qt.DeepEquals, want.Header)
		qt.Assert(t, r.URL, qt.DeepEquals, want.URL)
		type rest struct {
			Method, Target, Host, Proto string
			Length                      int64
			Close                       bool
		}
		qt.Assert(t, rest{r.Method, r.RequestURI, r.Host, r.Proto, r.ContentLength, r.Close}, qt.Equals,
			rest{want.Method, want.RequestURI, want.Host, want.Proto, want.ContentLength, want.Close})
	})
}

// FuzzChunksReadOtherwise guards against bodies in chunks that end elsewhere than for the
// standard library, so that a part of them would be taken as a request.
func FuzzChunksReadOtherwise(f *testing.F) {
	for _, text := range []string{
		"0\r\n\r\nGET /",
		"3;a=b\r\nabc\r\n0\r\nX: y\r\n\r\nGET /",
		"3\nabc\n0\n\nGET /",
		"ffffffffffffffff\r\nabc",
		"3\r\nabcd\r\n0\r\n\r\n",
		"0\r\nX\r\n",
	} {
		f.Add([]byte(text))
	}
	head := "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
	f.Fuzz(func(t *testing.T, text []byte) {
		r, err := parser.Parse([]byte(head))
		qt.Assert(t, err, qt.IsNil)
		reader := bufio.NewReader(bytes.NewReader(text))
		body, err := io.ReadAll(parser.NewBody(r, reader))
		if err != nil {
			return
		}
		rest, _ := io.ReadAll(reader)
		wantReader := bufio.NewReader(io.MultiReader(strings.NewReader(head), bytes.NewReader(text)))
		want, err := http.ReadRequest(wantReader)
		qt.Assert(t, err, qt.IsNil)
		wantBody, err := io.ReadAll(want.Body)
		if err != nil {
			// The standard library also parses the fields of the trailer section.
			return
		}
		wantRest, _ := io.ReadAll(wantReader)
		qt.Assert(t, body, qt.DeepEquals, wantBody)
		qt.Assert(t, string(rest), qt.Equals, string(wantRest))
	})
}

// responseHeads are heads of responses that are understood, or not, for different reasons.
var responseHeads = []string{
	"HTTP/1.1 200 OK\r\nContent-Length: 3\r\ncontent-length: 3\r\nX:\r\nx: \t y \r\n\r\n",
	"HTTP/1.1 200\nConnection: close\n\n",
	"HTTP/1.0 200 OK\r\nConnection: keep-alive\r\nContent-Length: 0\r\n\r\n",
	"HTTP/1.0 200 OK\r\n\r\n",
	"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
	"HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\nContent-Length: 4\r\nTrailer: X\r\n\r\n",
	"HTTP/1.1 204 No Content\r\nContent-Length: 4\r\n\r\n",
	"HTTP/1.1 304 Not Modified\r\nTransfer-Encoding: chunked\r\n\r\n",
	"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n",
	"HTTP/1.1 200 OK\r\nX: a\r\n\tb\r\n  c\r\n\r\n",
	"HTTP/1.1 000 OK\r\nX : b\r\nContent-Length: +1\r\n\r\n",
	"HTTP/2.0 200 OK\r\nContent-Length: 1, 1\r\n\r\n",
}

// FuzzResponseHeadReadOtherwise guards against heads of responses that are understood otherwise
// than by the standard library, by which a client would take another body than a node does.
func FuzzResponseHeadReadOtherwise(f *testing.F) {
	for _, text := range responseHeads {
		f.Add([]byte(text), "GET")
		f.Add([]byte(text), "HEAD")
	}
	f.Fuzz(func(t *testing.T, head []byte, method string) {
		r, err := parser.ParseResponse(head, method)
		if err != nil {
			return
		}
		want, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(head)), &http.Request{Method: method})
		qt.Assert(t, err, qt.IsNil)
		_ = want.Body.Close()
		if method == http.MethodHead && want.TransferEncoding != nil {
			// The standard library takes the length that the encoding overrides.
			delete(want.Header, "Content-Length")
			want.ContentLength = -1
		}
		for _, header := range []http.Header{r.Header, want.Header} {
			if header.Get("Pragma") == "no-cache" {
				// The standard library adds a field then.
				delete(header, "Cache-Control")
			}
			// The standard library removes it from some heads.
			delete(header, "Connection")
			delete(header, "Trailer")
			for _, values := range header {
				for i, v := range values {
					// The blanks of a folded value differ.
					values[i] = strings.Join(strings.Fields(v), " ")
				}
			}
		}
		qt.Assert(t, r.Header, qt.DeepEquals, want.Header)
		framing := parser.FramingNone
		switch {
		case want.Body == http.NoBody:
		case want.TransferEncoding != nil:
			framing = parser.FramingChunks
		case want.ContentLength >= 0:
			framing = parser.FramingLength
		default:
			framing = parser.FramingClose
		}
		qt.Assert(t, *r, qt.CmpEquals(cmpopts.IgnoreFields(*r, "Header")), parser.Response{
			Status: want.StatusCode, Length: want.ContentLength, Framing: framing, Close: want.Close,
		})
	})
}

// FuzzValidResponseHeadIsRefused guards against heads of responses that keep the protocol, as
// far as the standard library tells, and that are not understood.
func FuzzValidResponseHeadIsRefused(f *testing.F) {
	for _, text := range responseHeads {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, head []byte) {
		reader := bufio.NewReader(bytes.NewReader(head))
		r, err := http.ReadResponse(reader, &http.Request{Method: http.MethodGet})
		if err != nil {
			return
		}
		_ = r.Body.Close()
		if rest, _ := io.ReadAll(reader); len(rest) > 0 || r.ContentLength > 0 || r.TransferEncoding != nil {
			return
		}
		if _, err := parser.ParseResponse(head, http.MethodGet); keepsProtocol(r, string(head)) {
			qt.Assert(t, err, qt.IsNil)
		}
	})
}

// keepsProtocol reports whether a head that the standard library understands keeps the protocol.
func keepsProtocol(r *http.Response, head string) bool {
	for name := range r.Header {
		if !httpguts.ValidHeaderFieldName(name) {
			return false
		}
	}
	control := func(c rune) bool { return c < ' ' && c != '\t' || c == 0x7f }
	for line := range strings.Lines(head) {
		if strings.ContainsFunc(strings.TrimSuffix(strings.TrimSuffix(line, "\n"), "\r"), control) {
			return false
		}
	}
	encoded := strings.Contains(strings.ToLower(head), "transfer-encoding")
	return r.ProtoMajor == 1 && (r.ProtoMinor > 0 || !encoded) && r.StatusCode >= 100
}

// TestAllocationPerField guards against heads of many short fields that cost many times
// their length.
func TestAllocationPerField(t *testing.T) {
	count := func(fields int) float64 {
		var b strings.Builder
		b.WriteString("GET / HTTP/1.1\r\nHost: a\r\n")
		for i := range fields {
			fmt.Fprintf(&b, "x%c%c: y\r\n", 'a'+i/26, 'a'+i%26)
		}
		head := []byte(b.String() + "\r\n")
		return testing.AllocsPerRun(100, func() {
			if _, err := parser.Parse(head); err != nil {
				t.Fatal(err)
			}
		})
	}
	// A larger map takes some more allocations.
	qt.Assert(t, count(200) <= count(20)+20, qt.IsTrue, qt.Commentf("%v allocations, %v with 20 fields", count(200), count(20)))
}
