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

// Handler answers the requests of other nodes. Methods without an error
// handle notifications; they run in the order of arrival and must not block.
type Handler interface {
	Hello(ctx context.Context, r HelloRequest) (HelloAnswer, error)
	Heartbeat(h Heartbeat)
	Announce(a Announce)
	Pull(ctx context.Context, r PullRequest) (PullAnswer, error)
	Members(m MemberEntries)
	MemberTable(ctx context.Context) (MemberTable, error)
	Suspects(entries json.RawMessage)
	Claim(ctx context.Context, claims json.RawMessage) (json.RawMessage, error)
	Settle(ctx context.Context, outcomes json.RawMessage) (json.RawMessage, error)
	Status(ctx context.Context, r StatusRequest) (StatusAnswer, error)
	Drain(ctx context.Context) error
	Dump(ctx context.Context) (json.RawMessage, error)
}

// Errors that a caller of the protocol may see.
var (
	ErrToken   = errors.New("the token is wrong")
	errNoHello = errors.New("the connection has not said hello")
)

// Server serves the protocol on a listener.
type Server struct {
	handler Handler
	token   [sha256.Size]byte
	open    bool // no token is set
	bytes   *Counters
}

// NewServer returns a server that wants a token, or none when it is empty.
func NewServer(h Handler, token string, bytes *Counters) *Server {
	return &Server{handler: h, token: sha256.Sum256([]byte(token)), open: token == "", bytes: bytes}
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
			return errors.Wrap(err, "accept inner connections")
		}
		conns.Go(func() { s.serveConn(ctx, nc) })
	}
}

func (s *Server) serveConn(ctx context.Context, nc net.Conn) {
	session := &session{server: s}
	c := newConn(ctx, nc, s.bytes, session.handle)
	<-c.done
}

// session is the server's side of one connection.
type session struct {
	server  *Server
	greeted atomic.Bool
}

func (s *session) handle(ctx context.Context, c *conn, r request) (any, error) {
	if r.method == methodHello {
		return s.hello(ctx, c, r.params)
	}
	if !s.greeted.Load() {
		c.close()
		return nil, errNoHello
	}
	if r.notify {
		return nil, s.server.notified(r)
	}
	return s.server.answer(ctx, r)
}

func (s *session) hello(ctx context.Context, c *conn, params json.RawMessage) (any, error) {
	var r HelloRequest
	if err := json.Unmarshal(params, &r); err != nil {
		return nil, errors.Wrap(err, methodHello)
	}
	if !s.server.admits(r.Token) {
		return nil, ErrToken
	}
	s.greeted.Store(true)
	return s.server.handler.Hello(ctx, r)
}

// admits compares digests in constant time, so that neither the content nor
// the length of the token leaks through the time of a refusal.
func (s *Server) admits(token string) bool {
	sum := sha256.Sum256([]byte(token))
	return s.open || subtle.ConstantTimeCompare(sum[:], s.token[:]) == 1
}

func (s *Server) notified(r request) error {
	switch r.method {
	case methodHeartbeat:
		return decodeThen(r, s.handler.Heartbeat)
	case methodAnnounce:
		return decodeThen(r, s.handler.Announce)
	case methodMembers:
		return decodeThen(r, s.handler.Members)
	case methodSuspects:
		s.handler.Suspects(r.params)
		return nil
	}
	return errors.Newf("unknown notification %q", r.method)
}

func decodeThen[T any](r request, use func(T)) error {
	var v T
	if err := json.Unmarshal(r.params, &v); err != nil {
		return errors.Wrap(err, r.method)
	}
	use(v)
	return nil
}

func (s *Server) answer(ctx context.Context, r request) (any, error) {
	switch r.method {
	case methodPull:
		return decodeAnd(ctx, r, s.handler.Pull)
	case methodMemberTable:
		return s.handler.MemberTable(ctx)
	case methodClaim:
		return s.handler.Claim(ctx, r.params)
	case methodSettle:
		return s.handler.Settle(ctx, r.params)
	case methodStatus:
		return decodeAnd(ctx, r, s.handler.Status)
	case methodDrain:
		return struct{}{}, s.handler.Drain(ctx)
	case methodDump:
		return s.handler.Dump(ctx)
	}
	return nil, errors.Newf("unknown method %q", r.method)
}

func decodeAnd[T, A any](ctx context.Context, r request, use func(context.Context, T) (A, error)) (any, error) {
	var v T
	if err := json.Unmarshal(r.params, &v); err != nil {
		return nil, errors.Wrap(err, r.method)
	}
	return use(ctx, v)
}
