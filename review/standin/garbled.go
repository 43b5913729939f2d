package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Times and rates of the case.
const (
	garbledLength = 100 * time.Second
	garbledStart  = 3 * time.Second
	garbledFor    = 5 * time.Second // of one disruption
	garbledEvery  = 20              // one answer in so many is garbled
	starvedShare  = 0.25
)

// kind counts the requests of a kind.
type kind struct {
	host, path   string
	interval     time.Duration // between two requests of one client machine
	sent, served atomic.Int64
}

func (k *kind) share() float64 { return float64(k.served.Load()) / float64(max(k.sent.Load(), 1)) }

// playGarbled lets the backend servers of a service garble the first digit of the
// status in some of their answers for a while, one server after the other.
func playGarbled(r *record, folder string, trouble bool) (bool, error) {
	f, err := newFleet(r, folder, "config.json")
	if err != nil {
		return false, err
	}
	defer f.close()
	var garbling [2]atomic.Bool
	var callers []*instance
	for n := range garbling { // in each zone clients and one server of each service
		zone := []string{"poa-a", "poa-b"}[n]
		caller, err := f.add(fmt.Sprintf("agenda-%d", n+1), "agenda", zone, 9, plainAnswer(5*time.Millisecond, 400))
		if err != nil {
			return false, err
		}
		callers = append(callers, caller)
		if _, err := f.add(fmt.Sprintf("acervo-%d", n+1), "acervo", zone, 9, garblingAnswer(&garbling[n])); err != nil {
			return false, err
		}
	}
	if err := f.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	ctx, cancel := context.WithTimeout(context.Background(), garbledLength)
	defer cancel()
	pack := &kind{host: "acervo.example", path: "/packs/one", interval: 18 * time.Millisecond}
	booking := &kind{host: "agenda.example", path: "/confirm/one", interval: 12 * time.Millisecond}
	var senders sync.WaitGroup
	for _, caller := range callers {
		for _, k := range []*kind{pack, booking} {
			senders.Go(func() { f.sendKind(ctx, caller, k) })
		}
	}
	time.Sleep(garbledStart)
	for n := range garbling {
		garbling[n].Store(trouble)
		r.printf("server acervo-%d: garbles answers: %v", n+1, trouble)
		time.Sleep(garbledFor)
		garbling[n].Store(false)
		r.printf("server acervo-%d: is sound", n+1)
	}
	time.Sleep(3 * time.Second)
	packsBefore, servedBefore := pack.sent.Load(), pack.served.Load()
	senders.Wait()
	late := pack.sent.Load() - packsBefore
	r.printf("later than 3 s after the last garbled answer: %d of %d requests to /packs/ served by sound servers", pack.served.Load()-servedBefore, late)
	all := float64(pack.served.Load()+booking.served.Load()) / float64(max(pack.sent.Load()+booking.sent.Load(), 1))
	r.printf("served over the whole run: /packs/ %.3f, /confirm/ %.3f, all %.3f", pack.share(), booking.share(), all)
	if pack.share() < starvedShare*all {
		r.printf("Starved: requests to /packs/ are served %.2f times as often as all requests", pack.share()/all)
		return true, nil
	}
	return false, nil
}

// garblingAnswer answers like a sound server, but while garbling is set one answer
// in garbledEvery has a wrong first digit in its status.
func garblingAnswer(garbling *atomic.Bool) answerFunc {
	var count atomic.Int64
	sound := plainAnswer(5*time.Millisecond, 400)
	return func(b *backend, conn net.Conn, r *http.Request, body []byte) bool {
		if !garbling.Load() || count.Add(1)%garbledEvery != 0 {
			return sound(b, conn, r, body)
		}
		id := r.Header.Get(names.AttemptID)
		b.record.printf("server %s: answers %s with the status line HTTP/1.1 000 OK", b.name, id)
		_, err := fmt.Fprintf(conn, "HTTP/1.1 000 OK\r\n%s: %s\r\n%s: sig-%s\r\nContent-Length: 2\r\n\r\nok", names.AttemptID, id, names.Signature, id)
		return err == nil
	}
}

// sendKind sends requests of a kind until the context ends, and waits for them.
func (f *fleet) sendKind(ctx context.Context, i *instance, k *kind) {
	var requests sync.WaitGroup
	for ctx.Err() == nil {
		k.sent.Add(1)
		requests.Go(func() {
			res := f.request(i, "GET", k.host, k.path, "", 800*time.Millisecond)
			if res.status == http.StatusOK && res.err == nil && res.header.Get(names.Signature) != "" {
				k.served.Add(1)
			}
		})
		time.Sleep(k.interval)
	}
	requests.Wait()
}
