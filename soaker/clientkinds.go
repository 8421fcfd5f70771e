package soaker

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
)

// The lengths that untrusted clients send.
const (
	manyFields       = 3000
	fieldHeads       = 20
	bodyLength       = 1 << 20
	pieceLength      = 4 << 10
	hugeBodyLength   = 4 << 30
	unreadRequests   = 400
	slowReadBytes    = 40
	trickleInterval  = 20 * time.Millisecond
	slowReadInterval = 50 * time.Millisecond
	maxHeadLength    = 16 << 10
	http2Streams     = 100
)

// ClientKind is a behaviour of untrusted clients.
type ClientKind struct {
	Name string
	// play behaves so on one connection until the context is done or the connection is
	// closed.
	play func(ctx context.Context, conn net.Conn, target clientTarget)
}

// clientTarget is what clients of a kind ask for.
type clientTarget struct {
	path string
	// ready is the address of the readiness checks.
	ready netip.AddrPort
	// key is the key of a client account; empty for none.
	key string
	// random gives the choices of a mix.
	random *rand.Rand
}

// clientKinds returns the behaviours of untrusted clients.
func clientKinds() []ClientKind {
	return []ClientKind{
		{"heads-of-fields", playFields},
		{"body-without-end", playBody(bodyLength)},
		{"body-in-pieces", playBody(pieceLength)},
		{"body-in-chunks", playChunks},
		{"answers-unread", playUnread},
		{"answers-read-slowly", playSlowReading},
		{"byte-by-byte", playTrickle},
		{"huge-body", playHugeBody},
		{"body-without-route", playElsewhere("/nowhere")},
		{"body-to-readiness", playReadiness},
		{"head-without-end", playHead},
		{"largest-head-slowly", playLargestHead},
		{"silent", func(ctx context.Context, _ net.Conn, _ clientTarget) { <-ctx.Done() }},
		{"chunks-of-one-byte", playTinyChunks},
		{"http2-streams-unread", playHTTP2},
		{"body-in-time", playWholeBody},
	}
}

// start returns the start of the head of a request.
func (t clientTarget) start(method, path string) string {
	start := method + " " + path + " HTTP/1.1\r\nHost: a\r\n"
	if t.key != "" {
		start += "Authorization: Bearer " + t.key + "\r\n"
	}
	return start
}

// post returns the head of a request with a body.
func (t clientTarget) post(path, length string) string {
	return t.start("POST", path) + length + "\r\n\r\n"
}

func contentLength(n int64) string {
	return fmt.Sprintf("Content-Length: %d", n)
}

// drain reads what is answered until the connection ends or the context is done.
func drain(ctx context.Context, conn net.Conn) {
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	_, _ = io.Copy(io.Discard, conn)
}

// shortFields returns many short header fields. They are made once, so that the clients take
// little of the processor from ordinary callers beside them.
var shortFields = sync.OnceValue(func() string {
	var b strings.Builder
	for i := range manyFields {
		fmt.Fprintf(&b, "%x:\r\n", i)
	}
	return b.String() + "\r\n"
})

func playFields(ctx context.Context, conn net.Conn, t clientTarget) {
	for range fieldHeads {
		_, err := io.WriteString(conn, t.start("GET", t.path)+shortFields())
		if err != nil {
			break
		}
	}
	drain(ctx, conn)
}

// playBody sends a body in pieces, all but its last byte.
func playBody(piece int) func(context.Context, net.Conn, clientTarget) {
	return func(ctx context.Context, conn net.Conn, t clientTarget) {
		sendBody(ctx, conn, t, piece)
	}
}

func sendBody(ctx context.Context, conn net.Conn, t clientTarget, piece int) {
	_, err := io.WriteString(conn, t.post(t.path, contentLength(bodyLength)))
	data := make([]byte, piece)
	for left := bodyLength - 1; left > 0 && err == nil; left -= piece {
		_, err = conn.Write(data[:min(left, piece)])
	}
	drain(ctx, conn)
}

func playElsewhere(path string) func(context.Context, net.Conn, clientTarget) {
	return func(ctx context.Context, conn net.Conn, t clientTarget) {
		t.path = path
		sendBody(ctx, conn, t, bodyLength)
	}
}

func playReadiness(ctx context.Context, _ net.Conn, t clientTarget) {
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", t.ready.String())
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	sendBody(ctx, conn, clientTarget{path: "/v1/readiness"}, bodyLength)
}

func playChunks(ctx context.Context, conn net.Conn, t clientTarget) {
	_, err := io.WriteString(conn, t.post(t.path, "Transfer-Encoding: chunked"))
	data := make([]byte, pieceLength)
	for left := bodyLength; left > 0 && err == nil; left -= pieceLength {
		_, err = fmt.Fprintf(conn, "%x\r\n%s\r\n", len(data), data)
	}
	drain(ctx, conn)
}

