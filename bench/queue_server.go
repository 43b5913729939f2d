package main

import (
	"time"

	"github.com/goldcrestshed/goldcrestshed/internal/admission"
)

// queueCall is one call to a simulated backend server.
type queueCall struct {
	route       string
	priority    admission.Priority
	serviceTime time.Duration // of the backend server
	arrived     time.Time
	deadline    time.Time
}

// queueResult describes how and when a call ended.
type queueResult struct {
	queueCall
	ran               bool
	ended             time.Time     // when it finished or was refused
	runningBackground int           // number of background calls running when it was refused
	duration          time.Duration // from arrival to the end of its run; 0 if it was refused
}

// queueServer is a simulated backend server with the queue before it.
type queueServer interface {
	arrive(c queueCall)
}

// fifoServer is the baseline: an unbounded queue, served in order of arrival.
type fifoServer struct {
	sim       *simulation
	freeSlots int
	queue     []queueCall
	done      func(queueResult)
}

func (s *fifoServer) arrive(c queueCall) {
	s.queue = append(s.queue, c)
	s.startNext()
}

func (s *fifoServer) startNext() {
	for s.freeSlots > 0 && len(s.queue) > 0 {
		c := s.queue[0]
		s.queue = s.queue[1:]
		s.freeSlots--
		s.sim.after(c.serviceTime, func() {
			s.freeSlots++
			s.done(queueResult{queueCall: c, ran: true, ended: s.sim.now, duration: s.sim.now.Sub(c.arrived)})
			s.startNext()
		})
	}
}

// admissionServer is a backend server behind an admission.Controller.
type admissionServer struct {
	sim        *simulation
	controller *admission.Controller
	waiting    []waitingCall
	background map[*admission.Ticket]queueCall // running background calls
	done       func(queueResult)
}

type waitingCall struct {
	call   queueCall
	ticket *admission.Ticket
}

// cancelDelay is the time from a cancellation until the slot is free.
const cancelDelay = time.Millisecond

// admissionTickInterval is how often the controller looks for calls to shed.
const admissionTickInterval = 10 * time.Millisecond

func newAdmissionServer(sim *simulation, cfg admission.Config, done func(queueResult)) *admissionServer {
	s := &admissionServer{sim: sim, controller: admission.NewController(cfg), done: done, background: map[*admission.Ticket]queueCall{}}
	s.tick()
	return s
}

func (s *admissionServer) tick() {
	s.controller.Tick(s.sim.now)
	s.dispatch()
	s.sim.after(admissionTickInterval, s.tick)
}

func (s *admissionServer) arrive(c queueCall) {
	t, d := s.controller.Acquire(s.sim.now, admission.Request{Route: c.route, Priority: c.priority, Deadline: c.deadline})
	s.dispatch()
	switch d.Verdict {
	case admission.Admitted:
		s.start(c, t)
	case admission.Queued:
		s.waiting = append(s.waiting, waitingCall{c, t})
	case admission.Refused:
		s.refuse(c)
	}
}

// dispatch starts or refuses the queued calls that the controller has decided on.
func (s *admissionServer) dispatch() {
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
	s.cancelPreempted()
}

func (s *admissionServer) start(c queueCall, t *admission.Ticket) {
	if c.priority == admission.Background {
		s.background[t] = c
	}
	s.sim.after(c.serviceTime, func() {
		if _, runs := s.background[t]; c.priority == admission.Background && !runs {
			return // cancelled
		}
		delete(s.background, t)
		t.Release(s.sim.now, c.serviceTime, true)
		s.done(queueResult{queueCall: c, ran: true, ended: s.sim.now, duration: s.sim.now.Sub(c.arrived)})
		s.dispatch()
	})
}

// cancelPreempted cancels the background calls that the controller preempts.
func (s *admissionServer) cancelPreempted() {
	for t := range s.background {
		select {
		case <-t.Preempted():
			s.sim.after(cancelDelay, func() { s.releaseCancelled(t) })
		default:
		}
	}
}

func (s *admissionServer) releaseCancelled(t *admission.Ticket) {
	if _, runs := s.background[t]; !runs {
		return
	}
	delete(s.background, t)
	t.Release(s.sim.now, 0, false)
	s.dispatch()
}

func (s *admissionServer) refuse(c queueCall) {
	s.done(queueResult{queueCall: c, ended: s.sim.now, runningBackground: len(s.background)})
}
