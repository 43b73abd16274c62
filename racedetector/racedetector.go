// Package racedetector informs tests whether the race detector is enabled, and of the
// size of test that it supports.
package racedetector

import "runtime"

// MaxGoroutines is the approximate number of goroutines that a test on a virtual clock
// may run at a time under the race detector. The detector has 255 slots for running
// goroutines. When it takes the slot of a goroutine of such a test, it ends the process
// ("ThreadSanitizer: CHECK failed: tsan_rtl.cpp:346", Go 1.26.8). A program of forty
// lines that uses only tickers and channels fails in this way in 19 of 30 runs with 800
// goroutines on a virtual clock. It fails in none of 30 runs with 100 goroutines, and in
// none of 30 on the real clock. The CI script runs larger tests without the detector.
//
// In 8 more of the 30 runs with 800 goroutines the program exited with status 2. The two
// outputs that were kept show SIGSEGV in runtime.(*timer).maybeRunChan. Smaller tests
// fail in this way too, in one of eight runs of all tests on a loaded machine. Timers
// without channels don't avoid it: with them, two of three runs of a package failed in
// (*timer).modify.
const MaxGoroutines = 200

// MaxBusyGoroutines is MaxGoroutines for tests whose goroutines exchange messages all the time. On arm64 the
// detector ended most runs of a package whose tests have 136 such goroutines.
func MaxBusyGoroutines() int {
	if runtime.GOARCH == "arm64" {
		return MaxGoroutines / 2
	}
	return MaxGoroutines
}
