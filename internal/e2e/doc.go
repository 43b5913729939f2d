// Package e2e tests goldcrestd and goldcrestctl as separate processes on
// loopback addresses. Its tests refer to the documented guarantees as P1 to P9.
package e2e
