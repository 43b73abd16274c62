// Package heartbeat carries short messages between sibling instances, as UDP
// datagrams: who is alive, what each has committed at the backend servers, and
// which addresses the others have. A lost datagram is made good by the next.
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
	"github.com/mastwheel/mastwheel/poison"
	"github.com/mastwheel/mastwheel/registry"
	"github.com/mastwheel/mastwheel/route"
	"github.com/mastwheel/mastwheel/subset"
)

// Load is what one instance has committed at one backend server.
type Load struct {
	// Server is the route.ServerID of the server.
	Server uint32 `cbor:"1,keyasint"`
	// InFlight, Unread and Memory are the parts of a route.Commitment.
	InFlight int `cbor:"2,keyasint,omitempty"`
	Unread   int `cbor:"3,keyasint,omitempty"`
	Memory   int `cbor:"4,keyasint,omitempty"`
}

// Commitment returns the load in the terms of package route.
func (l Load) Commitment() route.Commitment {
	return route.Commitment{InFlight: l.InFlight, Unread: l.Unread, Memory: l.Memory}
}

// Message is one heartbeat.
type Message struct {
	From  member.Info `cbor:"1,keyasint"`
	Loads []Load      `cbor:"2,keyasint,omitempty"`
	// Peers are addresses of some other siblings.
	Peers []string `cbor:"3,keyasint,omitempty"`
	// Changing lists the servers that the sender has ordered to change their
	// role, by route.ServerID.
	Changing []Change `cbor:"5,keyasint,omitempty"`
	// TableHeard and ServersHeard are how long ago the store last answered anyone with all
	// that it had of table and list, as far as the sender knows; nil if never.
	TableHeard   *time.Duration `cbor:"6,keyasint,omitempty"`
	ServersHeard *time.Duration `cbor:"7,keyasint,omitempty"`
	// Hubs is set by senders that use hubs, Want in those that ask the receiver to
	// be theirs: to send a digest with each beat for a while.
	Hubs bool `cbor:"8,keyasint,omitempty"`
	Want bool `cbor:"9,keyasint,omitempty"`
	// Seen is up to where the sender has the receiver's account of siblings, in its
	// run SeenRun.
	Seen    uint64                `cbor:"10,keyasint,omitempty"`
	SeenRun operation.Incarnation `cbor:"11,keyasint,omitempty"`
	Digest  *Digest               `cbor:"12,keyasint,omitempty"`
	// Uses are the shares of the servers that the sender wants to be told of; nil for all.
	Uses    []subset.Share `cbor:"18,keyasint,omitempty"`
	Updates *Updates       `cbor:"13,keyasint,omitempty"`
	// Poison is what the sender has seen of servers that ended under requests.
	Poison *poison.Update `cbor:"14,keyasint,omitempty"`
	// Spent is what the sender has admitted of late for teams that are limited.
	Spent []allotment.Spent `cbor:"15,keyasint,omitempty"`
	// Pressure is what the sender knows of what servers say of themselves.
	Pressure *backpressure.Update `cbor:"16,keyasint,omitempty"`
	// Evacuation is which zones are evacuated; nil if the sender never knew of any.
	Evacuation *Evacuation `cbor:"17,keyasint,omitempty"`
	// Known, if not 0, is the incarnation under which the sender knows the
	// receiver. A receiver that restarted with a lower one, since its clock was
	// set back, takes a higher one.
	Known operation.Incarnation `cbor:"4,keyasint,omitempty"`
}

// EncodedLoads is loads in their encoded form.
type EncodedLoads = cbor.RawMessage

// EncodeLoads returns the encoded form of loads.
func EncodeLoads(loads []Load) (EncodedLoads, error) {
	data, err := cbor.Marshal(loads)
	return data, errors.Wrap(err, "encode loads")
}

// DecodeLoads reads the encoded form of loads.
func DecodeLoads(data EncodedLoads) ([]Load, error) {
	var loads []Load
	err := cbor.Unmarshal(data, &loads)
	return loads, errors.Wrap(err, "decode loads")
}

// Digest is what a hub knows beyond itself.
type Digest struct {
	// Summed is set if Loads holds a part of a sum: of the hub's zone if Zone is set,
	// else of all instances, the receiver included. Other servers' sums stay.
	// The same sum goes to many, so it is encoded once; Echo is how long the receiver
	// had run when it sent the heartbeat that is the last in the sum.
	Summed bool          `cbor:"1,keyasint,omitempty"`
	Zone   bool          `cbor:"2,keyasint,omitempty"`
	Loads  EncodedLoads  `cbor:"3,keyasint,omitempty"`
	Echo   time.Duration `cbor:"8,keyasint,omitempty"`
	// Observations are states of siblings. They continue the hub's account behind After, up
	// to Upto; if that is 0, they stand alone.
	Observations []Observation `cbor:"4,keyasint,omitempty"`
	After        uint64        `cbor:"5,keyasint,omitempty"`
	Upto         uint64        `cbor:"6,keyasint,omitempty"`
	// Teams is what the hub knows of teams that have spent something of late.
	Teams []allotment.Level `cbor:"9,keyasint,omitempty"`
	// Instances is how many instances there are, as far as the hub knows.
	Instances int `cbor:"7,keyasint,omitempty"`
	// Outgrown is set if the receiver should use other shares of the servers by now, and ask
	// the hub for them.
	Outgrown bool `cbor:"10,keyasint,omitempty"`
}

// Observation is the state of one sibling.
type Observation struct {
	Info  member.Info  `cbor:"1,keyasint"`
	State member.State `cbor:"2,keyasint"`
	// Age is how long ago the state was observed first-hand.
	Age time.Duration `cbor:"3,keyasint,omitempty"`
}

// Updates are changes of the list of backend servers that lead from one position of the
// platform's log to another.
type Updates struct {
	From    oplog.Position    `cbor:"1,keyasint"`
	To      oplog.Position    `cbor:"2,keyasint"`
	Changes []registry.Change `cbor:"3,keyasint"`
	// Age is how long ago the store answered with them.
	Age time.Duration `cbor:"4,keyasint"`
	// Of, if not 0, is the fingerprint of the subset of all servers whose changes these are.
	Of uint64 `cbor:"5,keyasint,omitempty"`
}

// Evacuation says which availability zones' backend servers are to get nothing more.
type Evacuation struct {
	// Position is up to where the operators' log was read for it.
	Position oplog.Position `cbor:"1,keyasint"`
	// Zones are sorted.
	Zones []string `cbor:"2,keyasint,omitempty"`
}

// Change is a server's change of role that is under way.
type Change struct {
	Server uint32 `cbor:"1,keyasint"`
	// Left is how much longer it takes.
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
		return nil, errors.Wrap(err, "parse the address for siblings")
	}
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(at))
	if err != nil {
		return nil, errors.Wrap(err, "listen for siblings")
	}
	return &Socket{conn: conn}, nil
}

// Encode returns the datagram of a message.
func Encode(message Message) ([]byte, error) {
	data, err := cbor.Marshal(message)
	return data, errors.Wrap(err, "encode heartbeat")
}

// Send sends a datagram to "ip:port".
func (s *Socket) Send(address string, datagram []byte) error {
	to, err := netip.ParseAddrPort(address)
	if err != nil {
		return errors.Wrap(err, "parse a sibling's address")
	}
	_, err = s.conn.WriteToUDPAddrPort(datagram, to)
	return errors.Wrap(err, "send heartbeat")
}

// Receive hands each message to handle until ctx ends. Datagrams that are no
// heartbeats are counted by bad and dropped.
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
