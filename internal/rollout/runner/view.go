package runner

import "github.com/goldcrestshed/goldcrestshed/internal/rollout"

// View is the state of a node's rollouts for dumps and gauges.
type View struct {
	Active       int                `json:"active"` // orders whose end is not recorded
	Completed    int64              `json:"completed"`
	RolledBack   int64              `json:"rolledBack"`
	Conflicts    int64              `json:"conflicts"`
	Refused      int64              `json:"refusedOrders"`
	States       []rollout.State    `json:"states"`
	Coordinating []string           `json:"coordinating"` // services
	Server       rollout.ServerView `json:"server"`
}

// View returns the state for dumps and gauges.
func (r *Runner) View() View {
	v := View{
		Completed: r.counters.completed.Load(), RolledBack: r.counters.rolledBack.Load(), Conflicts: r.counters.conflicts.Load(),
		Refused: r.counters.refusedOrders.Load(), States: r.Gate.States(), Coordinating: []string{}, Server: r.Server.View(),
	}
	for _, s := range v.States {
		if !s.Recorded {
			v.Active++
		}
		if _, ok := r.coordinations.Get(s.Service); ok {
			v.Coordinating = append(v.Coordinating, s.Service)
		}
	}
	return v
}
