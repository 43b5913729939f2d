package main

import (
	_ "embed"
	"encoding/json"
)

//go:embed names.json
var namesData []byte

// names holds the names of the platform's pages that the stand-ins use.
var names = func() (n struct {
	AttemptID     string `json:"attemptID"`
	DeadlineMs    string `json:"deadlineMs"`
	Signature     string `json:"signature"`
	HeartbeatPath string `json:"heartbeatPath"`
}) {
	if err := json.Unmarshal(namesData, &n); err != nil {
		panic(err)
	}
	return n
}()
