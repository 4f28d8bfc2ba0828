package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"

	"github.com/matryer/is"
)

// buildDaemon builds the daemon and returns the path of the program.
func buildDaemon(t *testing.T) string {
	t.Helper()
	is := is.New(t)
	binary := filepath.Join(t.TempDir(), "monsoonchuted")
	output, err := exec.Command("go", "build", "-o", binary, ".").CombinedOutput()
	is.NoErr(err)
	is.Equal(string(output), "")
	return binary
}

// TestASignalDuringTheStartCausesAPlannedStop guards against a daemon that is ended by a signal which arrives before the
// host has started. The settings are a named pipe, so that the signal arrives while the daemon reads them.
func TestASignalDuringTheStartCausesAPlannedStop(t *testing.T) {
	binary := buildDaemon(t)
	for _, signals := range [][]syscall.Signal{{syscall.SIGTERM}, {syscall.SIGINT}, {syscall.SIGHUP, syscall.SIGTERM}} {
		t.Run(fmt.Sprint(signals), func(t *testing.T) {
			is := is.New(t)
			path := filepath.Join(t.TempDir(), "settings.toml")
			is.NoErr(syscall.Mkfifo(path, 0o600))
			process := exec.Command(binary, "--settings", path)
			process.Stderr = os.Stderr
			is.NoErr(process.Start())
			t.Cleanup(func() { _ = process.Process.Kill() })
			settings, err := os.OpenFile(path, os.O_WRONLY, 0) // returns once the daemon reads
			is.NoErr(err)
			for _, s := range signals {
				is.NoErr(process.Process.Signal(s))
			}
			_, err = fmt.Fprintf(settings,
				"host-id = 'entry-0'\navailability-zone = 'zone-a'\nfront-address = %q\npeer-address = %q\nstore-address = %q\nlog-level = 'error'\n",
				freeAddress(t), freeAddress(t), freeAddress(t))
			is.NoErr(err)
			is.NoErr(settings.Close())
			is.NoErr(process.Wait())
		})
	}
}
