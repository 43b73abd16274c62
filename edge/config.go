package edge

import (
	"time"

	"github.com/mastwheel/mastwheel/lease"
	"github.com/mastwheel/mastwheel/member"
	"github.com/mastwheel/mastwheel/subset"
)

// Config holds the settings of an instance's loops.
type Config struct {
	Name string
	Zone string
	// RegionOf maps availability zones to their regions.
	RegionOf map[string]string
	// EntriesAtMost is how many of the addresses that Instance.Entry returns callers use. 0
	// means all.
	EntriesAtMost int
	// CallerAddress and SiblingAddress are the addresses to which callers and siblings connect,
	// each as "ip:port".
	CallerAddress  string
	SiblingAddress string
	// Seeds are addresses of siblings. They may be out of date.
	Seeds []string
	// Capacity is the processor time that this instance may use, in thousandths of a core. The
	// instances with the highest capacity become hubs.
	Capacity int

	// StoreWait is how long one long poll waits at the store. A longer wait costs fewer calls.
	// Lost polls are noticed through FreshFor.
	StoreWait time.Duration
	// FreshFor is how long the instances together may be without an answer from the store before
	// one of them polls it in addition to the waiting long polls. ProbeEvery is the pause between
	// two checks of that. Updates that no long poll returns are known to all instances after
	// FreshFor, one to three of these checks and two checks of CatchUpEvery. That is 0.4 to 0.7 s
	// in the median and 1.2 s at most, on a virtual clock with 1, 8 and 62 instances (40, 40 and
	// 12 draws). A leaving server may be used for 2 s, including the time of a request under way.
	// A shorter FreshFor costs more calls, which are charged for. A lone instance makes 160 a
	// minute, and 62 instances make 416 in place of 248 without these polls. With 0.6 s the
	// figures are 200 and 439, with 0.9 s they are 134 and 380, and updates take 1.4 s.
	FreshFor   time.Duration
	ProbeEvery time.Duration
	// ReadEvery is the least pause between two reads of the list of servers, so that changes in
	// quick succession share a call. ReadPerSibling lengthens it for each sibling, up to
	// ReadAtMost, because each of many instances would pay for the calls. While engines are
	// replaced one after another, 58 instances made 4,800 calls a day at 150 ms and polls of
	// 10 s, and 2,700 at 600 ms and 25 s (means of six days). The pause delays the news that a
	// server leaves, which must get no work after two seconds, including the time of a request
	// under way.
	ReadEvery      time.Duration
	ReadPerSibling time.Duration
	ReadAtMost     time.Duration
	// RetryEvery is the pause after a failed call to the store. It doubles with each further
	// failure in a row, up to RetryAtMost. All calls are charged for, but expired entries must be
	// noticed soon after the store has recovered.
	RetryEvery  time.Duration
	RetryAtMost time.Duration
	// CatchUpEvery is the pause between two checks for siblings with newer data. A sibling that
	// was ahead at two checks in a row is requested to send its data, unless the store is about
	// to be polled anyway.
	CatchUpEvery time.Duration
	// RosterEvery is the pause between two reads of the list of instances. Siblings name each
	// other, so only instances that know no sibling depend on the list. They read it after
	// RosterWait, the time that siblings need to answer, and then every RosterAlone.
	RosterEvery time.Duration
	RosterWait  time.Duration
	RosterAlone time.Duration

	// AnnounceWithin is the time over which instances put themselves on the list of instances
	// again after the store was restored from an older copy, so that their calls are spread.
	AnnounceWithin time.Duration

	// Members configures the detection of failed siblings.
	Members member.Config
	// SuspendedAfter is how late a timer must fire for this instance to count as suspended and not
	// just busy.
	SuspendedAfter time.Duration
	// NearPerBeat and FarPerBeat are about how many siblings of the instance's own zone and of
	// other zones get each heartbeat. Higher values spread loads and failures sooner. The traffic
	// of an instance grows with these values, not with the number of siblings.
	NearPerBeat int
	FarPerBeat  int
	// MinBeatPause is the least pause between two heartbeats, and between two summations of the
	// siblings' loads. A shorter pause lets siblings know sooner of the requests that an engine
	// got. MinBeatPausePerSibling lengthens it for each sibling, up to the period of heartbeats.
	MinBeatPause           time.Duration
	MinBeatPausePerSibling time.Duration
	// PeersNamed is how many other siblings each heartbeat names.
	PeersNamed int

	// Subset configures how many servers an instance uses where there are many.
	Subset subset.Config
	// ReviewEvery is the pause between two checks whether the instances' subsets still suit.
	// FullListKeptFor is how long a former hub keeps the full list of servers, because reading it
	// again takes a megabyte.
	ReviewEvery     time.Duration
	FullListKeptFor time.Duration
	// MeshAtMost is the greatest number of instances that each send their state to all others.
	// With more instances, hubs distribute it. That takes fewer datagrams, and updates are at most
	// two beats old in place of several, but it adds a beat's delay where all instances could be
	// reached directly.
	MeshAtMost int
	// LongPollersWithoutHubs is how many instances leave long polls waiting at the store where
	// there are no hubs. The other instances check the freshness of the data, so a second long
	// poller only costs calls most of the time. With a single one, updates wait for these checks
	// whenever it is restarted.
	LongPollersWithoutHubs int
	// HubsPerZone is how many hubs receive the heartbeats of a zone's members. The second takes
	// over when the first falls silent. A third would cost each member a datagram a beat.
	HubsPerZone int
	// KeepAliveEvery is the period of the heartbeats that an instance without updates sends to its
	// hubs. SubscribedFor is how long a hub serves an instance after its last heartbeat. It
	// covers three of these periods, since datagrams are lost now and then. DirectSilence is the
	// time without direct contact after which a member counts as silent.
	KeepAliveEvery time.Duration
	SubscribedFor  time.Duration
	DirectSilence  time.Duration
	// HubBeatEvery is the pause between two hub digests (messages with the sums of all
	// commitments and the states of siblings), each about 1.2 KB to every member of its zone. A
	// shorter pause spreads the committed memory of engines sooner. At 75 ms a member receives 16
	// KB a second.
	HubBeatEvery time.Duration
	// HubBytes bounds the bytes a second of a hub's digests. With more members or more servers
	// the pause between digests grows, up to two thirds of HubSilence. With 100 members and 3,000
	// servers a hub sent 4 MB a second and took 0.36 of a core. 59 members and 74 servers need
	// less than the bound.
	HubBytes int
	// DiscoveryEvery is the pause between two attempts to contact addresses that belong to no known
	// sibling. Seeds and addresses on the list of instances may be out of date.
	DiscoveryEvery time.Duration
	// HubSilence is how long a hub may leave a subscriber without a digest, which it sends at
	// each beat. The subscriber then avoids the hub for HubAvoidedFor.
	HubSilence    time.Duration
	HubAvoidedFor time.Duration
	// HubGrace is how long an instance must have been a hub before it reports members as silent.
	// The members need that time to choose it as their hub.
	HubGrace time.Duration
	// ZoneSumExpiresAfter is how long the sum of another zone's commitments (the requests and
	// memory that its instances have assigned to servers) is valid without renewal, and
	// CountExpiresAfter the same for the number of instances.
	ZoneSumExpiresAfter time.Duration
	CountExpiresAfter   time.Duration
	// LoadsAtOnce bounds the servers that a digest holds because their sums have changed, about
	// 19 bytes each. LoadsInTurn is how many servers it holds in any case, each in its turn.
	LoadsAtOnce int
	LoadsInTurn int
	// StatesAtOnce bounds the siblings in one hub digest, about 110 bytes each. DiscoveryAtOnce
	// bounds the unknown addresses that are contacted at a time.
	StatesAtOnce    int
	DiscoveryAtOnce int
	// RepeatedAtOnce is how many siblings' states a digest repeats in turn, about 60 bytes each.
	// With 295 siblings each state is repeated every 5.5 s. A subscriber keeps a wrong state until
	// then.
	RepeatedAtOnce int
	// UpdatesAtMost bounds the changes of the list of servers in one datagram, about 120 bytes
	// each. An instance that lacks more changes requests the list of servers.
	UpdatesAtMost int
	// FirstStart is set when all instances start for the first time, so that no caller waits for
	// them yet and none has any data. Instances that are not meant to read the store then wait at
	// most FirstReadTimeout for data from the others. Those that are meant to read it wait for
	// ReaderWait, in which they learn of each other.
	FirstStart       bool
	FirstReadTimeout time.Duration
	ReaderWait       time.Duration
	// StartWait is how long an instance that starts receives its siblings' messages before it
	// leaves a long poll waiting at the store. With many instances only hubs do.
	StartWait time.Duration
	// IdleCheckEvery is the pause between two checks whether an instance that leaves no long poll
	// waiting at the store has to read it. The instance is woken when it begins to leave one.
	IdleCheckEvery time.Duration

	// RetryRatio and RetrySlack bound the retries to one service in a RetryWindow, from all
	// instances together.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration

	// AllotmentSlack is how many units a team may use beyond its limits before the service
	// requirements count it as a violation.
	AllotmentSlack float64
	// AllotmentWindow and AllotmentOverage complete that bound: in any such window a team may use
	// its limits and this fraction of them more. Where both are set, requests of a team whose
	// balance is low are admitted by class (allotment.Class).
	AllotmentWindow  time.Duration
	AllotmentOverage float64
	// ColdOverage and ColdSlack bound the requests in any second, from all instances, to a server
	// that has just started: ColdOverage times the rate that its service sets for such servers,
	// plus ColdSlack.
	ColdOverage float64
	ColdSlack   float64
	// AllotmentMaxAge is the greatest age of a hub's report of the teams' balances that an
	// instance relies on. It covers four hub digests, or two where they are less frequent. If it
	// is too long, the members of a lost hub all spend the same balance. If it is too short, each
	// lost datagram makes an instance refuse requests without need.
	AllotmentMaxAge time.Duration
	// TeamsAtOnce bounds the teams in one hub digest, some 17 bytes each.
	TeamsAtOnce int

	// Lease configures the lease that allows an instance to order role changes of engines.
	Lease lease.Config
	// PrefillShare is the share of a service's engines that prefill, which means to read prompts.
	PrefillShare float64
	// RolesByLoad makes the share follow the demand of the last seconds. It suits demand that shifts
	// for minutes. A change of role takes longer than the bursts of the reference workload, so it is
	// off by default.
	RolesByLoad bool
	// OrdersEvery is the pause between two checks of the engines' roles.
	OrdersEvery time.Duration
}

