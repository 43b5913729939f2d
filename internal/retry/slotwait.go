package retry

import "time"

// Fractions of the time to the latency objective that a call may wait for a slot, by
// the number of refusals so far. A node has few answers of each of many servers, so
// its first choice is often full while others are idle; a refusal costs a round
// trip, and a wait the time of whole calls. Of few servers it has fresh answers, and
// refusals only add to their load.
var (
	fractionsOfMany = []float64{0.1, 0.25}
	fractionsOfFew  = []float64{0.25, 0.25}
)

// manyServers is the number of servers of a service from which fractionsOfMany apply.
const manyServers = 12

// minSlotWait keeps a call past its latency objective from being refused by every
// server.
const minSlotWait = 10 * time.Millisecond

// SlotWait returns how long a call may wait for a slot of the server that it is
// sent to next while other servers are untried, and false when the server may queue
// it until its deadline: enough servers have refused it. objectiveLeft is the time
// left to the latency objective, servers the number of the service's servers.
//
// It answers demand near the capacity of servers that many nodes choose with little
// knowledge of each other: some servers have a queue while others are idle.
func SlotWait(objectiveLeft time.Duration, refusals, servers int) (time.Duration, bool) {
	fractions := fractionsOfFew
	if servers >= manyServers {
		fractions = fractionsOfMany
	}
	if refusals >= len(fractions) {
		return 0, false
	}
	return max(time.Duration(float64(objectiveLeft)*fractions[refusals]), minSlotWait), true
}

// OnlySeeksIdleServer reports whether a refusal after a wait that SlotWait allowed
// says no more than that the server was not idle: other calls may well wait there.
func OnlySeeksIdleServer(refusals, servers int) bool {
	return servers >= manyServers && refusals < len(fractionsOfMany)-1
}
