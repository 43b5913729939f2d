package proxy

import (
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/goldcrestshed/goldcrestshed/internal/snapshot"
)

// Front takes calls from callers and sends them to the node beside a backend
// server of their service.
type Front struct {
	holder *snapshot.Holder
	link   *Link
	pick   func(*snapshot.Service) *snapshot.Endpoint
}

// NewFront returns a Front that routes by the generations of a holder.
func NewFront(h *snapshot.Holder, l *Link, pick func(*snapshot.Service) *snapshot.Endpoint) *Front {
	return &Front{holder: h, link: l, pick: pick}
}

// ServeHTTP implements http.Handler.
func (f *Front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	route, failure := f.route(r)
	if failure != nil {
		failure.write(w)
		return
	}
	hops, _ := strconv.Atoi(r.Header.Get(HeaderHops))
	if hops >= maxHops {
		notRun(http.StatusLoopDetected, ReasonTooManyHop, "the chain of calls is too deep").write(w)
		return
	}
	header := requestHeader(r)
	header.Set(HeaderHops, strconv.Itoa(hops+1))
	header.Set(HeaderRoute, route.ID)
	header.Del(HeaderKey)
	if key := header.Get(HeaderKeyCaller); key != "" {
		header.Del(HeaderKeyCaller)
		header.Set(HeaderKey, key)
	}
	early := &earlyHints{w: w}
	body := newKeptBody(r)
	if body.small() {
		if err := body.take(http.NewResponseController(w), time.Now().Add(time.Duration(route.Service.Policy.Timeout))); err != nil {
			failureOf(&sendError{cause: err}, body).write(w)
			return
		}
	}
	answer, err := f.link.send(r.Context(), sending{
		address: f.pick(route.Service).GuardAddress, in: r, header: header, body: body,
		wait: time.Duration(route.Service.Policy.Timeout), early: early.pass,
	})
	early.stop()
	if err != nil {
		failureOf(err, body).write(w)
		return
	}
	defer answer.Close()
	if err := relay(w, r, answer); err != nil {
		abort(w, r)
	}
}

func (f *Front) route(r *http.Request) (*snapshot.Route, *Failure) {
	m := f.holder.Lookup(hostOf(r), r.Method, r.URL.Path)
	switch {
	case m.Generation == 0:
		return nil, notRun(http.StatusServiceUnavailable, ReasonNotReady, "the node has no configuration yet")
	case m.Route == nil:
		return nil, notRun(http.StatusNotFound, ReasonNoRoute, "no route matches")
	case m.HeldBack:
		return nil, notRun(http.StatusServiceUnavailable, ReasonNoBackend, "the service has no backend server")
	}
	return m.Route, nil
}

func hostOf(r *http.Request) string {
	host := r.Host
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	return strings.ToLower(host)
}
