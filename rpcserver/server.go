// Package rpcserver serves net/rpc on a TCP listener and closes its connections
// on a stop.
package rpcserver

import (
	"context"
	"net"
	"net/rpc"
	"sync"

	"mangohill.example/mangohill/internal/tcpopt"
	"mangohill.example/mangohill/kind"
)

// Server accepts connections for a net/rpc server.
type Server struct {
	rpc      *rpc.Server
	listener net.Listener
	mu       sync.Mutex
	conns    map[net.Conn]struct{}
	closed   bool
	wait     sync.WaitGroup
}

// Listen binds address (host:port). Services are registered before Serve.
func Listen(address string) (*Server, error) {
	listener, err := tcpopt.ListenConfig().Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, kind.Errorf(kind.BadSettings, "listen on %s: %w", address, err)
	}
	return &Server{rpc: rpc.NewServer(), listener: listener, conns: make(map[net.Conn]struct{})}, nil
}

// RPC returns the server that services are registered with.
func (s *Server) RPC() *rpc.Server { return s.rpc }

// Address returns the bound address.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Serve accepts connections until Close.
func (s *Server) Serve() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		if !s.track(conn) {
			_ = conn.Close() // The server is stopping.
			return
		}
		go s.serveConn(conn)
	}
}

func (s *Server) serveConn(conn net.Conn) {
	defer s.wait.Done()
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
	s.wait.Add(1)
	return true
}

// Close stops accepting, closes all connections and waits for their goroutines.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	_ = s.listener.Close() // A second close is harmless.
	for conn := range s.conns {
		_ = conn.Close() // Calls under way end at the peer as unknown.
	}
	s.mu.Unlock()
	s.wait.Wait()
}
