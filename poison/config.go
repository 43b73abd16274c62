package poison

import "time"

// Config sets when a request is blocked, and for how long.
type Config struct {
	// SuspectCrashes is how many servers must have crashed during a request for it to become a
	// suspect. From then on each execution is a probe: one at a time, on the server where the
	// fewest other requests are lost with it. With a value of one, every request that shared a
	// server with the cause would be probed. With a value of three, the probes would come too
	// late.
	SuspectCrashes int
	// BlockCrashes is how many servers must have crashed during a request, without another
	// request that explains the crashes, for it to be blocked. The service requirements allow
	// three.
	BlockCrashes int
	// RepeatedCrashes is how many servers must have crashed during a request, whatever
	// explains the crashes, for SuspectCrashes unexplained ones to be enough to block
	// it. If there are more requests that crash servers than servers, each of them
	// mostly runs beside another one. With 20 such requests and 9 servers, 111 servers
	// crashed in 40 s without this rule and 70 with it, and none of 2,400 other
	// requests was refused.
	RepeatedCrashes int
	// TiedCrashes is how many servers must have crashed during several requests that always ran
	// together for all of them to be blocked. Until then one of these requests is probed at
	// intervals, which tells them apart.
	TiedCrashes int
	// SoundFor is how long a part of prompts counts as sound after a request with it has survived.
	// Sound requests share most parts, and such a part runs at each server that crashes for
	// another reason. Until then it is blamed last, and blocked after TiedCrashes only. A longer
	// time blocks a part later that begins to crash servers.
	SoundFor time.Duration
	// ExplainedShare is the fraction of the crashes in a time that a part of prompts must explain for
	// BlockCrashes to be enough to block it; else TiedCrashes are needed.
	ExplainedShare float64
	// TiedProbeAfter is the minimum time between two such probes.
	TiedProbeAfter time.Duration
	// ProbeAfter is how long after its last crash a blocked request is probed again, in case
	// the servers have been fixed. Each failed probe multiplies the delay by ProbeFactor, up to
	// MaxProbeDelay. A shorter delay serves wrongly blocked requests sooner, but each probe of
	// a request that is to blame costs a server, and the service requirements allow three in
	// all.
	ProbeAfter    time.Duration
	ProbeFactor   int
	MaxProbeDelay time.Duration
	// ProbeSpread is the time in which the probability that an instance probes a
	// request doubles. All instances know when a probe is due, and only one should make
	// it.
	ProbeSpread time.Duration
	// Memory is how long the crash of a server is remembered. It must be longer than
	// BlockCrashes times MaxProbeDelay, or a request would be forgotten between two
	// probes.
	Memory time.Duration
	// ConfirmTimeout is how long a request whose connection broke waits for confirmation
	// that its server has crashed.
	ConfirmTimeout time.Duration
	// MaxCrashes limits the remembered crashes, and MaxRequestsPerCrash the fingerprints of each, at
	// about 50 bytes apiece. Beyond the limits the oldest crashes are dropped, and the requests
	// that started first: a request that crashes a server does so soon. A server runs up to 64
	// requests (source: the reference deployments), with four fingerprints each.
	MaxCrashes          int
	MaxRequestsPerCrash int
	// FreshFor is how long a crash is part of each update after its record last changed. It
	// spans several updates, since datagrams are sometimes lost.
	FreshFor time.Duration
	// RepairEvery is the interval between updates that repeat crashes which are no
	// longer fresh, RepairCrashes at a time, for instances that missed them.
	RepairEvery   time.Duration
	RepairCrashes int
	// RecentFor is how long a crash is repeated that way whatever requests ran there.
	// Later it is repeated only if it counts against a request.
	RecentFor time.Duration
	// UpdateRequests limits the requests in one update, at about 12 bytes each, and
	// UpdateMarks its marks, at about 16 bytes each.
	UpdateRequests int
	UpdateMarks    int
}

// DefaultConfig returns the settings that meet the service requirements.
func DefaultConfig() Config {
	return Config{
		SuspectCrashes:      2,
		BlockCrashes:        3,
		RepeatedCrashes:     5,
		TiedCrashes:         5,
		SoundFor:            time.Minute,
		ExplainedShare:      0.65,
		TiedProbeAfter:      2 * time.Second,
		ProbeAfter:          10 * time.Second,
		ProbeFactor:         6,
		MaxProbeDelay:       12 * time.Minute,
		ProbeSpread:         time.Second,
		Memory:              time.Hour,
		ConfirmTimeout:      2 * time.Second,
		MaxCrashes:          512,
		MaxRequestsPerCrash: 256,
		FreshFor:            time.Second,
		RepairEvery:         time.Second,
		RepairCrashes:       4,
		RecentFor:           10 * time.Second,
		UpdateRequests:      80,
		UpdateMarks:         16,
	}
}
