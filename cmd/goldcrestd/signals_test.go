package main

import (
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"
)

// TestSignalsDuringStart guards against a process that a reload or a request for its
// state ends because it starts at that moment.
func TestSignalsDuringStart(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "goldcrestd")
	out, err := exec.Command("go", "build", "-o", binary, ".").CombinedOutput()
	assert.NilError(t, err, "%s", out)
	for _, s := range []syscall.Signal{syscall.SIGHUP, syscall.SIGUSR1} {
		t.Run(s.String(), func(t *testing.T) {
			// The process waits for its settings until the test has written them.
			file := filepath.Join(t.TempDir(), "settings")
			assert.NilError(t, syscall.Mkfifo(file, 0o600))
			cmd := exec.Command(binary, "--settings", file)
			assert.NilError(t, cmd.Start())
			settings, err := os.OpenFile(file, os.O_WRONLY, 0) // opens once the process reads
			assert.NilError(t, err)
			assert.NilError(t, cmd.Process.Signal(s))
			_, err = settings.WriteString(`{"unknown": 1}`)
			assert.NilError(t, err)
			assert.NilError(t, settings.Close())
			assert.ErrorContains(t, cmd.Wait(), "exit status 2") // the settings are invalid
		})
	}
}
