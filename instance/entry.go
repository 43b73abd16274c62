package instance

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/mastwheel/mastwheel/member"
	"github.com/mastwheel/mastwheel/operation"
	"github.com/mastwheel/mastwheel/peer"
	"github.com/mastwheel/mastwheel/reason"
)

// Entry is the answer to a caller that requests an address to connect to.
type Entry struct {
	// Address is where to connect, in the form "ip:port". Instance is the name
	// of the instance at that address.
	Address  string `json:"address"`
	Instance string `json:"instance"`
	Zone     string `json:"zone"`
	// KeepSeconds is how long the answer may be kept.
	KeepSeconds int `json:"keep_seconds"`
	// Operation holds what the caller needs to make operation ids. It is nil if
	// no witness (an instance in another zone that acknowledges an intent) is
	// available.
	Operation *EntryOperation `json:"operation,omitempty"`
}

// EntryOperation describes how to make operation ids for the named instance.
type EntryOperation struct {
	// Prefix is the start of each id. The caller appends a nonce of up to 64
	// letters, digits, "-" and "_".
	Prefix string `json:"prefix"`
	// Witness is the address of the witness, which the caller queries for an
	// outcome when the named instance is lost.
	Witness string `json:"witness"`
	// ExpiresSeconds is how long ids with the prefix are valid.
	ExpiresSeconds int `json:"expires_seconds"`
}

// SelectEntry selects an instance for a caller. It prefers live instances in the caller's
// availability zone, draws two at random and selects the one with fewer requests in flight.
// avoid names an instance that the caller could not reach and that may be dead but not yet
// suspected; it is not selected. ok is false if there is no instance to select.
func (i *Instance) SelectEntry(zone, avoid string) (entry Entry, ok bool) {
	info, ok := i.selectEntry(zone, avoid)
	if !ok {
		return Entry{}, false
	}
	entry = Entry{
		Address: info.Caller, Instance: info.Name, Zone: info.Zone,
		KeepSeconds: int(i.config.EntryTTL / time.Second),
	}
	witness, found := i.selectWitness(info)
	if !found {
		return entry, true
	}
	id := operation.ID{
		Home:          info.Member(),
		Witness:       witness.Member(),
		HomeExpiry:    info.Uptime + i.config.OperationIDTTL,
		WitnessExpiry: witness.Uptime + i.config.OperationIDTTL,
	}
	entry.Operation = &EntryOperation{
		Prefix: id.Prefix(), Witness: witness.Caller,
		ExpiresSeconds: int(i.config.OperationIDTTL / time.Second),
	}
	return entry, true
}

// candidates returns the instances whose address may be given to callers: those
// that are alive and have a table, including this one when it is ready. An
// instance that has just started does not know all siblings yet, and therefore
// not every witness. It is returned only while no instance has run for
// MinUptimeForEntry.
func (i *Instance) candidates() []member.Info {
	var infos []member.Info
	if i.Ready() == nil {
		infos = append(infos, i.Info())
	}
	for _, sibling := range i.members.View().Siblings {
		if sibling.State == member.Alive && sibling.Revision > 0 {
			infos = append(infos, sibling.Info)
		}
	}
	return prefer(infos, func(info member.Info) bool { return info.Uptime > i.config.MinUptimeForEntry })
}

// prefer returns the infos that match, or all of them if none does.
func prefer(infos []member.Info, wanted func(member.Info) bool) []member.Info {
	var found []member.Info
	for _, info := range infos {
		if wanted(info) {
			found = append(found, info)
		}
	}
	if len(found) > 0 {
		return found
	}
	return infos
}

func (i *Instance) selectEntry(zone, avoid string) (member.Info, bool) {
	candidates := slices.DeleteFunc(i.candidates(), func(info member.Info) bool { return info.Name == avoid })
	candidates = prefer(candidates, func(info member.Info) bool { return info.Zone == zone })
	if len(candidates) == 0 {
		return member.Info{}, false
	}
	one, other := i.draw(candidates), i.draw(candidates)
	if other.InFlight < one.InFlight {
		return other, true
	}
	return one, true
}

// selectWitness draws a witness for a home, in another zone if there is one.
func (i *Instance) selectWitness(home member.Info) (member.Info, bool) {
	others := slices.DeleteFunc(i.candidates(), func(info member.Info) bool { return info.Name == home.Name })
	others = prefer(others, func(info member.Info) bool { return info.Zone != home.Zone })
	if len(others) == 0 {
		return member.Info{}, false
	}
	return i.draw(others), true
}

func (i *Instance) draw(infos []member.Info) member.Info {
	return infos[int(i.deps.Random()*float64(len(infos)))]
}

// OperationStatus returns the status of an operation for a caller. At the
// operation's home (the instance that the caller is connected to) or witness it
// answers from the local records. Elsewhere it queries the home and, if the home
// does not answer, the witness.
func (i *Instance) OperationStatus(ctx context.Context, id operation.ID) operation.Status {
	if id.Home == i.self {
		return i.operations.Query(id, i.Uptime())
	}
	if status, ok := i.queryMember(ctx, id.Home, id); ok {
		return status
	}
	if id.Witness == i.self {
		return i.WitnessStatus(id)
	}
	if status, ok := i.queryMember(ctx, id.Witness, id); ok {
		return status
	}
	return operation.Status{Outcome: reason.Unknown, Reason: reason.NoWitness}
}

// WitnessStatus returns the status of an operation from this instance's records as a
// witness, without a query to the home. It is used when the home is unreachable.
func (i *Instance) WitnessStatus(id operation.ID) operation.Status {
	return i.witness.Query(id, i.Uptime())
}

func (i *Instance) queryMember(ctx context.Context, target operation.Member, id operation.ID) (operation.Status, bool) {
	sibling, known := i.members.View().Find(target.Name)
	if !known || sibling.Incarnation != target.Incarnation || sibling.State == member.Dead {
		return operation.Status{}, false
	}
	ctx, cancel := context.WithTimeout(ctx, i.config.Request.ReserveTimeout)
	defer cancel()
	query := &peer.Message{AskOperation: &peer.OperationRequest{Operation: id.String()}}
	answer, err := i.deps.Peers.Call(ctx, sibling.Peer, query)
	if err != nil || answer.OperationAnswer == nil {
		return operation.Status{}, false
	}
	return answer.OperationAnswer.Status, true
}

// Explain returns the record of a request as JSON. It queries the request's
// home if the record is not kept here. It returns nil if the record is not
// found.
func (i *Instance) Explain(ctx context.Context, requestID string) []byte {
	if answer := i.localTrace(requestID); answer.JSON != nil {
		return answer.JSON
	}
	name, _, _ := strings.Cut(requestID, ".")
	sibling, known := i.members.View().Find(name)
	if !known {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, siblingTimeout)
	defer cancel()
	query := &peer.Message{AskTrace: &peer.TraceRequest{RequestID: requestID}}
	answer, err := i.deps.Peers.Call(ctx, sibling.Peer, query)
	if err != nil || answer.TraceAnswer == nil {
		return nil
	}
	return answer.TraceAnswer.JSON
}
