// Package rpcserver serves net/rpc on a TCP listener and closes all connections at
// shutdown.
package rpcserver

import (
	"context"
	"errors"
	"net"
	"net/rpc"
	"sync"
	"time"

	"mangohill.example/mangohill/internal/tcpopt"
	"mangohill.example/mangohill/kind"
)

// acceptRetryDelay is the pause after a failed accept.
const acceptRetryDelay = 20 * time.Millisecond

// Server accepts connections for a net/rpc server.
type Server struct {
	rpc      *rpc.Server
	listener net.Listener
	mu       sync.Mutex
	conns    map[net.Conn]struct{}
	closed   bool
	handlers sync.WaitGroup
}

// Listen binds address (host:port). Services must be registered before Serve. An error
// is of kind BadSettings.
func Listen(address string) (*Server, error) {
	listener, err := tcpopt.ListenConfig().Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, kind.Errorf(kind.BadSettings, "listen on %s: %w", address, err)
	}
	return &Server{rpc: rpc.NewServer(), listener: listener, conns: make(map[net.Conn]struct{})}, nil
}

// Wrap replaces the listener, for example by one that limits connections. It must be
// called before Serve.
func (s *Server) Wrap(wrap func(net.Listener) net.Listener) { s.listener = wrap(s.listener) }

// RPC returns the net/rpc server with which services are registered.
func (s *Server) RPC() *rpc.Server { return s.rpc }

// Address returns the bound address.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Serve accepts and serves connections until Close is called. A failed accept is
// repeated.
func (s *Server) Serve() {
	for {
		conn, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			// The listener stays usable, for example once a descriptor is free again.
			time.Sleep(acceptRetryDelay)
			continue
		}
		if !s.track(conn) {
			_ = conn.Close() // The server is stopping.
			return
		}
		go s.serveConn(conn)
	}
}

func (s *Server) serveConn(conn net.Conn) {
	defer s.handlers.Done()
	s.rpc.ServeConn(conn)
	s.mu.Lock()
	delete(s.conns, conn)
	s.mu.Unlock()
}

func (s *Server) track(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.conns[conn] = struct{}{}
	s.handlers.Add(1)
	return true
}

// Close closes the listener and all connections, and waits for the connections'
// goroutines.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	_ = s.listener.Close() // A repeated Close is harmless.
	for conn := range s.conns {
		_ = conn.Close() // Calls in progress end at the client as unknown_outcome.
	}
	s.mu.Unlock()
	s.handlers.Wait()
}
