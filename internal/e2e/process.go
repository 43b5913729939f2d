// Package e2e tests the binaries as separate processes on loopback.
package e2e
