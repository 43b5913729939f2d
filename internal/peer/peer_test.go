package peer

import (
	"bufio"
	"bytes"
	"context"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"net"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/jsonrpc2"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"github.com/goldcrestshed/goldcrestshed/internal/membership"
	"github.com/goldcrestshed/goldcrestshed/internal/profile"
)

// TestMain guards against goroutines that leak after a connection is closed.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fakeNode returns fixed values and counts heartbeats.
type fakeNode struct {
	Handler
	heartbeats  atomic.Int64
	slowPull    bool          // Pull blocks until its context ends
	unblockPull chan struct{} // created inside the synctest bubble
}

func (f *fakeNode) Hello(context.Context, HelloRequest) (HelloResponse, error) {
	return HelloResponse{Node: membership.Member{ID: "b", Incarnation: 2}}, nil
}

func (f *fakeNode) Heartbeat(Heartbeat) { f.heartbeats.Add(1) }

func (f *fakeNode) Pull(ctx context.Context, r PullRequest) (PullResponse, error) {
	if f.unblockPull != nil {
		select {
		case <-f.unblockPull:
		case <-ctx.Done():
		}
	}
	return PullResponse{Position: profile.Position{Epoch: 1, Offset: 7}}, nil
}

func (f *fakeNode) Claim(_ context.Context, claims json.RawMessage) (json.RawMessage, error) {
	return claims, nil
}

func (f *fakeNode) Drain(context.Context) error { return errors.New("not now") }

var nodeB = membership.Member{ID: "b", Incarnation: 2, PeerAddress: "b"}

// pipeNet connects a pool to a server over net.Pipe and counts the dials.
type pipeNet struct {
	server      *Server
	ctx         context.Context
	dials       atomic.Int64
	refuseDials atomic.Bool
}

func (p *pipeNet) dial(context.Context, string) (net.Conn, error) {
	p.dials.Add(1)
	if p.refuseDials.Load() {
		return nil, errors.New("refused")
	}
	client, server := net.Pipe()
	go p.server.serveConn(p.ctx, server)
	return client, nil
}

func withPool(t *testing.T, node *fakeNode, serverToken, clientToken string, test func(t *testing.T, n *pipeNet, p *Pool)) {
	synctest.Test(t, func(t *testing.T) {
		if node.slowPull {
			node.unblockPull = make(chan struct{})
		}
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		n := &pipeNet{ctx: ctx, server: NewServer(node, serverToken, &ByteCounters{})}
		p := NewPool(PoolConfig{Self: func() membership.Member { return membership.Member{ID: "a"} }, Token: clientToken, Dial: n.dial, Bytes: &ByteCounters{}})
		defer p.Close()
		test(t, n, p)
	})
}

// TestTokenRequired guards against access by nodes whose token is missing or
// wrong, and against a server without a token that refuses nodes with one.
func TestTokenRequired(t *testing.T) {
	for _, c := range []struct {
		server, client string
		ok             bool
	}{{"", "", true}, {"", "any", true}, {"s3", "s3", true}, {"s3", "", false}, {"s3", "s4", false}, {"s3", "s3s3", false}} {
		withPool(t, &fakeNode{}, c.server, c.client, func(t *testing.T, _ *pipeNet, p *Pool) {
			_, err := p.Pull(t.Context(), nodeB, PullRequest{})
			assert.Equal(t, err == nil, c.ok, "%+v: %v", c, err)
		})
	}
}

// TestRequestBeforeHelloRejected guards against a client that evades the token
// check by not sending hello.
func TestRequestBeforeHelloRejected(t *testing.T) {
	for _, method := range []string{methodPull, methodDump, methodClaim} {
		withPool(t, &fakeNode{}, "s3", "s3", func(t *testing.T, n *pipeNet, _ *Pool) {
			nc, _ := n.dial(t.Context(), "b")
			c := newConn(t.Context(), nc, &ByteCounters{}, rejectRequest)
			defer c.close()
			assert.Assert(t, c.call(t.Context(), method, struct{}{}, nil) != nil)
		})
	}
}

