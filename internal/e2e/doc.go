// Package e2e tests goldcrestd and goldcrestctl as separate processes on
// loopback addresses. Its tests refer to the documented guarantees by number:
//
//   - P1: the position of a node does not decrease, also after a restart.
//   - P4: an answer belongs to the call.
//   - P5: the reported outcomes ran and not-run are true.
//   - P6: a call with an idempotency key runs at most once.
//   - P7, P8: a drain completes the calls in flight and admits no new ones.
//   - P9: an accepted revision is in force on every node soon after a fault and
//     stays in force.
package e2e
