package peer

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/json"
	"net"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// Handler handles the requests of other nodes. Methods without an error result
// handle notifications; they run in the order of arrival and must not block.
type Handler interface {
	Hello(ctx context.Context, r HelloRequest) (HelloResponse, error)
	Heartbeat(h Heartbeat)
	HandleAnnouncement(a PositionAnnouncement)
	Pull(ctx context.Context, r PullRequest) (PullResponse, error)
	Members(m MemberEntries)
	MemberTable(ctx context.Context) (MemberTable, error)
	QuarantineEntries(entries json.RawMessage)
	Claim(ctx context.Context, claim json.RawMessage) (json.RawMessage, error)
	Resolve(ctx context.Context, resolution json.RawMessage) (json.RawMessage, error)
	RolloutStates(states json.RawMessage)
	RolloutReport(ctx context.Context, report json.RawMessage) (json.RawMessage, error)
	Status(ctx context.Context, r StatusRequest) (StatusResponse, error)
	Drain(ctx context.Context) error
	Dump(ctx context.Context) (json.RawMessage, error)
	Quota(ctx context.Context, r QuotaReport) (QuotaAnswer, error)
}

// Errors that are sent to the other node.
var (
	ErrInvalidToken  = errors.New("invalid token")
	errHelloRequired = errors.New("hello must be the first request on a connection")
)

// Server serves the protocol on a listener.
type Server struct {
	handler Handler
	token   [sha256.Size]byte
	noToken bool // no token is required
	bytes   *ByteCounters
}

// NewServer returns a server that requires the token, or no token if it is
// empty. It adds the bytes of its connections to the counters.
func NewServer(h Handler, token string, bytes *ByteCounters) *Server {
	return &Server{handler: h, token: sha256.Sum256([]byte(token)), noToken: token == "", bytes: bytes}
}

// Serve accepts connections until the context ends.
func (s *Server) Serve(ctx context.Context, ln net.Listener) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { _ = ln.Close() })
	defer stop()
	var conns sync.WaitGroup
	defer conns.Wait()
	defer cancel()
	for {
		nc, err := ln.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "accept peer connection")
		}
		conns.Go(func() { s.serveConn(ctx, nc) })
	}
}

func (s *Server) serveConn(ctx context.Context, nc net.Conn) {
	session := &session{server: s}
	c := newConn(ctx, nc, s.bytes, session.handle)
	<-c.done
}

// session is the server side of one connection.
type session struct {
	server        *Server
	authenticated atomic.Bool // hello succeeded
}

func (s *session) handle(ctx context.Context, c *conn, r request) (any, error) {
	if r.method == methodHello {
		return s.hello(ctx, c, r.params)
	}
	if !s.authenticated.Load() {
		c.close()
		return nil, errHelloRequired
	}
	if r.notify {
		return nil, s.server.handleNotification(r)
	}
	return s.server.handleRequest(ctx, r)
}

func (s *session) hello(ctx context.Context, c *conn, params json.RawMessage) (any, error) {
	var r HelloRequest
	if err := json.Unmarshal(params, &r); err != nil {
		return nil, errors.Wrap(err, methodHello)
	}
	if !s.server.validToken(r.Token) {
		return nil, ErrInvalidToken
	}
	s.authenticated.Store(true)
	return s.server.handler.Hello(ctx, r)
}

// validToken compares digests in constant time, so that the response time
// reveals neither the content nor the length of the token.
func (s *Server) validToken(token string) bool {
	sum := sha256.Sum256([]byte(token))
	return s.noToken || subtle.ConstantTimeCompare(sum[:], s.token[:]) == 1
}

func (s *Server) handleNotification(r request) error {
	switch r.method {
	case methodHeartbeat:
		return decodeNotification(r, s.handler.Heartbeat)
	case methodAnnounce:
		return decodeNotification(r, s.handler.HandleAnnouncement)
	case methodMemberEntries:
		return decodeNotification(r, s.handler.Members)
	case methodQuarantineEntries:
		s.handler.QuarantineEntries(r.params)
		return nil
	case methodRolloutStates:
		s.handler.RolloutStates(r.params)
		return nil
	}
	return errors.Newf("unknown notification %q", r.method)
}

// decodeNotification calls handle with the decoded parameters.
func decodeNotification[T any](r request, handle func(T)) error {
	var v T
	if err := json.Unmarshal(r.params, &v); err != nil {
		return errors.Wrap(err, r.method)
	}
	handle(v)
	return nil
}

func (s *Server) handleRequest(ctx context.Context, r request) (any, error) {
	switch r.method {
	case methodPull:
		return decodeRequest(ctx, r, s.handler.Pull)
	case methodMemberTable:
		return s.handler.MemberTable(ctx)
	case methodClaim:
		return s.handler.Claim(ctx, r.params)
	case methodResolve:
		return s.handler.Resolve(ctx, r.params)
	case methodRolloutReport:
		return s.handler.RolloutReport(ctx, r.params)
	case methodStatus:
		return decodeRequest(ctx, r, s.handler.Status)
	case methodDrain:
		return struct{}{}, s.handler.Drain(ctx)
	case methodDump:
		return s.handler.Dump(ctx)
	case methodQuota:
		return decodeRequest(ctx, r, s.handler.Quota)
	}
	return nil, errors.Newf("unknown method %q", r.method)
}

// decodeRequest calls handle with the decoded parameters and returns its result.
func decodeRequest[T, R any](ctx context.Context, r request, handle func(context.Context, T) (R, error)) (any, error) {
	var v T
	if err := json.Unmarshal(r.params, &v); err != nil {
		return nil, errors.Wrap(err, r.method)
	}
	return handle(ctx, v)
}
