package main

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"
)

// Sizes and times of the case.
const (
	truncatedRounds = 3
	packBytes       = 90_000 // mean size of a download
	packPieces      = 30
	pieceInterval   = 20 * time.Millisecond
	killAfterPiece  = 15
	downTime        = 500 * time.Millisecond
)

// playTruncated kills the node beside a backend server while it passes on an answer
// that has no length and ends with its connection.
func playTruncated(r *record, folder string, trouble bool) (bool, error) {
	f, err := newFleet(r, folder, "config.json")
	if err != nil {
		return false, err
	}
	defer f.close()
	halfway := make(chan *backend, 1)
	unframed := func(b *backend, conn net.Conn, r *http.Request, _ []byte) bool {
		sendWithoutLength(b, conn, r, halfway)
		return false // the end of the connection is the end of the answer
	}
	caller, err := f.add("agenda-1", "agenda", "poa-a", 9, plainAnswer(20*time.Millisecond, 400))
	if err != nil {
		return false, err
	}
	for n := range 2 {
		if _, err := f.add(fmt.Sprintf("acervo-%d", n+1), "acervo", "poa-b", 9, unframed); err != nil {
			return false, err
		}
	}
	if err := f.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	broken := false
	for range truncatedRounds {
		done := make(chan result, 1)
		go func() { done <- f.request(caller, "GET", "acervo.example", "/packs/one", "", 2*time.Second) }()
		select {
		case b := <-halfway:
			if trouble {
				f.killBeside(b)
			}
		case <-time.After(3 * time.Second):
			return false, errors.New("no backend server got the request")
		}
		res := <-done
		if res.status == http.StatusOK && res.header.Get(names.Signature) != "" && res.err == nil && len(res.body) != packBytes {
			r.printf("MIXED: request %s got a success that looks complete with %d of %d bytes", res.id, len(res.body), packBytes)
			broken = true
		}
		if !trouble && len(res.body) != packBytes {
			return false, fmt.Errorf("without the disruption %d bytes arrived", len(res.body))
		}
		if err := f.restartDead(); err != nil {
			return false, err
		}
	}
	return broken, nil
}

// sendWithoutLength sends an answer in pieces and announces half of it.
func sendWithoutLength(b *backend, conn net.Conn, r *http.Request, halfway chan<- *backend) {
	id := r.Header.Get(names.AttemptID)
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: sig-%s\r\nConnection: close\r\n\r\n", names.AttemptID, id, names.Signature, id)
	piece := bytes.Repeat([]byte("p"), packBytes/packPieces)
	for n := range packPieces {
		if _, err := conn.Write(piece); err != nil {
			b.record.printf("server %s: the connection of request %s fails at byte %d: %v", b.name, id, n*len(piece), err)
			return
		}
		if n == killAfterPiece {
			halfway <- b
		}
		time.Sleep(pieceInterval)
	}
	b.record.printf("server %s: has sent all %d bytes of the answer to %s", b.name, packBytes, id)
}

// killBeside kills the node beside a backend server.
func (f *fleet) killBeside(b *backend) {
	for _, i := range f.instances {
		if i.backend == b {
			i.kill()
		}
	}
}

// restartDead starts the nodes that were killed and waits until all are ready.
func (f *fleet) restartDead() error {
	time.Sleep(downTime)
	for _, i := range f.instances {
		select {
		case <-i.exited:
			if err := i.start(); err != nil {
				return err
			}
		default:
		}
	}
	if err := f.awaitReady(); err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	return nil
}