// DefaultConfig returns a configuration for deployments of up to some hundreds of instances.
func DefaultConfig() Config {
	return Config{
		StoreWait:      25 * time.Second,
		FreshFor:       750 * time.Millisecond,
		ProbeEvery:     150 * time.Millisecond,
		ReadEvery:      150 * time.Millisecond,
		ReadPerSibling: 10 * time.Millisecond,
		ReadAtMost:     600 * time.Millisecond,
		RetryEvery:     250 * time.Millisecond,
		RetryAtMost:    time.Second,
		CatchUpEvery:   150 * time.Millisecond,
		RosterEvery:    30 * time.Second,
		RosterWait:     500 * time.Millisecond,
		RosterAlone:    3 * time.Second,
		AnnounceWithin: 4 * time.Second,
		Members: member.Config{
			HeartbeatEvery: 150 * time.Millisecond,
			SuspectAfter:   900 * time.Millisecond,
			DeadAfter:      5 * time.Second,
			AbandonAfter:   30 * time.Second,
			ForgetAfter:    2 * time.Minute,
		},
		SuspendedAfter:         600 * time.Millisecond,
		NearPerBeat:            24,
		FarPerBeat:             12,
		PeersNamed:             4,
		MinBeatPause:           30 * time.Millisecond,
		MinBeatPausePerSibling: 5 * time.Millisecond,
		Subset:                 subset.DefaultConfig(),
		ReviewEvery:            time.Second,
		FullListKeptFor:        10 * time.Second,
		MeshAtMost:             36,
		LongPollersWithoutHubs: 2,
		HubsPerZone:            2,
		KeepAliveEvery:         300 * time.Millisecond,
		SubscribedFor:          time.Second,
		DirectSilence:          time.Second,
		HubBeatEvery:           75 * time.Millisecond,
		HubBytes:               1 << 20,
		DiscoveryEvery:         600 * time.Millisecond,
		HubSilence:             600 * time.Millisecond,
		HubAvoidedFor:          3 * time.Second,
		HubGrace:               2 * time.Second,
		ZoneSumExpiresAfter:    3 * time.Second,
		CountExpiresAfter:      10 * time.Second,
		LoadsAtOnce:            320,
		LoadsInTurn:            48,
		StatesAtOnce:           32,
		DiscoveryAtOnce:        8,
		RepeatedAtOnce:         4,
		UpdatesAtMost:          32,
		FirstReadTimeout:       6 * time.Second,
		ReaderWait:             1500 * time.Millisecond,
		StartWait:              400 * time.Millisecond,
		IdleCheckEvery:         2 * time.Second,
		AllotmentMaxAge:        300 * time.Millisecond,
		TeamsAtOnce:            64,
		PrefillShare:           defaultPrefillShare,
		OrdersEvery:            500 * time.Millisecond,
	}
}

// defaultPrefillShare suits the reference workload. There, two of nine engines prefill as much as
// the other seven can hold for decoding.
const defaultPrefillShare = 2.0 / 9

// LeaseConfig returns the times of a lease that keeps orders to change an engine's role from
// different holders at least the given time apart.
func LeaseConfig(apart time.Duration) lease.Config {
	// A holder stops at TTL-Margin and a challenger begins at TTL+Margin, so the margin is half
	// of the time that must lie between them.
	margin := apart/2 + leaseSlack
	return lease.Config{TTL: margin + orderWindow, RenewEvery: orderWindow / 2, Margin: margin}
}

const (
	// orderWindow is how long a holder may give orders after it has claimed or renewed the lease.
	orderWindow = 1500 * time.Millisecond
	// leaseSlack covers an order that is under way when its holder stops.
	leaseSlack = 400 * time.Millisecond
)
