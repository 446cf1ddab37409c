package node

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"mangohill.example/mangohill/internal/tcpopt"
	"mangohill.example/mangohill/kind"
	"mangohill.example/mangohill/proxy"
)

const (
	// maxHeaderBytes bounds the header of a request. Above twice that size net/http
	// closes the connection without a problem document.
	maxHeaderBytes = 64 << 10
	// readHeaderTimeout bounds the time for reading a request's header.
	readHeaderTimeout = 5 * time.Second
	// idleTimeout bounds the time between two requests on a connection.
	idleTimeout = 2 * time.Minute
)

// listener is an HTTP server on one address.
type listener struct {
	name   string
	server *http.Server
	socket net.Listener
	done   chan struct{}
}

// listen binds address and serves handler on it.
func listen(name, address string, handler http.Handler) (*listener, error) {
	socket, err := tcpopt.ListenConfig().Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, kind.Errorf(kind.BadSettings, "listen.%s: %w", name, err)
	}
	l := &listener{
		name:   name,
		socket: socket,
		done:   make(chan struct{}),
		server: &http.Server{
			Handler:           limitHeader(handler),
			MaxHeaderBytes:    2 * maxHeaderBytes,
			ReadHeaderTimeout: readHeaderTimeout,
			IdleTimeout:       idleTimeout,
		},
	}
	go l.serve()
	return l, nil
}

func (l *listener) serve() {
	defer close(l.done)
	err := l.server.Serve(l.socket)
	if !errors.Is(err, http.ErrServerClosed) {
		_ = l.server.Close() // The listener has failed; open connections are closed too.
	}
}

// shutdown stops accepting and waits for the requests in flight until ctx ends.
func (l *listener) shutdown(ctx context.Context) error {
	err := l.server.Shutdown(ctx)
	if err != nil {
		_ = l.server.Close() // ctx ended before the requests in flight finished.
	}
	<-l.done
	return err
}

// limitHeader refuses requests whose header exceeds maxHeaderBytes.
func limitHeader(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		size := headerBytes(r)
		if size <= maxHeaderBytes {
			next.ServeHTTP(w, r)
			return
		}
		w.Header().Set(proxy.HeaderOutcome, string(kind.OutcomeNotRun))
		kind.WriteProblem(w, kind.Errorf(kind.HeaderTooLarge, "the header has %d bytes, the limit is %d", size, maxHeaderBytes))
	})
}

// headerBytes returns the size of a request's header as HTTP/1.1 writes it,
// without the method and the version.
func headerBytes(r *http.Request) int {
	size := len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value) + len(": \r\n")
		}
	}
	return size
}
