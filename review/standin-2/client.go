package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"
)

// deadline is the time limit of the clients' requests.
const deadline = 2500 * time.Millisecond

// newID returns the id of an attempt.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// head returns the head of a request up to, and without, its empty line.
func head(method, path, id string, lines ...string) string {
	all := append([]string{
		method + " " + path + " HTTP/1.1", "Host: " + host, names.AttemptID + ": " + id,
		fmt.Sprintf("%s: %d", names.DeadlineMs, deadline.Milliseconds()),
	}, lines...)
	return strings.Join(all, "\r\n") + "\r\n"
}

// connect opens a connection to a machine's address for clients. Its reads and writes
// end some time after the time limit of a request.
func connect(m *machine) (net.Conn, error) {
	conn, err := net.DialTimeout("tcp", m.calls, time.Second)
	if err != nil {
		return nil, err
	}
	return conn, conn.SetDeadline(time.Now().Add(2 * deadline))
}

// reply is what a client got for a request.
type reply struct {
	status int // 0 when there was no complete answer
	header http.Header
	err    error
}

func (r reply) String() string {
	if r.status == 0 {
		return fmt.Sprintf("no complete answer (%v)", r.err)
	}
	return fmt.Sprintf("%d, signature %q", r.status, r.header.Get(names.Signature))
}

// readReply reads the answer to a request.
func readReply(in *bufio.Reader, method string) reply {
	resp, err := http.ReadResponse(in, &http.Request{Method: method})
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return reply{err: err}
	}
	return reply{status: resp.StatusCode, header: resp.Header}
}

// send sends a request without a body on a new connection and reads the answer.
func (f *fleet) send(m *machine, method, path, id string, lines ...string) reply {
	conn, err := connect(m)
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = conn.Close() }()
	f.note("client sends %s %s %s to %s", id, method, path, m.name)
	if _, err := io.WriteString(conn, head(method, path, id, lines...)+"\r\n"); err != nil {
		return reply{err: err}
	}
	r := readReply(bufio.NewReader(conn), method)
	f.note("client gets %s: %v", id, r)
	return r
}

// runs returns how often all backend servers have run a request.
func (f *fleet) runs(id string) int {
	n := 0
	for _, m := range f.machines {
		n += m.backend.runsOf(id)
	}
	return n
}

func (f *fleet) setHandlers(h handler) {
	for _, m := range f.machines {
		m.backend.setHandler(h)
	}
}
