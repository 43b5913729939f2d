package peer

import (
	"context"
	"encoding/json"
	"net"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/goldcrestshed/goldcrestshed/internal/membership"
	"github.com/goldcrestshed/goldcrestshed/internal/shard"
)

const (
	// dialTimeout bounds the opening of a connection including hello.
	dialTimeout = time.Second
	// callTimeout bounds a call whose context has no deadline.
	callTimeout = 10 * time.Second
)

// DialFunc opens a connection to an address.
type DialFunc func(ctx context.Context, address string) (net.Conn, error)

// PoolConfig configures a Pool.
type PoolConfig struct {
	Self  func() membership.Member // returns this node's entry for HelloRequest
	Token string
	Dial  DialFunc
	Bytes *ByteCounters
}

// Pool holds one outgoing connection per node, sharded by node id.
type Pool struct {
	cfg    PoolConfig
	ctx    context.Context
	cancel context.CancelFunc
	conns  *shard.Map[*pooledConn]
}

// pooledConn is the connection to one node. The first caller opens it; others
// wait for ready without holding a shard lock.
type pooledConn struct {
	incarnation    int64
	ready          chan struct{} // closed when conn or err is set
	conn           *conn
	err            error
	closeRequested atomic.Bool
}

// NewPool returns a pool without connections.
func NewPool(cfg PoolConfig) *Pool {
	ctx, cancel := context.WithCancel(context.Background())
	return &Pool{cfg: cfg, ctx: ctx, cancel: cancel, conns: shard.NewMap[*pooledConn](shard.DefaultCount)}
}

// Close ends every connection.
func (p *Pool) Close() { p.cancel() }

// DialTCP opens a TCP connection to an address.
func DialTCP(ctx context.Context, address string) (net.Conn, error) {
	return (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, "tcp", address)
}

// connect opens a connection to an address and sends hello.
func (p *Pool) connect(ctx context.Context, address string, nothingReceived bool) (*conn, HelloResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	var response HelloResponse
	nc, err := p.cfg.Dial(ctx, address)
	if err != nil {
		return nil, response, errors.Wrap(err, "dial")
	}
	c := newConn(p.ctx, nc, p.cfg.Bytes, rejectRequest)
	hello := HelloRequest{Node: p.cfg.Self(), Token: p.cfg.Token, NothingReceived: nothingReceived}
	if err := c.call(ctx, methodHello, hello, &response); err != nil {
		c.close()
		return nil, response, err
	}
	return c, response, nil
}

// rejectRequest handles requests on outgoing connections: a node sends requests
// only on connections that it opened itself.
func rejectRequest(context.Context, *conn, request) (any, error) {
	return nil, errors.New("requests are accepted on incoming connections only")
}

// connection returns the connection to a member and opens one if there is none
// or the open one belongs to an earlier incarnation.
func (p *Pool) connection(ctx context.Context, m membership.Member) (*conn, error) {
	created := &pooledConn{incarnation: m.Incarnation, ready: make(chan struct{})}
	var use, old *pooledConn
	p.conns.Update(m.ID, func(current *pooledConn, ok bool) (*pooledConn, bool) {
		if ok && current.incarnation >= m.Incarnation && current.usable() {
			use = current
			return current, true
		}
		use, old = created, current
		return created, true
	})
	if use != created {
		return use.wait(ctx)
	}
	if old != nil {
		old.close()
	}
	created.conn, _, created.err = p.connect(ctx, m.PeerAddress, false)
	close(created.ready)
	if created.closeRequested.Load() && created.conn != nil {
		created.conn.close()
	}
	return created.conn, created.err
}

// usable reports whether the connection is open or being opened.
func (pc *pooledConn) usable() bool {
	select {
	case <-pc.ready:
	default:
		return true
	}
	if pc.err != nil {
		return false
	}
	select {
	case <-pc.conn.done:
		return false
	default:
		return true
	}
}

func (pc *pooledConn) wait(ctx context.Context) (*conn, error) {
	select {
	case <-pc.ready:
		return pc.conn, pc.err
	case <-ctx.Done():
		return nil, errors.Wrap(ctx.Err(), "open connection")
	}
}

// close closes the connection now, or once it has been opened.
func (pc *pooledConn) close() {
	pc.closeRequested.Store(true)
	select {
	case <-pc.ready:
		if pc.conn != nil {
			pc.conn.close()
		}
	default:
	}
}

// Drop closes the connection to a node; the next use opens a new one.
func (p *Pool) Drop(id string) {
	current, ok := p.conns.Get(id)
	if !ok {
		return
	}
	current.close()
	p.conns.Update(id, func(stored *pooledConn, ok bool) (*pooledConn, bool) { return stored, ok && stored != current })
}

