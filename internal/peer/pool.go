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
	// dialLimit bounds the opening of a connection, hello included.
	dialLimit = time.Second
	// callLimit bounds a call without a deadline of its own.
	callLimit = 10 * time.Second
)

// Dial opens a connection to an address.
type Dial func(ctx context.Context, address string) (net.Conn, error)

// PoolConfig configures a Pool.
type PoolConfig struct {
	Self  func() membership.Member // own entry at the time of a hello
	Token string
	Dial  Dial
	Bytes *Counters
}

// Pool holds one outgoing connection per node, sharded by node id.
type Pool struct {
	cfg   PoolConfig
	ctx   context.Context
	stop  context.CancelFunc
	conns *shard.Map[*entry]
}

// entry is the connection to one node. The connection is opened by the first
// user; the others wait for ready, outside every shard lock.
type entry struct {
	incarnation int64
	ready       chan struct{} // closed once conn or err is set
	conn        *conn
	err         error
	dropped     atomic.Bool
}

// NewPool returns a pool without connections.
func NewPool(cfg PoolConfig) *Pool {
	ctx, stop := context.WithCancel(context.Background())
	return &Pool{cfg: cfg, ctx: ctx, stop: stop, conns: shard.NewMap[*entry](shard.DefaultCount)}
}

// Close ends every connection.
func (p *Pool) Close() { p.stop() }

// DialTCP is the Dial of the product.
func DialTCP(ctx context.Context, address string) (net.Conn, error) {
	return (&net.Dialer{Timeout: dialLimit}).DialContext(ctx, "tcp", address)
}

// open opens a connection to an address and says hello.
func (p *Pool) open(ctx context.Context, address string, silent bool) (*conn, HelloAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, dialLimit)
	defer cancel()
	var answer HelloAnswer
	nc, err := p.cfg.Dial(ctx, address)
	if err != nil {
		return nil, answer, errors.Wrap(err, "dial")
	}
	c := newConn(p.ctx, nc, p.cfg.Bytes, refuse)
	hello := HelloRequest{Node: p.cfg.Self(), Token: p.cfg.Token, Silent: silent}
	if err := c.call(ctx, methodHello, hello, &answer); err != nil {
		c.close()
		return nil, answer, err
	}
	return c, answer, nil
}

// refuse answers requests on outgoing connections: nodes call each other on
// the connections that they opened themselves.
func refuse(context.Context, *conn, request) (any, error) {
	return nil, errors.New("requests go to the listening side")
}

// get returns the connection to a member and opens it when there is none.
func (p *Pool) get(ctx context.Context, m membership.Member) (*conn, error) {
	mine := &entry{incarnation: m.Incarnation, ready: make(chan struct{})}
	var use, old *entry
	p.conns.Update(m.ID, func(have *entry, ok bool) (*entry, bool) {
		if ok && have.incarnation >= m.Incarnation && have.usable() {
			use = have
			return have, true
		}
		use, old = mine, have
		return mine, true
	})
	if use != mine {
		return use.wait(ctx)
	}
	if old != nil {
		old.close()
	}
	mine.conn, _, mine.err = p.open(ctx, m.PeerAddress, false)
	close(mine.ready)
	if mine.dropped.Load() && mine.conn != nil {
		mine.conn.close()
	}
	return mine.conn, mine.err
}

// usable reports whether the entry is being opened or open.
func (e *entry) usable() bool {
	select {
	case <-e.ready:
	default:
		return true
	}
	if e.err != nil {
		return false
	}
	select {
	case <-e.conn.done:
		return false
	default:
		return true
	}
}

func (e *entry) wait(ctx context.Context) (*conn, error) {
	select {
	case <-e.ready:
		return e.conn, e.err
	case <-ctx.Done():
		return nil, errors.Wrap(ctx.Err(), "open connection")
	}
}

// close ends the connection now, or as soon as its opener has it.
func (e *entry) close() {
	e.dropped.Store(true)
	select {
	case <-e.ready:
		if e.conn != nil {
			e.conn.close()
		}
	default:
	}
}

// Drop closes the connection to a node; the next use opens a new one.
func (p *Pool) Drop(id string) {
	have, ok := p.conns.Get(id)
	if !ok {
		return
	}
	have.close()
	p.conns.Update(id, func(now *entry, ok bool) (*entry, bool) { return now, ok && now != have })
}

