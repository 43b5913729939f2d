package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"syscall"
	"time"
)

// clientSlack is how long a client goes on reading after its time limit.
const clientSlack = 500 * time.Millisecond

// result is what a client has seen of one request.
type result struct {
	id        string
	status    int // 0 when no head arrived
	header    http.Header
	body      []byte
	framed    bool  // the head tells where the body ends
	err       error // of reading the body; nil for an end that looks complete
	connected bool
}

// newID returns a new id of an attempt.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// request sends one request on a new connection and reads the whole answer.
func (f *fleet) request(i *instance, method, host, path, extra string, limit time.Duration) result {
	res := result{id: newID()}
	conn, err := net.DialTimeout("tcp", i.outbound, time.Second)
	if err != nil {
		res.err = err
		f.record.printf("client at %s: request %s, %s %s%s: no connection: %v", i.id, res.id, method, host, path, err)
		return res
	}
	defer conn.Close()
	res.connected = true
	_ = conn.SetDeadline(time.Now().Add(limit + clientSlack))
	f.record.printf("client at %s: sends request %s, %s %s%s%s", i.id, res.id, method, host, path, strings.ReplaceAll(extra, "\r\n", " "))
	fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n%s\r\n", method, path, host, names.AttemptID, res.id, names.Deadline, limit.Milliseconds(), extra)
	resp, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: method})
	if err != nil {
		res.err = err
		f.record.printf("client at %s: request %s: no answer: %v", i.id, res.id, err)
		return res
	}
	res.status, res.header = resp.StatusCode, resp.Header
	res.framed = resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
	res.body, res.err = io.ReadAll(resp.Body)
	f.record.printf("client at %s: request %s: status %d, signature %q, length given %v, %d bytes of body, then %s", i.id, res.id, res.status, res.header.Get(names.Signature), res.framed, len(res.body), describeEnd(res.err))
	return res
}

// describeEnd tells how an answer ended.
func describeEnd(err error) string {
	switch {
	case err == nil:
		return "a regular end"
	case errors.Is(err, syscall.ECONNRESET):
		return "a reset"
	}
	return err.Error()
}
