package imitator

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"waxwingseam.example/waxwingseam"
	"waxwingseam.example/waxwingseam/parser"
)

// directTimeout is the timeout of one direct call to another stand-in.
const directTimeout = time.Second

// Peer is another stand-in that is called directly.
type Peer struct {
	Service waxwingseam.ServiceName
	Address netip.AddrPort
}

// Children returns the child calls of the first route that matches a path, or nil if
// no route matches.
func Children(routes []Route, path string) []Child {
	for _, v := range routes {
		if strings.HasPrefix(path, v.Prefix) {
			return v.Children
		}
	}
	return nil
}

// callChildren makes the child calls of a request in order, up to the first that
// fails. It reports whether all of them succeeded.
func (i *Imitator) callChildren(r *http.Request) bool {
	for _, c := range Children(i.config.Routes, r.URL.Path) {
		if !i.callChild(r, c) {
			return false
		}
	}
	return true
}

// callChild makes one child call, either through the node or directly with
// retries. It reports whether the call succeeded.
func (i *Imitator) callChild(r *http.Request, c Child) bool {
	if len(i.config.Direct) == 0 {
		return i.send(r.Context(), r, c, i.config.Outbound, "/"+string(c.Service)+c.Path)
	}
	for range 1 + i.config.Retries {
		if i.callDirectly(r, c) {
			return true
		}
	}
	return false
}

func (i *Imitator) callDirectly(r *http.Request, c Child) bool {
	ctx, cancel := context.WithTimeout(r.Context(), directTimeout)
	defer cancel()
	return i.send(ctx, r, c, i.pickPeer(c.Service), c.Path)
}

// pickPeer returns the address of a random peer of a service, or the zero address
// if the service has none.
func (i *Imitator) pickPeer(service waxwingseam.ServiceName) netip.AddrPort {
	var addresses []netip.AddrPort
	for _, p := range i.config.Direct {
		if p.Service == service {
			addresses = append(addresses, p.Address)
		}
	}
	if len(addresses) == 0 {
		return netip.AddrPort{}
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	return addresses[i.random.IntN(len(addresses))]
}

// send makes one call and reads its response to the end. It reports whether the
// response was complete, keeps the protocol and had a status below 400.
func (i *Imitator) send(ctx context.Context, r *http.Request, c Child, address netip.AddrPort, path string) bool {
	method := c.Method
	if method == "" {
		method = http.MethodGet
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address.String()+path, nil)
	if err != nil {
		return false
	}
	for _, name := range []string{ContextHeader, TagHeader} {
		if v := r.Header.Get(name); v != "" {
			request.Header.Set(name, v)
		}
	}
	response, err := i.client.Do(request)
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return false
	}
	return parser.CheckResponse(response) == nil && response.StatusCode < http.StatusBadRequest
}
