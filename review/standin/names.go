package main

import (
	"encoding/json"
	"os"
)

// names holds the platform's names of headers and paths, which are read from a
// data file: only the folder platform may have them in its source.
var names struct {
	AttemptID      string `json:"attemptId"`
	Deadline       string `json:"deadline"`
	Signature      string `json:"signature"`
	Target         string `json:"target"`
	NotExecuted    string `json:"notExecuted"`
	Instance       string `json:"instance"`
	Caller         string `json:"caller"`
	HeartbeatPath  string `json:"heartbeatPath"`
	DeregisterPath string `json:"deregisterPath"`
}

func loadNames(file string) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	return json.Unmarshal(data, &names)
}
