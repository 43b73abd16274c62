// Package heartbeat exchanges short messages between sibling instances as UDP datagrams. They
// report which instances are alive, the commitments of each (the requests and memory that it
// has assigned to backend servers), and the addresses of other instances. The next datagram
// makes up for a lost one.
package heartbeat

import (
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/mastwheel/mastwheel/allotment"
	"github.com/mastwheel/mastwheel/backpressure"
	"github.com/mastwheel/mastwheel/member"
	"github.com/mastwheel/mastwheel/operation"
	"github.com/mastwheel/mastwheel/oplog"
	"github.com/mastwheel/mastwheel/origin"
	"github.com/mastwheel/mastwheel/poison"
	"github.com/mastwheel/mastwheel/registry"
	"github.com/mastwheel/mastwheel/route"
	"github.com/mastwheel/mastwheel/subset"
)

// Load is the commitment of one instance at one backend server.
type Load struct {
	// Server is the route.ServerID of the server.
	Server uint32 `cbor:"1,keyasint"`
	// InFlight, Unread and Memory are the fields of a route.Commitment.
	InFlight int `cbor:"2,keyasint,omitempty"`
	Unread   int `cbor:"3,keyasint,omitempty"`
	Memory   int `cbor:"4,keyasint,omitempty"`
}

// maxCommitment bounds what is accepted of one instance's commitment at a server, in requests or tokens. An engine
// has up to a billion tokens of memory (table.ColMemory), and sums for all instances must not overflow.
const maxCommitment = 1 << 40

// Commitment returns the load as a route.Commitment. Values that no instance sends are cut off.
func (l Load) Commitment() route.Commitment {
	bounded := func(value int) int { return min(max(value, 0), maxCommitment) }
	return route.Commitment{InFlight: bounded(l.InFlight), Unread: bounded(l.Unread), Memory: bounded(l.Memory)}
}

// Message is one heartbeat.
type Message struct {
	From  member.Info `cbor:"1,keyasint"`
	Loads []Load      `cbor:"2,keyasint,omitempty"`
	// NoLoads is set if the message does not report the sender's loads, so that the receiver keeps those
	// that it knows.
	NoLoads bool `cbor:"23,keyasint,omitempty"`
	// Peers lists the addresses of some other siblings.
	Peers []string `cbor:"3,keyasint,omitempty"`
	// Changing lists the servers, by route.ServerID, that the sender has ordered to
	// change their role.
	Changing []RoleChange `cbor:"5,keyasint,omitempty"`
	// TableContactAge and ServersContactAge are the times since any instance last requested
	// from the platform's store everything that the store had of the table and of the list
	// of backend servers, and received it, as far as the sender knows. Nil means never.
	TableContactAge   *time.Duration `cbor:"6,keyasint,omitempty"`
	ServersContactAge *time.Duration `cbor:"7,keyasint,omitempty"`
	// Hubs is set by senders that use hubs. RequestHub requests that the receiver act as the
	// sender's hub, which means that it sends a hub digest with each heartbeat for a while. A
	// hub is an instance that passes on information about other instances.
	Hubs       bool `cbor:"8,keyasint,omitempty"`
	RequestHub bool `cbor:"9,keyasint,omitempty"`
	// Seen is the number of the last change that the sender has from the receiver's change
	// log of siblings' states. SeenRun is the receiver's run that the change log belongs to.
	Seen    uint64                `cbor:"10,keyasint,omitempty"`
	SeenRun operation.Incarnation `cbor:"11,keyasint,omitempty"`
	Digest  *Digest               `cbor:"12,keyasint,omitempty"`
	// Shares lists the shares of the servers about which the sender wants to be informed. Nil
	// means all servers.
	Shares  []subset.Share `cbor:"18,keyasint,omitempty"`
	Updates *Updates       `cbor:"13,keyasint,omitempty"`
	// Poison reports the crashes of servers during requests that the sender has observed.
	Poison *poison.Update `cbor:"14,keyasint,omitempty"`
	// Spent is the usage that the sender has recently admitted for rate-limited teams.
	Spent []allotment.Spent `cbor:"15,keyasint,omitempty"`
	// Pressure holds the server status reports that the sender knows: reported limits and
	// reported drains.
	Pressure *backpressure.Update `cbor:"16,keyasint,omitempty"`
	// Evacuation lists the evacuated zones. Nil means that the sender never knew of any.
	Evacuation *Evacuation `cbor:"17,keyasint,omitempty"`
	// Speeds holds some of the sender's own estimates of the speeds of servers, as
	// speed.Encode encodes them.
	Speeds []byte `cbor:"21,keyasint,omitempty"`
	// Origins holds at which releases streams began and which releases served lately. A message with
	// nothing else has no sender, unless it asks a question or holds a history.
	Origins *origin.Message `cbor:"22,keyasint,omitempty"`
	// Echo names a message of the receiver that the sender handled before it sent this one. RequestEcho
	// requests a message with one.
	Echo        *Echo `cbor:"24,keyasint,omitempty"`
	RequestEcho bool  `cbor:"25,keyasint,omitempty"`
	// Known, if not 0, is the receiver's incarnation as the sender knows it. A receiver
	// that restarted with a lower incarnation, because its clock was set back, adopts a
	// higher one.
	Known operation.Incarnation `cbor:"4,keyasint,omitempty"`
}

// Echo names a message by its sender's run and uptime.
type Echo struct {
	_      struct{} `cbor:",toarray"`
	Run    operation.Incarnation
	Uptime time.Duration
}

// EchoOf returns the echo of a message from an instance.
func EchoOf(from member.Info) *Echo { return &Echo{Run: from.Incarnation, Uptime: from.Uptime} }

