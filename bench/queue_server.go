package main

import (
	"time"

	"github.com/goldcrestshed/goldcrestshed/internal/admission"
)

// queueCall is one call to a simulated backend server.
type queueCall struct {
	route    string
	priority admission.Priority
	work     time.Duration // time that the backend server takes
	arrived  time.Time
	deadline time.Time
}

// queueEnd is how a call ended.
type queueEnd struct {
	queueCall
	ran      bool
	at       time.Time
	beside   int // background calls that ran when it was refused
	duration time.Duration
}

// queueServer is a backend server behind a queue.
type queueServer interface {
	arrive(c queueCall)
}

// fifoServer is the baseline: an unbounded queue, served in order.
type fifoServer struct {
	events *simulation
	free   int
	queue  []queueCall
	done   func(queueEnd)
}

func (s *fifoServer) arrive(c queueCall) {
	s.queue = append(s.queue, c)
	s.next()
}

func (s *fifoServer) next() {
	for s.free > 0 && len(s.queue) > 0 {
		c := s.queue[0]
		s.queue = s.queue[1:]
		s.free--
		s.events.after(c.work, func() {
			s.free++
			s.done(queueEnd{queueCall: c, ran: true, at: s.events.now, duration: s.events.now.Sub(c.arrived)})
			s.next()
		})
	}
}

// gateServer is a backend server behind the product's gate.
type gateServer struct {
	events     *simulation
	gate       *admission.Controller
	waiting    []waitingCall
	background map[*admission.Ticket]queueCall // background calls that run
	done       func(queueEnd)
}

type waitingCall struct {
	call   queueCall
	ticket *admission.Ticket
}

// gateCancel is the time in which a cancellation frees the slot.
const gateCancel = time.Millisecond

// gateTick is how often the gate looks for work to shed.
const gateTick = 10 * time.Millisecond

func newGateServer(events *simulation, cfg admission.Config, done func(queueEnd)) *gateServer {
	s := &gateServer{events: events, gate: admission.NewController(cfg), done: done, background: map[*admission.Ticket]queueCall{}}
	s.tick()
	return s
}

func (s *gateServer) tick() {
	s.gate.Tick(s.events.now)
	s.look()
	s.events.after(gateTick, s.tick)
}

func (s *gateServer) arrive(c queueCall) {
	t, d := s.gate.Acquire(s.events.now, admission.Request{Route: c.route, Priority: c.priority, Deadline: c.deadline})
	s.look()
	switch d.Verdict {
	case admission.Admitted:
		s.start(c, t)
	case admission.Queued:
		s.waiting = append(s.waiting, waitingCall{c, t})
	case admission.Refused:
		s.refuse(c)
	}
}

// look starts or ends the waiting calls that got their decision.
func (s *gateServer) look() {
	rest := s.waiting[:0]
	for _, w := range s.waiting {
		select {
		case d := <-w.ticket.Ready():
			if d.Verdict == admission.Admitted {
				s.start(w.call, w.ticket)
			} else {
				s.refuse(w.call)
			}
		default:
			rest = append(rest, w)
		}
	}
	s.waiting = rest
	s.cancel()
}

func (s *gateServer) start(c queueCall, t *admission.Ticket) {
	if c.priority == admission.Background {
		s.background[t] = c
	}
	s.events.after(c.work, func() {
		if _, runs := s.background[t]; c.priority == admission.Background && !runs {
			return // it was cancelled
		}
		delete(s.background, t)
		t.Release(s.events.now, c.work, true)
		s.done(queueEnd{queueCall: c, ran: true, at: s.events.now, duration: s.events.now.Sub(c.arrived)})
		s.look()
	})
}

// cancel ends the background calls that the gate asks to end.
func (s *gateServer) cancel() {
	for t := range s.background {
		select {
		case <-t.Preempted():
			s.events.after(gateCancel, func() { s.cancelled(t) })
		default:
		}
	}
}

func (s *gateServer) cancelled(t *admission.Ticket) {
	if _, runs := s.background[t]; !runs {
		return
	}
	delete(s.background, t)
	t.Release(s.events.now, 0, false)
	s.look()
}

func (s *gateServer) refuse(c queueCall) {
	s.done(queueEnd{queueCall: c, at: s.events.now, beside: len(s.background)})
}
