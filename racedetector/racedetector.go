// Package racedetector tells tests whether the race detector watches them, and how
// much they may then ask of it.
package racedetector

// MostGoroutines is about how many goroutines a test on a virtual clock may run at a
// time under the detector. It has 255 places for those that run; where it takes one
// away from a goroutine of such a test, it ends the process itself ("ThreadSanitizer:
// CHECK failed: tsan_rtl.cpp:346", Go 1.26.8). A program of forty lines, with tickers
// and channels alone, does so in 19 of 30 runs with 800 goroutines on a virtual clock,
// and in none of 30 each with 100, or on the real clock. Larger tests run without the
// detector; the CI script sees to that. The same program ended with status 2 in 8 more of
// those 30; the two outputs kept show SIGSEGV in runtime.(*timer).maybeRunChan. Smaller
// tests do that too: once in eight runs of all, beside load. Timers without channels are
// no way round it: with them two of three runs of a package ended in (*timer).modify.
const MostGoroutines = 200
