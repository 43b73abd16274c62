package edge

import (
	"time"

	"github.com/mastwheel/mastwheel/lease"
	"github.com/mastwheel/mastwheel/member"
	"github.com/mastwheel/mastwheel/subset"
)

// Config tunes the loops of an instance.
type Config struct {
	Name string
	Zone string
	// RegionOf is the region of each availability zone.
	RegionOf map[string]string
	// EntriesAtMost is how many addresses of one answer callers use; 0 means all.
	EntriesAtMost int
	// CallerAddress is where callers connect, and SiblingAddress where siblings
	// do, each "ip:port".
	CallerAddress  string
	SiblingAddress string
	// Seeds are addresses of siblings that may be out of date.
	Seeds []string
	// Capacity is the processor time that this instance may use, in thousandths of
	// a core; the strongest become hubs.
	Capacity int

	// StoreWait is how long one long poll waits at the store. Longer
	// costs fewer calls; that a poll is lost is noticed by FreshFor.
	StoreWait time.Duration
	// FreshFor is how long the instances together may have no answer from the
	// store before one of them asks beside the long polls that wait there, and
	// ProbeEvery the pause between two looks at that. Updates that no poll brings
	// are known to all after FreshFor, one to three looks and two looks at what
	// siblings know: 0.4 to 0.7 s in the median and 1.2 s at most (1, 8 and 62
	// instances on a virtual clock, 40, 40 and 12 draws), where a leaving server
	// may be used for 2 s and a request may be under way. Shorter costs calls,
	// which are priced: 160 a minute of a lone instance, and 416 where 62 make 248 without
	// (0.6 s: 200 and 439; 0.9 s: 134 and 380, and updates after 1.4 s).
	FreshFor   time.Duration
	ProbeEvery time.Duration
	// ReadEvery is the least pause between two reads of the list of servers, so
	// that changes in quick succession share a call; ReadPerSibling stretches it
	// where many instances would each pay for one, up to ReadAtMost. While engines
	// are replaced one after another, 58 instances made 4,800 calls a day at
	// 150 ms and polls of 10 s, and 2,700 at 600 ms and 25 s (means of six
	// days). A server that leaves is known so much later, and must
	// get no work after two seconds, the time under way of a request included.
	ReadEvery      time.Duration
	ReadPerSibling time.Duration
	ReadAtMost     time.Duration
	// RetryEvery is the pause after a call to the store that failed; after more
	// in a row it doubles, up to RetryAtMost: all calls are priced, and entries
	// that lapsed must be seen soon after the store's return.
	RetryEvery  time.Duration
	RetryAtMost time.Duration
	// CatchUpEvery is the pause between two looks at what siblings know. One
	// that was ahead at two looks in a row is asked for it, unless the store is
	// about to be asked anyhow.
	CatchUpEvery time.Duration
	// RosterEvery is the pause between two looks at the list of instances.
	// Siblings name each other, so only those that know nobody depend on it: they
	// look after RosterPatience, which siblings need to answer, and then each
	// RosterAlone.
	RosterEvery    time.Duration
	RosterPatience time.Duration
	RosterAlone    time.Duration

	// AnnounceWithin is over how long instances go on the list of instances again after
	// the store has lost it, so that their calls do not come at once.
	AnnounceWithin time.Duration

	// Members tunes the detection of failed siblings.
	Members member.Config
	// LongPause is how late a timer must be for this instance to have stood
	// still itself, rather than having been busy.
	LongPause time.Duration
	// NearPerBeat and FarPerBeat are about how many siblings of the own and of
	// other zones get each heartbeat. More spread loads and failures sooner; what
	// an instance sends and receives grows with them, not with the siblings.
	NearPerBeat int
	FarPerBeat  int
	// QuickBeat is the least pause between two heartbeats, and between two sums
	// of what siblings have sent. Shorter lets siblings know sooner of requests
	// that an engine got; QuickBeatPerSibling stretches it where there are many, up
	// to the period of heartbeats.
	QuickBeat           time.Duration
	QuickBeatPerSibling time.Duration
	// PeersNamed is how many other siblings a heartbeat names.
	PeersNamed int

	// Subset says how many servers an instance uses where there are many.
	Subset subset.Config
	// ReviewEvery is the pause between two looks at whether the shares that instances use
	// still suit, and WholeFor for how long one that was a hub keeps the whole list: to read
	// it again is a megabyte.
	ReviewEvery time.Duration
	WholeFor    time.Duration
	// MeshAtMost is up to how many instances each sends its state to all others.
	// Beyond it hubs do: fewer datagrams, and updates at most two beats old in place of
	// several, at the price of a beat's delay where all could be reached directly.
	MeshAtMost int
	// ReadersInMesh is how many instances leave long polls waiting at the store where there
	// are no hubs. With the others' looks at what is fresh a second one costs calls only; with
	// one alone, updates wait for these looks whenever it is restarted.
	ReadersInMesh int
	// HubsPerZone is how many hubs hear the members of a zone. The second is ready
	// when the first falls silent; a third would cost each member a datagram a beat.
	HubsPerZone int
	// KeepEvery is how often an instance without updates sends its hubs a heartbeat,
	// and SubscribedFor how long a hub serves one that says no more: three of these,
	// since datagrams are lost now and then. DirectSilence is the silence after which
	// a member is taken for silent.
	KeepEvery     time.Duration
	SubscribedFor time.Duration
	DirectSilence time.Duration
	// HubBeatEvery is the pause between two digests of a hub, some 1.2 KB each to
	// every member of its zone. Shorter lets all know sooner what engines' memory is
	// committed; at 75 ms a member receives 16 KB a second.
	HubBeatEvery time.Duration
	// HubBytes bounds the bytes a second of a hub's digests: with more members or more
	// servers they come less often, up to two thirds of HubSilence. With 100 members
	// and 3,000 servers a hub sent 4 MB a second and took 0.36 of a core; 59 members
	// and 74 servers need less than the bound.
	HubBytes int
	// HelloEvery is the pause between two tries at addresses of which nothing else is
	// known: seeds and those on the list of instances may be out of date.
	HelloEvery time.Duration
	// HubSilence is how long a hub may leave one that asks it without a digest, which
	// it sends with each beat; it is then left alone for HubAvoidedFor.
	HubSilence    time.Duration
	HubAvoidedFor time.Duration
	// HubGrace is how long an instance has been a hub before it reports members as
	// silent that it does not hear: they must have had the time to choose it.
	HubGrace time.Duration
	// ZoneSumFor is how long the sum of another zone counts that is not renewed,
	// and CountHoldsFor the same for the number of instances.
	ZoneSumFor    time.Duration
	CountHoldsFor time.Duration
	// LoadsAtOnce bounds the servers that a digest holds because their sums have
	// changed, some 19 bytes each, and LoadsInTurn is how many it holds in any case.
	LoadsAtOnce int
	LoadsInTurn int
	// StatesAtOnce bounds the siblings in one digest, some 110 bytes each, and
	// HelloAtOnce the unknown addresses that are tried at a time.
	StatesAtOnce int
	HelloAtOnce  int
	// RepeatedAtOnce is how many siblings' states a digest repeats in turn, some 60 bytes
	// each: those of 295 each 5.5 s. What a subscriber was sent wrongly stands until then.
	RepeatedAtOnce int
	// UpdatesAtMost bounds the changes of the list in one datagram, some 120 bytes each;
	// whoever lacks more asks for the list.
	UpdatesAtMost int
	// FirstStart is set when all instances start for the first time: nobody waits for them yet,
	// and none knows anything. Those that are not to read the store then wait for the others'
	// word for FirstPatience at most, and those that are for ReaderPatience, in which they hear
	// of each other.
	FirstStart     bool
	FirstPatience  time.Duration
	ReaderPatience time.Duration
	// StartPatience is how long an instance that starts hears its siblings before it
	// leaves a long poll waiting at the store: with many, only hubs do.
	StartPatience time.Duration
	// IdleLook is the pause between two looks at whether this instance has to read the store
	// though it leaves no long poll waiting there. It is woken when it is to leave one.
	IdleLook time.Duration

	// RetryRatio and RetrySlack bound the retries to one service in a window,
	// from all instances together.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration

	// AllotmentSlack is what a team may use beyond its limits, in units, before the
	// users hold it against the system.
	AllotmentSlack float64
	// ColdOverage and ColdSlack bound the requests that a server gets in any second that has
	// just started, from all instances: so many times its rate, and so many more.
	ColdOverage float64
	ColdSlack   float64
	// AllotmentFresh is how old a hub's word on what teams may use can be for an
	// instance to go by it: four digests, or two where they come less often. Longer, and
	// the members of a hub that is gone all hand out the same; shorter, and each lost
	// datagram has one refuse what it need not.
	AllotmentFresh time.Duration
	// TeamsAtOnce bounds the teams in one digest, some 17 bytes each.
	TeamsAtOnce int

	// Lease bounds who may give orders.
	Lease lease.Config
	// PrefillShare is the share of a service's engines that read prompts.
	PrefillShare float64
	// OrdersEvery is the pause between two looks at the engines' roles.
	OrdersEvery time.Duration
}