func playTinyChunks(ctx context.Context, conn net.Conn, t clientTarget) {
	_, err := io.WriteString(conn, t.post(t.path, "Transfer-Encoding: chunked"))
	data := strings.Repeat("1\r\nx\r\n", pieceLength)
	for range bodyLength / pieceLength {
		if err != nil {
			break
		}
		_, err = io.WriteString(conn, data)
	}
	drain(ctx, conn)
}

func playUnread(ctx context.Context, conn net.Conn, t clientTarget) {
	_, _ = io.WriteString(conn, strings.Repeat(t.start("GET", t.path)+"\r\n", unreadRequests))
	<-ctx.Done()
}

func playSlowReading(ctx context.Context, conn net.Conn, t clientTarget) {
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	data := make([]byte, slowReadBytes)
	for {
		if _, err := io.WriteString(conn, t.start("GET", t.path)+"\r\n"); err != nil {
			return
		}
		for range 5 {
			time.Sleep(slowReadInterval)
			if _, err := conn.Read(data); err != nil {
				return
			}
		}
	}
}

// trickle sends a text byte by byte.
func trickle(ctx context.Context, conn net.Conn, text string) {
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	for i := range len(text) {
		time.Sleep(trickleInterval)
		if _, err := io.WriteString(conn, text[i:i+1]); err != nil {
			return
		}
	}
	<-ctx.Done()
}

func playTrickle(ctx context.Context, conn net.Conn, t clientTarget) {
	_, _ = io.WriteString(conn, t.post(t.path, contentLength(bodyLength)))
	trickle(ctx, conn, strings.Repeat("x", bodyLength))
}

func playHead(ctx context.Context, conn net.Conn, t clientTarget) {
	_, _ = io.WriteString(conn, t.start("GET", t.path)+"X: y")
	drain(ctx, conn)
}

func playLargestHead(ctx context.Context, conn net.Conn, t clientTarget) {
	head := t.start("GET", t.path) + "X: "
	_, _ = io.WriteString(conn, head+strings.Repeat("y", maxHeadLength-len(head)-100))
	trickle(ctx, conn, strings.Repeat("y", maxHeadLength))
}

func playHugeBody(ctx context.Context, conn net.Conn, t clientTarget) {
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	_, err := io.WriteString(conn, t.post(t.path, contentLength(hugeBodyLength)))
	data := make([]byte, pieceLength)
	for err == nil {
		_, err = conn.Write(data)
	}
}

// playWholeBody sends whole requests with bodies of 1 MB, one after another.
func playWholeBody(ctx context.Context, conn net.Conn, t clientTarget) {
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	reader := bufio.NewReader(conn)
	data := make([]byte, bodyLength)
	for {
		if _, err := io.WriteString(conn, t.post(t.path, contentLength(bodyLength))); err != nil {
			return
		}
		if _, err := conn.Write(data); err != nil {
			return
		}
		if _, err := reader.ReadString('}'); err != nil {
			return
		}
		time.Sleep(time.Second)
	}
}

// playHTTP2 opens many streams whose bodies don't end, and reads nothing.
func playHTTP2(ctx context.Context, conn net.Conn, t clientTarget) {
	_, _ = io.WriteString(conn, http2.ClientPreface)
	framer := http2.NewFramer(conn, conn)
	_ = framer.WriteSettings()
	var b strings.Builder
	encoder := hpack.NewEncoder(&b)
	for _, f := range []hpack.HeaderField{
		{Name: ":method", Value: "POST"},
		{Name: ":scheme", Value: "http"},
		{Name: ":path", Value: t.path},
		{Name: ":authority", Value: "a"},
	} {
		_ = encoder.WriteField(f)
	}
	if t.key != "" {
		_ = encoder.WriteField(hpack.HeaderField{Name: "authorization", Value: "Bearer " + t.key, Sensitive: true})
	}
	data := make([]byte, pieceLength)
	for n := range uint32(http2Streams) {
		id := 2*n + 1
		if framer.WriteHeaders(http2.HeadersFrameParam{StreamID: id, BlockFragment: []byte(b.String()), EndHeaders: true}) != nil ||
			framer.WriteData(id, false, data) != nil {
			break
		}
	}
	<-ctx.Done()
}

// playMix behaves in a way that the seed decides.
func playMix(ctx context.Context, conn net.Conn, t clientTarget) {
	kinds := clientKinds()
	kinds[t.random.IntN(len(kinds))].play(ctx, conn, t)
}

// findKind returns the kind with a name, or the mix of all.
func findKind(name string) (ClientKind, error) {
	if name == "mix" {
		return ClientKind{Name: name, play: playMix}, nil
	}
	for _, k := range clientKinds() {
		if k.Name == name {
			return k, nil
		}
	}
	return ClientKind{}, trace.NotFound("no kind of clients is named %q", name)
}

// ClientKindNames returns the names of all behaviours, and of their mix.
func ClientKindNames() []string {
	var out []string
	for _, k := range clientKinds() {
		out = append(out, k.Name)
	}
	return append(out, "mix")
}