// Probe opens a new connection to a member and replaces the current one with it.
// nothingReceived is sent as HelloRequest.NothingReceived.
func (p *Pool) Probe(ctx context.Context, m membership.Member, nothingReceived bool) (HelloResponse, error) {
	c, response, err := p.connect(ctx, m.PeerAddress, nothingReceived)
	if err != nil {
		return response, err
	}
	if response.Node.ID != m.ID {
		c.close()
		return response, errors.Newf("node %s answered at the address of node %s", response.Node.ID, m.ID)
	}
	replacement := &pooledConn{incarnation: response.Node.Incarnation, ready: make(chan struct{}), conn: c}
	close(replacement.ready)
	var old *pooledConn
	p.conns.Update(m.ID, func(current *pooledConn, ok bool) (*pooledConn, bool) {
		old = current
		return replacement, true
	})
	if old != nil {
		old.close()
	}
	return response, nil
}

// Hello asks the node at an address for its entry and position.
func (p *Pool) Hello(ctx context.Context, address string) (HelloResponse, error) {
	c, response, err := p.connect(ctx, address, false)
	if err != nil {
		return response, err
	}
	c.close()
	return response, nil
}

// call sends a request to a member and waits for the response.
func (p *Pool) call(ctx context.Context, m membership.Member, method string, params, result any) error {
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, callTimeout)
		defer cancel()
	}
	c, err := p.connection(ctx, m)
	if err != nil {
		return errors.Wrapf(err, "%s to %s", method, m.ID)
	}
	return errors.Wrapf(c.call(ctx, method, params, result), "node %s", m.ID)
}

func (p *Pool) notify(ctx context.Context, m membership.Member, method string, params any) error {
	c, err := p.connection(ctx, m)
	if err != nil {
		return errors.Wrapf(err, "%s to %s", method, m.ID)
	}
	return errors.Wrapf(c.notify(ctx, method, params), "node %s", m.ID)
}

// Heartbeat sends a heartbeat.
func (p *Pool) Heartbeat(ctx context.Context, m membership.Member, h Heartbeat) error {
	return p.notify(ctx, m, methodHeartbeat, h)
}

// Announce sends the position of this node.
func (p *Pool) Announce(ctx context.Context, m membership.Member, a PositionAnnouncement) error {
	return p.notify(ctx, m, methodAnnounce, a)
}

// Members sends member entries and suspicions.
func (p *Pool) Members(ctx context.Context, m membership.Member, e MemberEntries) error {
	return p.notify(ctx, m, methodMemberEntries, e)
}

// QuarantineEntries sends quarantine entries.
func (p *Pool) QuarantineEntries(ctx context.Context, m membership.Member, entries json.RawMessage) error {
	return p.notify(ctx, m, methodQuarantineEntries, entries)
}

// Pull asks for records or the full state.
func (p *Pool) Pull(ctx context.Context, m membership.Member, r PullRequest) (out PullResponse, err error) {
	err = p.call(ctx, m, methodPull, r, &out)
	return out, err
}

// MemberTable asks for the complete member table.
func (p *Pool) MemberTable(ctx context.Context, m membership.Member) (out MemberTable, err error) {
	err = p.call(ctx, m, methodMemberTable, struct{}{}, &out)
	return out, err
}

// Status asks for status rows.
func (p *Pool) Status(ctx context.Context, m membership.Member, r StatusRequest) (out StatusResponse, err error) {
	err = p.call(ctx, m, methodStatus, r, &out)
	return out, err
}

// Claim sends a claim. The payload is defined by internal/idempotency.
func (p *Pool) Claim(ctx context.Context, m membership.Member, claim json.RawMessage) (out json.RawMessage, err error) {
	err = p.call(ctx, m, methodClaim, claim, &out)
	return out, err
}

// Resolve sends the Resolution of a claim. The payload is defined by
// internal/idempotency.
func (p *Pool) Resolve(ctx context.Context, m membership.Member, resolution json.RawMessage) (out json.RawMessage, err error) {
	err = p.call(ctx, m, methodResolve, resolution, &out)
	return out, err
}

// RolloutStates sends the states of rollouts. The payload is defined by
// internal/rollout.
func (p *Pool) RolloutStates(ctx context.Context, m membership.Member, states json.RawMessage) error {
	return p.notify(ctx, m, methodRolloutStates, states)
}

// RolloutReport sends the report of a backend server to the coordinator of a rollout
// and returns the grant. The payloads are defined by internal/rollout.
func (p *Pool) RolloutReport(ctx context.Context, m membership.Member, report json.RawMessage) (out json.RawMessage, err error) {
	err = p.call(ctx, m, methodRolloutReport, report, &out)
	return out, err
}

// Drain asks a node to drain.
func (p *Pool) Drain(ctx context.Context, m membership.Member) error {
	return p.call(ctx, m, methodDrain, struct{}{}, nil)
}

// Dump asks for the state dump of a node.
func (p *Pool) Dump(ctx context.Context, m membership.Member) (out json.RawMessage, err error) {
	err = p.call(ctx, m, methodDump, struct{}{}, &out)
	return out, err
}

// Quota reports calls of organisations and returns the restrictions in force.
func (p *Pool) Quota(ctx context.Context, m membership.Member, r QuotaReport) (out QuotaAnswer, err error) {
	err = p.call(ctx, m, methodQuota, r, &out)
	return out, err
}
