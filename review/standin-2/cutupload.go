package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Times and sizes of the case of uploads that are cut.
const (
	uploadBytes   = 4_000_000 // of at most max_body_bytes, 67,108,864
	uploadWork    = 1200 * time.Millisecond
	uploadClients = 4
	uploadLead    = 200 * time.Millisecond // before the signal
	graceTime     = 6 * time.Second
	// probeBytes of a body are read before the work on it.
	probeBytes = 4096
)

// playCutUpload has clients send requests with large bodies to backend servers that
// work for some time before they read a body to its end. The disruption is that the
// machine of the clients is stopped while the requests run.
func playCutUpload(f *fleet, trouble bool) (bool, error) {
	var atWork sync.Map // ids of the requests at which a backend server is at work
	for _, m := range f.machines {
		m.backend.setReader(func(in *bufio.Reader, r *http.Request) ([]byte, error) {
			if r.ContentLength < uploadBytes {
				return io.ReadAll(r.Body)
			}
			if _, err := io.CopyN(io.Discard, r.Body, probeBytes); err != nil {
				return nil, err
			}
			id := r.Header.Get(names.AttemptID)
			atWork.Store(id, true)
			f.note("%s begins to work on %s", m.name, id)
			time.Sleep(uploadWork)
			_, err := io.Copy(io.Discard, r.Body)
			if err != nil {
				f.note("%s: the body of %s was cut: %v", m.name, id, err)
			}
			return nil, err
		})
	}
	first := f.machines[0]
	time.Sleep(contact)
	var cut atomic.Int64
	var all sync.WaitGroup
	for range uploadClients {
		all.Go(func() {
			id := newID()
			r := f.upload(first, id)
			_, begun := atWork.Load(id)
			if begun && (r.status == 0 || r.header.Get(names.Signature) == "") {
				f.note("%s was broken off while its backend server was at work", id)
				cut.Add(1)
			}
		})
	}
	time.Sleep(uploadLead)
	if trouble {
		f.note("SIGTERM to %s", first.name)
		if err := first.process.Process.Signal(syscall.SIGTERM); err != nil {
			return false, err
		}
	}
	all.Wait()
	if trouble {
		select {
		case <-first.exited:
			f.note("%s has ended", first.name)
		case <-time.After(graceTime):
			f.note("%s has not ended in time", first.name)
		}
		first.stoppedOnPurpose = true
	}
	f.note("%d of %d requests were broken off; planned work: %t", cut.Load(), uploadClients, trouble)
	return trouble && cut.Load() > 0, nil
}

// upload sends a request with a large body on a kept connection and reads the answer.
func (f *fleet) upload(m *machine, id string) reply {
	conn, err := connect(m)
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = conn.Close() }()
	f.note("client sends %s, a body of %d bytes, to %s", id, uploadBytes, m.name)
	r := sendUpload(conn, id)
	f.note("client gets %s: %v", id, r)
	return r
}

func sendUpload(conn net.Conn, id string) reply {
	_, err := io.WriteString(conn, head(http.MethodPost, unsafePath+"upload", id, fmt.Sprintf("Content-Length: %d", uploadBytes))+"\r\n"+strings.Repeat("x", uploadBytes))
	if err != nil {
		return reply{err: err}
	}
	return readReply(bufio.NewReader(conn), http.MethodPost)
}
