// Command kit2 holds the stand-ins, clients and judges of the scripts of the second review. Each script
// runs one case against instances that are started with the commands of the deploy file.
package main

import (
	"flag"
	"fmt"
	"os"
	"time"
)

// Exit codes of a script.
const (
	exitHeld    = 0
	exitBroken  = 1
	exitNotDone = 2
)

// scenario is one case, with a number of workers. It returns what broke the rule, and an error if the case could not run.
type scenario struct {
	workers int
	play    func(d *deployment, trouble bool) (broken []string, err error)
}

// usualWorkers are nine engines and three plain servers. A third service has three more.
const usualWorkers, withOtherService = 12, 15

var scenarios = map[string]scenario{
	"second-answer": {usualWorkers, secondAnswer},
	"deadly-part":   {usualWorkers, deadlyPart},
	"deadly-late":   {usualWorkers, deadlyPartLate},
	"higher-rank":   {withOtherService, higherRank},
}

func main() {
	folder := flag.String("folder", ".", "folder of the case, for record.txt")
	daemon := flag.String("daemon", "target/mastwheeld", "the daemon")
	trouble := flag.Bool("trouble", true, "with the disruption")
	instances := flag.Int("instances", 7, "number of instances")
	flag.Parse()
	run, known := scenarios[flag.Arg(0)]
	if !known {
		fmt.Fprintln(os.Stderr, "kit2: unknown case", flag.Arg(0))
		os.Exit(exitNotDone)
	}
	os.Exit(play(run, *folder, *daemon, *instances, *trouble))
}

func play(run scenario, folder, daemon string, instances int, trouble bool) int {
	record, err := newRecord(folder)
	if err != nil {
		fmt.Fprintln(os.Stderr, "kit2:", err)
		return exitNotDone
	}
	defer record.close()
	record.line("start", "trouble", trouble, "instances", instances)
	d, err := startDeployment(record, daemon, instances, run.workers)
	if err != nil {
		record.line("not run", "err", err)
		fmt.Fprintln(os.Stderr, "kit2:", err)
		return exitNotDone
	}
	broken, err := run.play(d, trouble)
	d.stop()
	if err == nil && d.exited() > 0 {
		err = fmt.Errorf("%d instances ended by themselves", d.exited())
	}
	for _, what := range broken {
		record.line("broken", "what", what)
	}
	switch {
	case err != nil:
		record.line("not run", "err", err)
		fmt.Fprintln(os.Stderr, "kit2:", err)
		return exitNotDone
	case len(broken) > 0:
		fmt.Println("broken:", len(broken), "times; the first:", broken[0])
		return exitBroken
	}
	fmt.Println("held")
	return exitHeld
}

// pauseFor waits for a number of seconds.
func pauseFor(seconds float64) { time.Sleep(time.Duration(seconds * float64(time.Second))) }
