package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"github.com/goldcrestshed/goldcrestshed/internal/platformlog"
	"github.com/goldcrestshed/goldcrestshed/internal/standin"
)

// session is an operator's terminal that plays a script. Clock and ids count
// up.
type session struct {
	t       *testing.T
	log     *standin.Log
	cli     *cli
	out     bytes.Buffer
	minutes int
	ids     int
}

func newSession(t *testing.T) *session {
	s := &session{t: t, log: standin.NewLog(time.Hour, time.Now)}
	s.cli = &cli{
		now:   func() time.Time { s.minutes++; return time.Date(2026, 3, 2, 9, s.minutes, 0, 0, time.UTC) },
		newID: func() string { s.ids++; return fmt.Sprintf("id-%d", s.ids) },
		dial:  func(string) platformlog.Log { return s.log.Direct() },

		interrupt: context.WithCancel,
	}
	return s
}

// play runs one line of a script: a note, a step that prepares files or
// faults, or else a command line of goldcrestctl.
func (s *session) play(line string) {
	word, rest, _ := strings.Cut(line, " ")
	switch word {
	case "#":
		fmt.Fprintln(&s.out, line)
	case "write":
		file, content, _ := strings.Cut(rest, " ")
		assert.NilError(s.t, os.MkdirAll(filepath.Dir(file), 0o755))
		assert.NilError(s.t, os.WriteFile(file, []byte(fileContent(strings.Fields(content))), 0o644))
	case "remove":
		assert.NilError(s.t, os.Remove(rest))
	case "faults":
		var f standin.LogFaults
		assert.NilError(s.t, json.Unmarshal([]byte(rest), &f))
		s.log.SetFaults(f)
	case "later": // ends the faults
		d, err := time.ParseDuration(rest)
		assert.NilError(s.t, err)
		time.AfterFunc(d, func() { s.log.SetFaults(standin.LogFaults{}) })
	default:
		s.run(line)
	}
}

func fileContent(words []string) string {
	switch words[0] {
	case "cut":
		return "[\n  {\"kind\": \"profile\","
	case "selection":
		return fmt.Sprintf(`[{"kind": "selection", "service": %q, "profile": %q}]`, words[1], words[2])
	}
	return fmt.Sprintf(`// The profile of %[1]s.
{"kind": "profile", "name": %[1]q,
 "routes": [{"name": "all", "host": "%[1]s.example", "service": %[1]q}],
 "policy": {"timeout": %[2]q}}
`, words[0], words[1])
}

func (s *session) run(line string) {
	var stdout, stderr bytes.Buffer
	code := s.cli.execute(strings.Fields(line), &stdout, &stderr)
	fmt.Fprintf(&s.out, "$ goldcrestctl %s\n%s", line, stdout.String())
	if stderr.Len() > 0 {
		s.out.WriteString("stderr: " + strings.ReplaceAll(strings.TrimRight(stderr.String(), "\n"), "\n", "\nstderr: ") + "\n")
	}
	fmt.Fprintf(&s.out, "exit %d\n\n", code)
}

// Guards the whole of what an operator sees: texts, versions and exit codes
// of every command, and all findings of bad files at once, each with its
// place, the problem, and what is allowed, the same from check and publish.
func TestSessions(t *testing.T) {
	bad, err := os.ReadFile("testdata/bad.json")
	assert.NilError(t, err)
	for _, name := range []string{"session", "findings"} {
		script, err := os.ReadFile("testdata/" + name + ".script")
		assert.NilError(t, err)
		var out string
		t.Run(name, func(t *testing.T) {
			t.Chdir(t.TempDir())
			assert.NilError(t, os.WriteFile("bad.json", bad, 0o644))
			synctest.Test(t, func(t *testing.T) {
				s := newSession(t)
				for line := range strings.Lines(string(script)) {
					s.play(strings.TrimSpace(line))
				}
				out = s.out.String()
			})
		})
		golden.Assert(t, out, name+".golden")
	}
}
