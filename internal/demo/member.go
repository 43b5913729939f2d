package demo

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/goldcrestshed/goldcrestshed/internal/jsonc"
	"github.com/goldcrestshed/goldcrestshed/internal/node"
	"github.com/goldcrestshed/goldcrestshed/internal/profile"
	"github.com/goldcrestshed/goldcrestshed/internal/settings"
	"github.com/goldcrestshed/goldcrestshed/internal/standin"
	"github.com/goldcrestshed/goldcrestshed/internal/telemetry"
)

const (
	logRetention = time.Hour
	serviceTime  = 2 * time.Millisecond
	slots        = 18
)

func startLog() (*server, error) {
	return startServer(standin.NewLog(logRetention, time.Now).Handler())
}

// member is a node and its backend server.
type member struct {
	id      string
	node    *node.Node
	backend *server
	stop    context.CancelFunc
	done    chan error
}

func startMember(i int, log string) (*member, error) {
	id := fmt.Sprintf("n%d", i+1)
	backend, err := startServer(standin.NewBackend(id, slots, serviceTime).Handler())
	if err != nil {
		return nil, err
	}
	s := memberSettings(i, id, log, backend.address)
	n, err := node.New(s, telemetry.NewLogger(io.Discard, s.Logging))
	if err != nil {
		backend.close()
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	m := &member{id: id, node: n, backend: backend, stop: cancel, done: make(chan error, 1)}
	go func() { m.done <- n.Run(ctx) }()
	return m, nil
}

func memberSettings(i int, id, log, backend string) settings.Settings {
	var s settings.Settings
	jsonc.Defaults(&s)
	const anyPort = "127.0.0.1:0"
	s.Node = settings.Node{ID: id, Service: serviceName, Region: "gaucho", FailureDomain: []string{"poa-a", "poa-b"}[i%2]}
	s.Listen = settings.Listen{Calls: anyPort, Inbound: anyPort, Peer: anyPort, Admin: anyPort}
	s.BackendServer.Address = backend
	s.BackendServer.Slots = slots
	s.Log.Address = log
	return s
}

// checkPosition returns an error if the node has not reached a position.
func (m *member) checkPosition(want profile.Position) error {
	current := m.node.Status().Position
	if current == nil || current.Compare(want) < 0 {
		return errors.Newf("node %s is at %v, want %s", m.id, current, want)
	}
	return nil
}

func (m *member) close() {
	m.stop()
	<-m.done
	m.backend.close()
}
