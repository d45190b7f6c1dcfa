// Package peer carries control messages between entries and agents over
// net/rpc, on one long-lived connection for each pair. net/rpc has no deadline, so
// a call that exceeds its timeout closes the connection.
package peer

import (
	"crypto/subtle"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/zeebo/errs"
	"google.golang.org/protobuf/proto"

	"cactustide/wire"
)

// Kind classifies the errors of this package.
type Kind string

// Kinds of errors.
const (
	KindListen  Kind = "listen"
	KindDial    Kind = "dial"
	KindTimeout Kind = "timeout"
	KindCall    Kind = "call"
	KindCodec   Kind = "codec"
)

// Error is the error of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error formats the operation, the kind and the cause.
func (e *Error) Error() string {
	return "peer: " + e.Op + ": " + string(e.Kind) + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

var (
	errTimeout = errs.New("no response within the timeout")
	errToken   = errs.New("wrong token")
)

const serviceName = "Agent"

// Envelope is the net/rpc argument and reply: an encoded message of package wire
// and the shared token of entries and agents.
type Envelope struct {
	Token string
	Data  []byte
}

// Handler handles the calls of entries.
type Handler struct {
	Sync   func(*wire.SyncRequest) *wire.SyncReply
	Cancel func(*wire.CancelRequest) *wire.CancelReply
}

// Service is the net/rpc receiver. Its methods are called by net/rpc.
type Service struct {
	token   string
	handler Handler
}

// Sync exchanges configuration, crash records and state.
func (s *Service) Sync(in *Envelope, out *Envelope) error {
	var req wire.SyncRequest
	if err := s.decode(in, &req); err != nil {
		return err
	}
	return encode(s.handler.Sync(&req), out)
}

// Cancel cancels a queued or running request.
func (s *Service) Cancel(in *Envelope, out *Envelope) error {
	var req wire.CancelRequest
	if err := s.decode(in, &req); err != nil {
		return err
	}
	return encode(s.handler.Cancel(&req), out)
}

func (s *Service) decode(in *Envelope, into proto.Message) error {
	if subtle.ConstantTimeCompare([]byte(in.Token), []byte(s.token)) != 1 {
		return errToken
	}
	return proto.Unmarshal(in.Data, into)
}

func encode(m proto.Message, out *Envelope) error {
	data, err := proto.Marshal(m)
	out.Data = data
	return err
}

// Server accepts connections from entries.
type Server struct {
	listener net.Listener
	mu       sync.Mutex
	conns    map[net.Conn]struct{}
	closed   bool
	wg       sync.WaitGroup
}

// Listen starts a server at address.
func Listen(address, token string, h Handler) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, &Error{Op: "listen", Kind: KindListen, Err: err}
	}
	rpcServer := rpc.NewServer()
	if err := rpcServer.RegisterName(serviceName, &Service{token: token, handler: h}); err != nil {
		return nil, &Error{Op: "listen", Kind: KindListen, Err: err}
	}
	s := &Server{listener: listener, conns: map[net.Conn]struct{}{}}
	s.wg.Add(1)
	go s.acceptLoop(rpcServer)
	return s, nil
}

func (s *Server) acceptLoop(rpcServer *rpc.Server) {
	defer s.wg.Done()
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		if !s.add(conn) {
			_ = conn.Close()
			return
		}
		go func() {
			defer s.wg.Done()
			rpcServer.ServeConn(conn)
			s.remove(conn)
		}()
	}
}

func (s *Server) add(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.conns[conn] = struct{}{}
	s.wg.Add(1)
	return true
}

func (s *Server) remove(conn net.Conn) {
	s.mu.Lock()
	delete(s.conns, conn)
	s.mu.Unlock()
}

// Address returns the address that the server listens on.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Close stops accepting, closes the connections and waits for their calls.
func (s *Server) Close() {
	_ = s.listener.Close()
	s.mu.Lock()
	s.closed = true
	for conn := range s.conns {
		_ = conn.Close()
	}
	s.mu.Unlock()
	s.wg.Wait()
}

// Client calls one agent over one connection, opened at the first call.
type Client struct {
	address     string
	token       string
	callTimeout time.Duration
	mu          sync.Mutex
	rpc         *rpc.Client
}

// NewClient returns a client of the agent at address. Opening the connection and
// each call take at most callTimeout.
func NewClient(address, token string, callTimeout time.Duration) *Client {
	return &Client{address: address, token: token, callTimeout: callTimeout}
}

// Sync exchanges configuration, crash records and state.
func (c *Client) Sync(req *wire.SyncRequest) (*wire.SyncReply, error) {
	var out wire.SyncReply
	err := c.call(serviceName+".Sync", req, &out)
	return &out, err
}

// Cancel cancels a queued or running request.
func (c *Client) Cancel(req *wire.CancelRequest) (*wire.CancelReply, error) {
	var out wire.CancelReply
	err := c.call(serviceName+".Cancel", req, &out)
	return &out, err
}

func (c *Client) call(method string, req, out proto.Message) error {
	conn, err := c.connect()
	if err != nil {
		return &Error{Op: method, Kind: KindDial, Err: err}
	}
	data, err := proto.Marshal(req)
	if err != nil {
		return &Error{Op: method, Kind: KindCodec, Err: err}
	}
	reply := &Envelope{}
	call := conn.Go(method, &Envelope{Token: c.token, Data: data}, reply, make(chan *rpc.Call, 1))
	timer := time.NewTimer(c.callTimeout)
	defer timer.Stop()
	select {
	case <-call.Done:
	case <-timer.C:
		c.closeConn(conn)
		return &Error{Op: method, Kind: KindTimeout, Err: errTimeout}
	}
	if call.Error != nil {
		if _, ok := call.Error.(rpc.ServerError); !ok {
			c.closeConn(conn)
		}
		return &Error{Op: method, Kind: KindCall, Err: call.Error}
	}
	if err := proto.Unmarshal(reply.Data, out); err != nil {
		return &Error{Op: method, Kind: KindCodec, Err: err}
	}
	return nil
}

// connect returns the open connection, or dials one. It dials without the lock: a
// slow dial must not block other callers.
func (c *Client) connect() (*rpc.Client, error) {
	c.mu.Lock()
	existing := c.rpc
	c.mu.Unlock()
	if existing != nil {
		return existing, nil
	}
	conn, err := net.DialTimeout("tcp", c.address, c.callTimeout)
	if err != nil {
		return nil, err
	}
	client := rpc.NewClient(conn)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.rpc != nil {
		_ = client.Close()
		return c.rpc, nil
	}
	c.rpc = client
	return client, nil
}

func (c *Client) closeConn(conn *rpc.Client) {
	c.mu.Lock()
	if c.rpc == conn {
		c.rpc = nil
	}
	c.mu.Unlock()
	_ = conn.Close()
}

// Close closes the connection; calls in progress return an error.
func (c *Client) Close() {
	c.mu.Lock()
	conn := c.rpc
	c.rpc = nil
	c.mu.Unlock()
	if conn != nil {
		_ = conn.Close()
	}
}
