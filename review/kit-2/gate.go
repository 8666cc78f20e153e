package main

import (
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"strings"
	"sync"
)

// storeGate passes the calls of one process to the store, or turns them away as a store does that has no room.
type storeGate struct {
	server *httptest.Server

	mu     sync.Mutex
	closed bool
	// changed is closed when the gate closes, which cuts the watches that wait.
	changed chan struct{}
}

func newStoreGate(store string) *storeGate {
	g := &storeGate{changed: make(chan struct{})}
	proxy := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: store})
	proxy.ErrorHandler = func(w http.ResponseWriter, _ *http.Request, _ error) { w.WriteHeader(http.StatusServiceUnavailable) }
	g.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		g.mu.Lock()
		closed, changed := g.closed, g.changed
		g.mu.Unlock()
		if closed {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if !strings.HasSuffix(r.URL.Path, "watch") {
			proxy.ServeHTTP(w, r)
			return
		}
		ctx, cancel := contextUntil(r.Context(), changed)
		defer cancel()
		proxy.ServeHTTP(w, r.WithContext(ctx))
	}))
	return g
}

func (g *storeGate) address() string { return strings.TrimPrefix(g.server.URL, "http://") }

// set opens or closes the gate.
func (g *storeGate) set(closed bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = closed
	if closed {
		close(g.changed)
		g.changed = make(chan struct{})
	}
}

func (g *storeGate) close() {
	g.server.CloseClientConnections()
	g.server.Close()
}
