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

// siblingTimeout bounds one question to a sibling in the background.
const siblingTimeout = time.Second

// readList takes in the platform's list: whom to greet, who is leaving, and
// which cell this instance is in.
func (i *Instance) readList(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, siblingTimeout)
	defer cancel()
	own, err := i.deps.List.List(ctx, i.config.Zone)
	if err != nil {
		i.settleAlone()
		return
	}
	zones, err := i.deps.List.Zones(ctx)
	if err != nil {
		return
	}
	others := slices.DeleteFunc(zones, func(zone string) bool { return zone == i.config.Zone })
	maps.DeleteFunc(i.cells.far, func(zone string, _ []instancelist.Entry) bool { return !slices.Contains(others, zone) })
	for len(i.cells.far) < len(others) && ctx.Err() == nil {
		before := len(i.cells.far)
		i.greetFar(ctx, others)
		if len(i.cells.far) == before {
			break
		}
	}
	i.greetFar(ctx, others)
	i.settlePlace(own, i.regionSize(len(own)))
	listed := make(map[string]bool, len(own))
	for _, entry := range own {
		listed[entry.Name] = entry.State == instancelist.Leaving
		if i.inCell(entry.Name) {
			i.greet(entry)
		}
	}
	for _, entries := range i.cells.far {
		for _, entry := range entries {
			listed[entry.Name] = entry.State == instancelist.Leaving
			if i.Cell() == cell.Whole {
				i.greet(entry)
			}
		}
	}
	i.members.Listed(listed, clock.Now())
}

// settleAlone takes the region for one cell when the list has not answered
// for long after the start: those who knew better would have greeted by now.
func (i *Instance) settleAlone() {
	if i.Cell() == "" && i.Uptime() > settlePatience {
		i.settlePlace(nil, 0)
	}
}

// greet makes itself known to an instance that it does not know yet.
func (i *Instance) greet(entry instancelist.Entry) {
	sibling, _ := i.members.View().Find(entry.Name)
	if sibling.Peer == "" && entry.Name != i.self.Name {
		i.deps.Peers.Send(entry.Peer, i.greeting())
	}
}

func (i *Instance) greeting() *peer.Message {
	return &peer.Message{Heartbeat: &peer.Heartbeat{Info: i.Info()}}
}

// fullBeatEvery is how many heartbeats there are for each one that carries
// the addresses too. A sibling that has lost the first learns them then.
const fullBeatEvery = 8

// heartbeat tells every sibling that this instance lives, and what its
// workers report.
func (i *Instance) heartbeat(ctx context.Context) {
	now := clock.Now()
	i.members.Tick(now)
	i.admission.SetInstances(i.sharers())
	i.operations.Expire(i.Uptime())
	i.witness.Expire(i.Uptime())
	beat := i.greeting()
	if i.beats++; i.beats%fullBeatEvery != 0 {
		beat.Heartbeat.Info = beat.Heartbeat.Info.Brief()
	}
	beat.Heartbeat.Loads = i.ownLoads()
	for _, sibling := range i.members.View().Siblings {
		if sibling.Peer != "" {
			i.deps.Peers.Send(sibling.Peer, beat)
		}
	}
	for _, suspect := range i.members.View().Suspects() {
		go i.askAbout(ctx, suspect.Member())
	}
}

// sharers returns over how many instances caps are split: those that serve, or
// all that are listed where this instance does not know them all.
func (i *Instance) sharers() int {
	if at := i.cells.place.Load(); at.zoneCells > 0 {
		return at.region
	}
	return len(i.members.View().Serving()) + 1
}

// mostWitnesses bounds the siblings that are asked about one suspect.
const mostWitnesses = 3

// askAbout asks siblings when they last heard a silent member.
func (i *Instance) askAbout(ctx context.Context, suspect operation.Member) {
	ctx, cancel := context.WithTimeout(ctx, i.config.Member.HeartbeatEvery)
	defer cancel()
	question := &peer.Message{AskHeard: &peer.AskHeard{Member: suspect}}
	for n, sibling := range i.members.View().Serving() {
		if n == mostWitnesses {
			return
		}
		answer, err := i.deps.Peers.Call(ctx, sibling.Peer, question)
		if err == nil && answer.Heard != nil && answer.Heard.Known {
			now := clock.Now()
			i.members.Vouch(suspect, now.Add(-answer.Heard.Silence), now)
		}
	}
}