// DefaultConfig suits installations of up to some hundreds of instances.
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
		RosterPatience: 500 * time.Millisecond,
		RosterAlone:    3 * time.Second,
		AnnounceWithin: 4 * time.Second,
		Members: member.Config{
			HeartbeatEvery: 150 * time.Millisecond,
			SuspectAfter:   900 * time.Millisecond,
			DeadAfter:      5 * time.Second,
			AbandonAfter:   30 * time.Second,
			ForgetAfter:    2 * time.Minute,
		},
		LongPause:           600 * time.Millisecond,
		NearPerBeat:         24,
		FarPerBeat:          12,
		PeersNamed:          4,
		QuickBeat:           30 * time.Millisecond,
		QuickBeatPerSibling: 5 * time.Millisecond,
		Subset:              subset.DefaultConfig(),
		ReviewEvery:         time.Second,
		WholeFor:            10 * time.Second,
		MeshAtMost:          36,
		ReadersInMesh:       2,
		HubsPerZone:         2,
		KeepEvery:           300 * time.Millisecond,
		SubscribedFor:       time.Second,
		DirectSilence:       time.Second,
		HubBeatEvery:        75 * time.Millisecond,
		HubBytes:            1 << 20,
		HelloEvery:          600 * time.Millisecond,
		HubSilence:          600 * time.Millisecond,
		HubAvoidedFor:       3 * time.Second,
		HubGrace:            2 * time.Second,
		ZoneSumFor:          3 * time.Second,
		CountHoldsFor:       10 * time.Second,
		LoadsAtOnce:         320,
		LoadsInTurn:         48,
		StatesAtOnce:        32,
		HelloAtOnce:         8,
		RepeatedAtOnce:      4,
		UpdatesAtMost:       32,
		FirstPatience:       6 * time.Second,
		ReaderPatience:      1500 * time.Millisecond,
		StartPatience:       400 * time.Millisecond,
		IdleLook:            2 * time.Second,
		AllotmentFresh:      300 * time.Millisecond,
		TeamsAtOnce:         64,
		PrefillShare:        defaultPrefillShare,
		OrdersEvery:         500 * time.Millisecond,
	}
}

// defaultPrefillShare is from trials on the users' sheets: two of nine engines
// read what the other seven can hold.
const defaultPrefillShare = 2.0 / 9

// LeaseConfig returns the times of a lease after whose holder's last order
// nobody else gives one for a while.
func LeaseConfig(apart time.Duration) lease.Config {
	// A holder stops at TTL-Margin and a challenger begins at TTL+Margin, so
	// the margin is half of the time that must lie between.
	margin := apart/2 + leaseSlack
	return lease.Config{TTL: margin + orderWindow, RenewEvery: orderWindow / 2, Margin: margin}
}

const (
	// orderWindow is how long a holder may give orders after a claim.
	orderWindow = 1500 * time.Millisecond
	// leaseSlack covers an order that is under way when its holder stops.
	leaseSlack = 400 * time.Millisecond
)
