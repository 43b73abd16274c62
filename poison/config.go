package poison

import "time"

// Config tunes when a request is blocked, and for how long.
type Config struct {
	// SuspectCrashes is how many servers must have ended under a request for its next
	// run to be a probe: one at a time, at the server where the fewest others are
	// lost with it. With one, each request that shared a server with the cause would
	// be probed; with three, that care would come too late.
	SuspectCrashes int
	// BlockCrashes is how many servers must have ended under a request, and under no
	// other that explains it, for it to be blocked (source: the users' rule, three).
	BlockCrashes int
	// OftenCrashes is how many servers must have ended under a request, whatever explains
	// them, for SuspectCrashes that nothing explains to be enough: where there are more
	// requests that crash servers than servers, each mostly runs beside another. With 20
	// of them before 9 servers, 111 servers ended in 40 s without it, and 70 with it; none
	// of 2,400 other requests was refused.
	OftenCrashes int
	// TiedCrashes is how many servers must have ended under several requests that
	// always ran together for all of them to be blocked. Until then one of them is
	// probed now and then, which tells them apart.
	TiedCrashes int
	// TiedProbeAfter is the least time between two such probes.
	TiedProbeAfter time.Duration
	// ProbeAfter is how long after its last crash a blocked request is probed again,
	// for a server that was mended meanwhile; each probe that fails makes it
	// ProbeFactor times as long, up to ProbeAtMost. Shorter serves the wrongly blocked
	// sooner; each probe of a true one costs a server (the users allow three in all).
	ProbeAfter  time.Duration
	ProbeFactor int
	ProbeAtMost time.Duration
	// ProbeSpread is the time in which the chance that an instance probes a request
	// doubles. All instances know when a probe is due, and one should make it.
	ProbeSpread time.Duration
	// Memory is how long the end of a server is remembered: longer than BlockCrashes
	// times ProbeAtMost, or a request would be forgotten between two probes.
	Memory time.Duration
	// BrokenFor is how long a run that broke off waits for the word that its server
	// has ended.
	BrokenFor time.Duration
	// MostEnds bounds the ends that are remembered, and MostRan the requests of each,
	// some 50 bytes apiece; the oldest and the last go.
	MostEnds int
	MostRan  int
	// FreshFor is how long an end is told in each update after something new was
	// learnt of it: several updates, since datagrams are lost now and then.
	FreshFor time.Duration
	// RepairEvery is the pause between two updates that tell what is no longer fresh,
	// RepairEnds ends at a time: for those who missed them.
	RepairEvery time.Duration
	RepairEnds  int
	// RecentFor is how long an end is told so whatever ran there; later only those
	// are that count against a request.
	RecentFor time.Duration
	// UpdateRan bounds the requests in one update, some 12 bytes each, and UpdateMarks
	// its marks, some 16 bytes each.
	UpdateRan   int
	UpdateMarks int
}

// DefaultConfig follows the users' rules.
func DefaultConfig() Config {
	return Config{
		SuspectCrashes: 2,
		BlockCrashes:   3,
		OftenCrashes:   5,
		TiedCrashes:    5,
		TiedProbeAfter: 2 * time.Second,
		ProbeAfter:     10 * time.Second,
		ProbeFactor:    6,
		ProbeAtMost:    12 * time.Minute,
		ProbeSpread:    time.Second,
		Memory:         time.Hour,
		BrokenFor:      2 * time.Second,
		MostEnds:       512,
		MostRan:        128,
		FreshFor:       time.Second,
		RepairEvery:    time.Second,
		RepairEnds:     4,
		RecentFor:      10 * time.Second,
		UpdateRan:      80,
		UpdateMarks:    16,
	}
}