// handle answers one message from a sibling.
func (i *Instance) handle(ctx context.Context, message *peer.Message) *peer.Message {
	switch {
	case message.Heartbeat != nil:
		i.heard(ctx, message.Heartbeat)
		return nil
	case message.Reserve != nil:
		return &peer.Message{Reserved: i.reserveHere(message.Reserve)}
	case message.Release != nil:
		key := route.HoldKey{RequestID: message.Release.RequestID, Attempt: message.Release.Attempt}
		i.steward.Release(message.Release.Worker, key, clock.Now())
		return nil
	case message.Intent != nil:
		return &peer.Message{IntentAnswer: i.intentHere(message.Intent)}
	case message.Settle != nil:
		if id, err := operation.ParseID(message.Settle.Operation); err == nil {
			i.witness.Settle(id, message.Settle.Status)
		}
		return nil
	case message.AskOperation != nil:
		return &peer.Message{OperationAnswer: i.operationHere(message.AskOperation)}
	case message.AskTrace != nil:
		return &peer.Message{TraceAnswer: i.traceHere(message.AskTrace.RequestID)}
	case message.AskHeard != nil:
		silence, known := i.members.View().Silence(message.AskHeard.Member, clock.Now())
		return &peer.Message{Heard: &peer.Heard{Known: known, Silence: silence}}
	case message.AskClaims != nil:
		return &peer.Message{Claims: i.claimsHere(message.AskClaims)}
	case message.AskRecords != nil:
		return &peer.Message{Records: i.keeper.answer(message.AskRecords.From)}
	default:
		return nil
	}
}

func (i *Instance) heard(ctx context.Context, beat *peer.Heartbeat) {
	now := clock.Now()
	before, _ := i.members.View().Find(beat.Info.Name)
	if !i.members.Heard(beat.Info, now) {
		return
	}
	sibling, _ := i.members.View().Find(beat.Info.Name)
	if before.Incarnation != sibling.Incarnation || before.Peer == "" {
		i.deps.Peers.Send(sibling.Peer, i.greeting())
	}
	i.observeLoads(beat.Loads, now)
	if beat.Info.Next <= i.keeper.Next() {
		i.refresh()
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(ctx, siblingTimeout)
		defer cancel()
		if i.catchUp(ctx, sibling.Peer) == nil {
			i.refresh()
		}
	}()
}

func (i *Instance) intentHere(intent *peer.Intent) *peer.IntentAnswer {
	id, err := operation.ParseID(intent.Operation)
	if err != nil {
		return &peer.IntentAnswer{Refused: reason.Malformed}
	}
	return &peer.IntentAnswer{Refused: i.witness.Intent(id, i.Uptime())}
}

func (i *Instance) operationHere(ask *peer.AskOperation) *peer.OperationAnswer {
	id, err := operation.ParseID(ask.Operation)
	if err != nil {
		return &peer.OperationAnswer{Status: operation.Status{Outcome: reason.Unknown, Reason: reason.Malformed}}
	}
	if id.Home == i.self {
		return &peer.OperationAnswer{Status: i.operations.Ask(id, i.Uptime())}
	}
	return &peer.OperationAnswer{Status: i.witness.Ask(id, i.Uptime())}
}

func (i *Instance) traceHere(requestID string) *peer.TraceAnswer {
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

// witnesses reaches witnesses for the runner.
type witnesses struct{ *Instance }

// Intent implements request.Witnesses.
func (w witnesses) Intent(ctx context.Context, id operation.ID) reason.Reason {
	sibling, known := w.members.View().Find(id.Witness.Name)
	if !known || sibling.Incarnation != id.Witness.Incarnation {
		return reason.NoWitness
	}
	question := &peer.Message{Intent: &peer.Intent{Operation: id.String()}}
	answer, err := w.deps.Peers.Call(ctx, sibling.Peer, question)
	if err != nil || answer.IntentAnswer == nil {
		return reason.NoWitness
	}
	return answer.IntentAnswer.Refused
}

// Settle implements request.Witnesses.
func (w witnesses) Settle(id operation.ID, status operation.Status) {
	if sibling, known := w.members.View().Find(id.Witness.Name); known {
		w.deps.Peers.Send(sibling.Peer, &peer.Message{Settle: &peer.Settle{Operation: id.String(), Status: status}})
	}
}
