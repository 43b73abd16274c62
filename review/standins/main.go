// Command standins runs the cases of the review: stand-ins of the platform, its workers and its clients
// around processes of the daemon.
package main

import (
	"fmt"
	"os"
	"time"
)

// trouble reports whether the case is to have its disruption.
func trouble() bool { return os.Getenv("TROUBLE") != "0" }

// caseLimit ends a case that does not end by itself.
const caseLimit = 115 * time.Second

func main() {
	if len(os.Args) == 5 && os.Args[1] == "plain" {
		if err := runPlainWorker(os.Args[2], os.Args[3], os.Args[4]); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(2)
		}
		return
	}
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: standins CASE RECORD")
		os.Exit(2)
	}
	run, known := cases[os.Args[1]]
	if !known {
		fmt.Fprintln(os.Stderr, "no such case")
		os.Exit(2)
	}
	r, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	d, err := newDeployment(r)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	ended := make(chan error, 1)
	go func() { ended <- run(r, d) }()
	select {
	case err = <-ended:
	case <-time.After(caseLimit):
		err = fmt.Errorf("the case did not end in time")
	}
	d.close()
	code := r.close()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		code = 2
	}
	os.Exit(code)
}

var cases = map[string]func(*record, *deployment) error{
	"silence": silence,
	"spot":    spot,
	"crash":   crash,
	"large":   large,
	"vanish":  vanish,
}