// EncodedLoads is a list of loads encoded as CBOR.
type EncodedLoads = cbor.RawMessage

// EncodeLoads encodes loads.
func EncodeLoads(loads []Load) (EncodedLoads, error) {
	data, err := cbor.Marshal(loads)
	return data, errors.Wrap(err, "encode loads")
}

// DecodeLoads decodes the output of EncodeLoads.
func DecodeLoads(data EncodedLoads) ([]Load, error) {
	var loads []Load
	err := cbor.Unmarshal(data, &loads)
	return loads, errors.Wrap(err, "decode loads")
}

// Digest is a hub digest: the information that a hub passes on about other instances.
type Digest struct {
	// Summed is set if Loads holds sums of loads for some of the servers. The sums cover
	// the instances of the hub's zone if Zone is set, and otherwise all instances,
	// including the receiver. The receiver keeps its earlier sums for servers that are not
	// in Loads. The same sums go to many receivers, so Loads is encoded once.
	// ReceiverUptime is the receiver's uptime when it sent the last of its heartbeats that
	// the sums include.
	Summed         bool          `cbor:"1,keyasint,omitempty"`
	Zone           bool          `cbor:"2,keyasint,omitempty"`
	Loads          EncodedLoads  `cbor:"3,keyasint,omitempty"`
	ReceiverUptime time.Duration `cbor:"8,keyasint,omitempty"`
	// Observations are states of siblings. They are the changes of the hub's change log
	// after number After up to number To. If To is 0, they are independent of the change
	// log.
	Observations []Observation `cbor:"4,keyasint,omitempty"`
	After        uint64        `cbor:"5,keyasint,omitempty"`
	To           uint64        `cbor:"6,keyasint,omitempty"`
	// Teams holds the balances and usage totals, as the hub knows them, of teams with recent
	// usage.
	Teams []allotment.Balance `cbor:"9,keyasint,omitempty"`
	// Instances is the number of instances, as far as the hub knows.
	Instances int `cbor:"7,keyasint,omitempty"`
	// Outgrown is set if the receiver should now use other shares of the servers and request
	// them from the hub.
	Outgrown bool `cbor:"10,keyasint,omitempty"`
	// Speeds holds some of the combined estimates of the speeds of servers, as speed.Encode
	// encodes them: those of the instances of the hub's zone if Zone is set, and otherwise
	// those of all.
	Speeds []byte `cbor:"13,keyasint,omitempty"`
}

// Observation is the state of one sibling.
type Observation struct {
	Info  member.Info  `cbor:"1,keyasint"`
	State member.State `cbor:"2,keyasint"`
	// Age is the time since an instance observed the state directly.
	Age time.Duration `cbor:"3,keyasint,omitempty"`
}

// Updates holds the changes of the list of backend servers between two positions of the
// platform's log.
type Updates struct {
	From    oplog.Position    `cbor:"1,keyasint"`
	To      oplog.Position    `cbor:"2,keyasint"`
	Changes []registry.Change `cbor:"3,keyasint"`
	// Age is the time since the store returned the changes, and RequestAge the time since the request for
	// them was sent, which is 0 if unknown.
	Age        time.Duration `cbor:"4,keyasint"`
	RequestAge time.Duration `cbor:"6,keyasint,omitempty"`
	// SubsetFingerprint, if not 0, is the fingerprint of the subset of servers to which the
	// changes are limited.
	SubsetFingerprint uint64 `cbor:"5,keyasint,omitempty"`
}

// Evacuation lists the availability zones whose backend servers must get no more requests.
type Evacuation struct {
	// Position is the position up to which the operators' log was read.
	Position oplog.Position `cbor:"1,keyasint"`
	// Zones is sorted.
	Zones []string `cbor:"2,keyasint,omitempty"`
}

// RoleChange is a role change of a server that is in progress.
type RoleChange struct {
	Server uint32 `cbor:"1,keyasint"`
	// Left is the time until the change is complete.
	Left time.Duration `cbor:"2,keyasint"`
}

// maxDatagram is the largest UDP payload over IPv4.
const maxDatagram = 65507

// Socket sends and receives heartbeats.
type Socket struct{ conn *net.UDPConn }

// Listen opens a socket at "ip:port".
func Listen(address string) (*Socket, error) {
	at, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, errors.Wrap(err, "parse heartbeat listen address")
	}
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(at))
	if err != nil {
		return nil, errors.Wrap(err, "listen for heartbeats")
	}
	return &Socket{conn: conn}, nil
}

// Encode encodes a message as a datagram.
func Encode(message Message) ([]byte, error) {
	data, err := cbor.Marshal(message)
	return data, errors.Wrap(err, "encode heartbeat")
}

// Send sends a datagram to "ip:port".
func (s *Socket) Send(address string, datagram []byte) error {
	to, err := netip.ParseAddrPort(address)
	if err != nil {
		return errors.Wrap(err, "parse sibling address")
	}
	_, err = s.conn.WriteToUDPAddrPort(datagram, to)
	return errors.Wrap(err, "send heartbeat")
}

// Receive calls handle for each message until ctx is done. It drops datagrams that
// cannot be decoded, and calls bad with the error of each and with read errors.
func (s *Socket) Receive(ctx context.Context, handle func(Message), bad func(error)) error {
	defer context.AfterFunc(ctx, func() { s.conn.Close() })()
	buffer := make([]byte, maxDatagram)
	for {
		n, _, err := s.conn.ReadFromUDPAddrPort(buffer)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			bad(err)
			continue
		}
		var message Message
		if err := cbor.Unmarshal(buffer[:n], &message); err != nil {
			bad(err)
			continue
		}
		handle(message)
	}
}