// TestCallsShareOneConnection guards against responses that go to the wrong
// call, lost payloads and errors, and a new connection for each call.
func TestCallsShareOneConnection(t *testing.T) {
	node := &fakeNode{}
	withPool(t, node, "", "", func(t *testing.T, n *pipeNet, p *Pool) {
		for range 3 {
			assert.NilError(t, p.Heartbeat(t.Context(), nodeB, Heartbeat{ID: "a"}))
		}
		response, err := p.Pull(t.Context(), nodeB, PullRequest{})
		assert.NilError(t, err)
		assert.Equal(t, response.Position.Offset, int64(7))
		raw, err := p.Claim(t.Context(), nodeB, json.RawMessage(`{"partition":3}`))
		assert.NilError(t, err)
		assert.Equal(t, string(raw), `{"partition":3}`)
		assert.ErrorContains(t, p.Drain(t.Context(), nodeB), "not now")
		assert.Equal(t, node.heartbeats.Load(), int64(3))
		assert.Equal(t, n.dials.Load(), int64(1))
		assert.Assert(t, p.cfg.Bytes.Out.Load() > 0 && p.cfg.Bytes.In.Load() > 0)
	})
}

// TestSlowCallDoesNotBlockOthers guards against head-of-line blocking on one
// connection, and against a call that keeps waiting after its connection closed.
func TestSlowCallDoesNotBlockOthers(t *testing.T) {
	node := &fakeNode{slowPull: true}
	withPool(t, node, "", "", func(t *testing.T, n *pipeNet, p *Pool) {
		slow := make(chan error, 1)
		go func() {
			_, err := p.Pull(t.Context(), nodeB, PullRequest{})
			slow <- err
		}()
		synctest.Wait()
		_, err := p.Claim(t.Context(), nodeB, json.RawMessage(`1`))
		assert.NilError(t, err)
		p.Drop(nodeB.ID)
		assert.Assert(t, errors.Is(<-slow, errClosed))
		_, err = p.Claim(t.Context(), nodeB, json.RawMessage(`1`))
		assert.NilError(t, err)
		assert.Equal(t, n.dials.Load(), int64(2))
	})
}

// TestProbeReplacesSilentConnection guards against a call that waits forever on
// a connection on which nothing arrives. The call must time out, and Probe must
// replace the connection.
func TestProbeReplacesSilentConnection(t *testing.T) {
	withPool(t, &fakeNode{slowPull: true}, "", "", func(t *testing.T, n *pipeNet, p *Pool) {
		begin := time.Now()
		_, err := p.Pull(t.Context(), nodeB, PullRequest{})
		assert.Assert(t, errors.Is(err, context.DeadlineExceeded))
		assert.Equal(t, time.Since(begin), callTimeout)
		old, _ := p.conns.Get(nodeB.ID)
		_, err = p.Probe(t.Context(), nodeB, true)
		assert.NilError(t, err)
		<-old.conn.done
		n.refuseDials.Store(true)
		_, err = p.Probe(t.Context(), nodeB, true)
		assert.ErrorContains(t, err, "refused")
	})
}

// TestFullStateRoundTrip guards against a full state that is altered by
// encoding, and against truncated data that is accepted.
func TestFullStateRoundTrip(t *testing.T) {
	full := FullState{LastRecordID: "x", Checkpoint: &profile.Checkpoint{Epoch: 3, Through: 9, Recent: []string{"x"}}}
	data, err := EncodeFullState(full)
	assert.NilError(t, err)
	got, err := DecodeFullState(data)
	assert.NilError(t, err)
	assert.DeepEqual(t, got, full)
	for _, bad := range [][]byte{nil, {1}, data[:len(data)/2]} {
		_, err := DecodeFullState(bad)
		assert.Assert(t, err != nil)
	}
}

