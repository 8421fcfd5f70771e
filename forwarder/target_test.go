package forwarder

import (
	"bufio"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// FuzzNativeTarget sends arbitrary bytes as the target of a request. The service must be the
// first segment as sent, and the request to the backend server must have the rest as sent.
func FuzzNativeTarget(f *testing.F) {
	for _, target := range []string{
		"/fees/a%2Fb|c", "/f%65es/%41^", "/fees", "/fees?", "/fees?x=|", "//fees/a", "/fees/\xff?\xfe", "http://any.example/fees/a|b", "*",
	} {
		f.Add(target)
	}
	f.Fuzz(func(t *testing.T, target string) {
		if strings.ContainsAny(target, "\r\n") {
			return
		}
		r, err := http.ReadRequest(bufio.NewReader(strings.NewReader("GET " + target + " HTTP/1.1\r\nHost: any.example\r\n\r\n")))
		if err != nil {
			return
		}
		arrival, rest, err := nativeCallers{}.ParseRequest(r)
		if err != nil || !strings.HasPrefix(target, "/") {
			return
		}
		want := target[1+len(arrival.Service):]
		if !strings.HasPrefix(want, "/") {
			want = "/" + want
		}
		qt.Assert(t, strings.HasPrefix(target[1:], string(arrival.Service)), qt.IsTrue)
		qt.Assert(t, rest, qt.Equals, want)
		call := &hostedCall{forwarder: &Forwarder{}, opening: &opening{Method: http.MethodGet, Host: "any.example", Target: rest}}
		q, err := call.newBackendRequest(nil)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, strings.HasPrefix(string(q.appendHead(nil)), "GET "+want+" HTTP/1.1\r\n"), qt.IsTrue)
	})
}
