package main

import (
	"os"
	"os/exec"
	"syscall"
	"testing"
)

// hangupChild is the variable of the environment that makes the test send itself SIGHUP.
const hangupChild = "MASTWHEELD_TEST_HANGUP"

// Guards against a SIGHUP right after the start, which ends a process that does not watch for it yet, with all its requests.
func TestHangupRightAfterTheStartEndsNothing(t *testing.T) {
	if os.Getenv(hangupChild) != "" {
		watchHangups()
		if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
		return
	}
	for range 10 {
		child := exec.Command(os.Args[0], "-test.run", "^"+t.Name()+"$")
		child.Env = append(os.Environ(), hangupChild+"=1")
		if output, err := child.CombinedOutput(); err != nil {
			t.Fatalf("%v: %s", err, output)
		}
	}
}
