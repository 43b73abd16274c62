package instance

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/mastwheel/mastwheel/cell"
	"github.com/mastwheel/mastwheel/clock"
	"github.com/mastwheel/mastwheel/instancelist"
	"github.com/mastwheel/mastwheel/operation"
	"github.com/mastwheel/mastwheel/peer"
	"github.com/mastwheel/mastwheel/reason"
	"github.com/mastwheel/mastwheel/route"
)

// siblingTimeout bounds one background query to a sibling.
const siblingTimeout = time.Second

// readList reads the platform's list of instances. It contacts new instances, notes which
// ones are draining, and determines the cell of this instance (the group of instances that
// know each other fully).
func (i *Instance) readList(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, siblingTimeout)
	defer cancel()
	own, err := i.deps.List.List(ctx, i.config.Zone)
	if err != nil {
		i.assumeSingleCell()
		return
	}
	zones, err := i.deps.List.Zones(ctx)
	if err != nil {
		return
	}
	others := slices.DeleteFunc(zones, func(zone string) bool { return zone == i.config.Zone })
	maps.DeleteFunc(i.cells.otherZones, func(zone string, _ []instancelist.Entry) bool { return !slices.Contains(others, zone) })
	for len(i.cells.otherZones) < len(others) && ctx.Err() == nil {
		before := len(i.cells.otherZones)
		i.contactOtherZones(ctx, others)
		if len(i.cells.otherZones) == before {
			break
		}
	}
	i.contactOtherZones(ctx, others)
	i.updateLayout(own, i.regionSize(len(own)))
	listed := make(map[string]bool, len(own))
	for _, entry := range own {
		listed[entry.Name] = entry.State == instancelist.Draining
		if i.inCell(entry.Name) {
			i.contact(entry)
		}
	}
	for _, entries := range i.cells.otherZones {
		for _, entry := range entries {
			listed[entry.Name] = entry.State == instancelist.Draining
			if i.Cell() == cell.Undivided {
				i.contact(entry)
			}
		}
	}
	i.members.ApplyInstanceList(listed, clock.Now())
}

// assumeSingleCell treats the region as one cell if the instance list has not
// been readable for a long time after the start. Instances that know of several
// cells would have sent a heartbeat by then.
func (i *Instance) assumeSingleCell() {
	if i.Cell() == "" && i.Uptime() > selfListedTimeout {
		i.updateLayout(nil, 0)
	}
}

// contact sends a heartbeat to an instance that is not known yet.
func (i *Instance) contact(entry instancelist.Entry) {
	sibling, _ := i.members.View().Find(entry.Name)
	if sibling.Peer == "" && entry.Name != i.self.Name {
		i.deps.Peers.Send(entry.Peer, i.heartbeatMessage())
	}
}

func (i *Instance) heartbeatMessage() *peer.Message {
	return &peer.Message{Heartbeat: &peer.Heartbeat{Info: i.Info()}}
}

// fullHeartbeatEvery is the number of heartbeats from one that also carries this instance's
// addresses to the next. A sibling that missed the first heartbeat learns the addresses from
// a later one.
const fullHeartbeatEvery = 8

// heartbeat reports to every sibling that this instance is alive, and the load of the
// engines whose steward (the instance that grants reservations at an engine) it is.
func (i *Instance) heartbeat(ctx context.Context) {
	now := clock.Now()
	i.members.Tick(now)
	i.admission.SetInstances(i.sharingInstances())
	i.operations.Expire(i.Uptime())
	i.witness.Expire(i.Uptime())
	message := i.heartbeatMessage()
	if i.heartbeatsSent++; i.heartbeatsSent%fullHeartbeatEvery != 0 {
		message.Heartbeat.Info = message.Heartbeat.Info.Brief()
	}
	message.Heartbeat.Loads = i.ownLoads()
	for _, sibling := range i.members.View().Siblings {
		if sibling.Peer != "" {
			i.deps.Peers.Send(sibling.Peer, message)
		}
	}
	for _, suspect := range i.members.View().Suspects() {
		go i.querySuspect(ctx, suspect.Member())
	}
}

// sharingInstances returns the number of instances among which the caps on requests in
// flight are split. These are the serving instances, or all listed ones if this instance
// does not know all of them.
func (i *Instance) sharingInstances() int {
	if layout := i.cells.layout.Load(); layout.zoneCells > 0 {
		return layout.regionSize
	}
	return len(i.members.View().Serving()) + 1
}

// maxSuspectQueries bounds the number of siblings that are queried about one
// suspect.
const maxSuspectQueries = 3

// querySuspect queries siblings for their last contact with a silent member.
func (i *Instance) querySuspect(ctx context.Context, suspect operation.Member) {
	ctx, cancel := context.WithTimeout(ctx, i.config.Member.HeartbeatEvery)
	defer cancel()
	query := &peer.Message{AskHeard: &peer.LastContactRequest{Member: suspect}}
	for n, sibling := range i.members.View().Serving() {
		if n == maxSuspectQueries {
			return
		}
		answer, err := i.deps.Peers.Call(ctx, sibling.Peer, query)
		if err == nil && answer.Heard != nil && answer.Heard.Known {
			now := clock.Now()
			i.members.Vouch(suspect, now.Add(-answer.Heard.Silence), now)
		}
	}
}