// TestLogRecordRoundTrip guards against records that are altered by encoding, in
// particular those that are not JSON.
func TestLogRecordRoundTrip(t *testing.T) {
	for _, data := range []string{`{"id":"a"}`, "not JSON", "\xff\x00", ""} {
		wire, err := json.Marshal(NewLogRecord(4, []byte(data)))
		assert.NilError(t, err)
		var got LogRecord
		assert.NilError(t, json.Unmarshal(wire, &got))
		assert.Equal(t, string(got.Data()), data)
	}
}

// TestMessageSizeLimit guards against a length prefix that makes a node allocate
// too much memory, and against sending a message that the receiver refuses.
func TestMessageSizeLimit(t *testing.T) {
	var v any
	oversized := binary.AppendUvarint(nil, maxMessageBytes+1)
	err := boundedCodec{}.ReadObject(bufio.NewReader(bytes.NewReader(oversized)), &v)
	assert.Assert(t, errors.Is(err, errTooLarge))
	_, err = boundedCodec{}.encode(strings.Repeat("x", maxMessageBytes))
	assert.Assert(t, errors.Is(err, errTooLarge))
}

// FuzzMessage guards against input that makes the reader panic, and against a
// message that is altered by writing and reading it.
func FuzzMessage(f *testing.F) {
	for _, m := range []string{
		`{"jsonrpc":"2.0","method":"heartbeat","params":{"id":"a","pos":{"era":1,"offset":2}}}`,
		`{"jsonrpc":"2.0","id":1,"method":"pull","params":{"from":null}}`, `{"jsonrpc":"2.0","id":1,"result":[]}`,
	} {
		data, err := boundedCodec{}.encode(json.RawMessage(m))
		assert.NilError(f, err)
		f.Add(data)
	}
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x01})
	f.Add([]byte{5, '{'})
	f.Fuzz(func(t *testing.T, data []byte) {
		var r jsonrpc2.Request
		if (boundedCodec{}).ReadObject(bufio.NewReader(bytes.NewReader(data)), &r) != nil {
			return
		}
		wire, err := boundedCodec{}.encode(r)
		assert.NilError(t, err)
		var again jsonrpc2.Request
		assert.NilError(t, boundedCodec{}.ReadObject(bufio.NewReader(bytes.NewReader(wire)), &again))
		assert.Equal(t, again.Method, r.Method)
		if r.Params == nil {
			return
		}
		s := NewServer(&fakeNode{}, "", &ByteCounters{})
		_ = s.handleNotification(request{method: methodHeartbeat, params: *r.Params})
		_, _ = s.handleRequest(t.Context(), request{method: methodPull, params: *r.Params})
	})
}

// TestEntriesRoundTrip guards against members that are lost or reordered in the
// compressed or plain form, and against a table that exceeds its size budget.
func TestEntriesRoundTrip(t *testing.T) {
	for _, n := range []int{0, 1, minCompressedEntries - 1, minCompressedEntries, 200} {
		var entries Entries
		for i := range n {
			entries = append(entries, membership.Member{ID: fmt.Sprint("n", i), Incarnation: int64(i) << 40, Region: "gaucho", FailureDomain: "poa-a", PeerAddress: fmt.Sprintf("10.0.0.%d:7000", i), Status: membership.StatusAlive})
		}
		wire, err := json.Marshal(MemberEntries{SenderID: "a", Entries: entries})
		assert.NilError(t, err)
		var got MemberEntries
		assert.NilError(t, json.Unmarshal(wire, &got))
		assert.Assert(t, slices.Equal(got.Entries, entries))
		assert.Assert(t, n < 200 || len(wire) < 120*n, "%d bytes for %d entries", len(wire), n)
	}
	var e Entries
	assert.Assert(t, json.Unmarshal([]byte(`"AAAA"`), &e) != nil)
}