// Probe opens a new connection to a member and puts it in the place of the
// present one. silent tells the member that nothing has arrived from it.
func (p *Pool) Probe(ctx context.Context, m membership.Member, silent bool) (HelloAnswer, error) {
	c, answer, err := p.open(ctx, m.PeerAddress, silent)
	if err != nil {
		return answer, err
	}
	if answer.Node.ID != m.ID {
		c.close()
		return answer, errors.Newf("%s answers at the address of %s", answer.Node.ID, m.ID)
	}
	fresh := &entry{incarnation: answer.Node.Incarnation, ready: make(chan struct{}), conn: c}
	close(fresh.ready)
	var old *entry
	p.conns.Update(m.ID, func(have *entry, ok bool) (*entry, bool) {
		old = have
		return fresh, true
	})
	if old != nil {
		old.close()
	}
	return answer, nil
}

// Hello asks the node at an address for its entry.
func (p *Pool) Hello(ctx context.Context, address string) (HelloAnswer, error) {
	c, answer, err := p.open(ctx, address, false)
	if err != nil {
		return answer, err
	}
	c.close()
	return answer, nil
}

// call sends a request of a method to a member; see the typed methods.
func (p *Pool) call(ctx context.Context, m membership.Member, method string, params, result any) error {
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, callLimit)
		defer cancel()
	}
	c, err := p.get(ctx, m)
	if err != nil {
		return errors.Wrapf(err, "%s of %s", method, m.ID)
	}
	return errors.Wrapf(c.call(ctx, method, params, result), "node %s", m.ID)
}

func (p *Pool) notify(ctx context.Context, m membership.Member, method string, params any) error {
	c, err := p.get(ctx, m)
	if err != nil {
		return errors.Wrapf(err, "%s to %s", method, m.ID)
	}
	return errors.Wrapf(c.notify(ctx, method, params), "node %s", m.ID)
}

// Heartbeat sends a sign of life.
func (p *Pool) Heartbeat(ctx context.Context, m membership.Member, h Heartbeat) error {
	return p.notify(ctx, m, methodHeartbeat, h)
}

// Announce tells a position.
func (p *Pool) Announce(ctx context.Context, m membership.Member, a Announce) error {
	return p.notify(ctx, m, methodAnnounce, a)
}

// Members sends entries and suspicions.
func (p *Pool) Members(ctx context.Context, m membership.Member, e MemberEntries) error {
	return p.notify(ctx, m, methodMembers, e)
}

// Suspects sends quarantine entries.
func (p *Pool) Suspects(ctx context.Context, m membership.Member, entries json.RawMessage) error {
	return p.notify(ctx, m, methodSuspects, entries)
}

// Pull asks for records or the full state.
func (p *Pool) Pull(ctx context.Context, m membership.Member, r PullRequest) (out PullAnswer, err error) {
	err = p.call(ctx, m, methodPull, r, &out)
	return out, err
}

// MemberTable asks for every entry.
func (p *Pool) MemberTable(ctx context.Context, m membership.Member) (out MemberTable, err error) {
	err = p.call(ctx, m, methodMemberTable, struct{}{}, &out)
	return out, err
}

// Status asks for status rows.
func (p *Pool) Status(ctx context.Context, m membership.Member, r StatusRequest) (out StatusAnswer, err error) {
	err = p.call(ctx, m, methodStatus, r, &out)
	return out, err
}

// Claim sends claims. The payload is defined by internal/once.
func (p *Pool) Claim(ctx context.Context, m membership.Member, claims json.RawMessage) (out json.RawMessage, err error) {
	err = p.call(ctx, m, methodClaim, claims, &out)
	return out, err
}

// Settle sends outcomes; see Claim.
func (p *Pool) Settle(ctx context.Context, m membership.Member, outcomes json.RawMessage) (out json.RawMessage, err error) {
	err = p.call(ctx, m, methodSettle, outcomes, &out)
	return out, err
}

// Drain asks a node to leave.
func (p *Pool) Drain(ctx context.Context, m membership.Member) error {
	return p.call(ctx, m, methodDrain, struct{}{}, nil)
}

// Dump asks for the state of a node's parts.
func (p *Pool) Dump(ctx context.Context, m membership.Member) (out json.RawMessage, err error) {
	err = p.call(ctx, m, methodDump, struct{}{}, &out)
	return out, err
}