// handle returns the answer to one message from a sibling. It returns nil if
// the message needs none.
func (i *Instance) handle(ctx context.Context, message *peer.Message) *peer.Message {
	switch {
	case message.Heartbeat != nil:
		i.handleHeartbeat(ctx, message.Heartbeat)
		return nil
	case message.Reserve != nil:
		return &peer.Message{Reserved: i.handleReserve(message.Reserve)}
	case message.Release != nil:
		key := route.ReservationKey{RequestID: message.Release.RequestID, Attempt: message.Release.Attempt}
		i.steward.Release(message.Release.Server, key, clock.Now())
		return nil
	case message.Intent != nil:
		return &peer.Message{IntentAnswer: i.handleIntent(message.Intent)}
	case message.Settle != nil:
		if id, err := operation.ParseID(message.Settle.Operation); err == nil {
			i.witness.Settle(id, message.Settle.Status)
		}
		return nil
	case message.AskOperation != nil:
		return &peer.Message{OperationAnswer: i.handleOperationQuery(message.AskOperation)}
	case message.AskTrace != nil:
		return &peer.Message{TraceAnswer: i.localTrace(message.AskTrace.RequestID)}
	case message.AskHeard != nil:
		silence, known := i.members.View().Silence(message.AskHeard.Member, clock.Now())
		return &peer.Message{Heard: &peer.LastContact{Known: known, Silence: silence}}
	case message.AskClaims != nil:
		return &peer.Message{Claims: i.abandonedClaims(message.AskClaims)}
	case message.AskRecords != nil:
		return &peer.Message{Records: i.tables.recordsFrom(message.AskRecords.From)}
	default:
		return nil
	}
}

func (i *Instance) handleHeartbeat(ctx context.Context, message *peer.Heartbeat) {
	now := clock.Now()
	before, _ := i.members.View().Find(message.Info.Name)
	if !i.members.ApplyHeartbeat(message.Info, now) {
		return
	}
	sibling, _ := i.members.View().Find(message.Info.Name)
	if before.Incarnation != sibling.Incarnation || before.Peer == "" {
		i.deps.Peers.Send(sibling.Peer, i.heartbeatMessage())
	}
	i.observeLoads(message.Loads, now)
	if message.Info.Next <= i.tables.Next() {
		i.recordContact()
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(ctx, siblingTimeout)
		defer cancel()
		if i.catchUp(ctx, sibling.Peer) == nil {
			i.recordContact()
		}
	}()
}

func (i *Instance) handleIntent(intent *peer.Intent) *peer.IntentAnswer {
	id, err := operation.ParseID(intent.Operation)
	if err != nil {
		return &peer.IntentAnswer{Refused: reason.Malformed}
	}
	return &peer.IntentAnswer{Refused: i.witness.Intent(id, i.Uptime())}
}

func (i *Instance) handleOperationQuery(query *peer.OperationRequest) *peer.OperationAnswer {
	id, err := operation.ParseID(query.Operation)
	if err != nil {
		return &peer.OperationAnswer{Status: operation.Status{Outcome: reason.Unknown, Reason: reason.Malformed}}
	}
	if id.Home == i.self {
		return &peer.OperationAnswer{Status: i.operations.Query(id, i.Uptime())}
	}
	return &peer.OperationAnswer{Status: i.witness.Query(id, i.Uptime())}
}

func (i *Instance) localTrace(requestID string) *peer.TraceAnswer {
	record := i.Traces.Find(requestID)
	if record == nil {
		return &peer.TraceAnswer{}
	}
	encoded, err := json.Marshal(record)
	if err != nil {
		return &peer.TraceAnswer{}
	}
	return &peer.TraceAnswer{JSON: encoded}
}

// witnesses implements request.Witnesses with calls to siblings.
type witnesses struct{ *Instance }

// Intent implements request.Witnesses.
func (w witnesses) Intent(ctx context.Context, id operation.ID) reason.Reason {
	sibling, known := w.members.View().Find(id.Witness.Name)
	if !known || sibling.Incarnation != id.Witness.Incarnation {
		return reason.NoWitness
	}
	query := &peer.Message{Intent: &peer.Intent{Operation: id.String()}}
	answer, err := w.deps.Peers.Call(ctx, sibling.Peer, query)
	if err != nil || answer.IntentAnswer == nil {
		return reason.NoWitness
	}
	return answer.IntentAnswer.Refused
}

// ReportOutcome implements request.Witnesses.
func (w witnesses) ReportOutcome(id operation.ID, status operation.Status) {
	if sibling, known := w.members.View().Find(id.Witness.Name); known {
		w.deps.Peers.Send(sibling.Peer, &peer.Message{Settle: &peer.Settle{Operation: id.String(), Status: status}})
	}
}
