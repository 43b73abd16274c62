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

// Entry answers a caller that asks which address to use.
type Entry struct {
	// Address is where to connect, "ip:port", and Instance who that is.
	Address  string `json:"address"`
	Instance string `json:"instance"`
	Zone     string `json:"zone"`
	// KeepSeconds is how long the answer may be kept.
	KeepSeconds int `json:"keep_seconds"`
	// Operation is what an operation id needs; nil with no witness at hand.
	Operation *EntryOperation `json:"operation,omitempty"`
}

// EntryOperation says how to make operation ids for the named instance.
type EntryOperation struct {
	// Prefix is the begin of each id; a nonce of the caller's follows, of up
	// to 64 letters, digits, "-" and "_".
	Prefix string `json:"prefix"`
	// Witness is whom to ask for an outcome when the instance is lost.
	Witness string `json:"witness"`
	// ExpiresSeconds is how long ids with the prefix are good.
	ExpiresSeconds int `json:"expires_seconds"`
}

// Entry names an instance for a caller: one that is alive, in the caller's
// availability zone if there is one, with the fewest requests of two drawn. An
// instance to avoid is one that the caller could not reach: it may have died
// and not be suspected yet. ok is false when there is none to name.
func (i *Instance) Entry(zone, avoid string) (entry Entry, ok bool) {
	info, ok := i.chooseEntry(zone, avoid)
	if !ok {
		return Entry{}, false
	}
	entry = Entry{
		Address: info.Caller, Instance: info.Name, Zone: info.Zone,
		KeepSeconds: int(i.config.KeepAnswer / time.Second),
	}
	witness, found := i.chooseWitness(info)
	if !found {
		return entry, true
	}
	id := operation.ID{
		Home:          info.Member(),
		Witness:       witness.Member(),
		HomeExpiry:    info.Uptime + i.config.OperationLife,
		WitnessExpiry: witness.Uptime + i.config.OperationLife,
	}
	entry.Operation = &EntryOperation{
		Prefix: id.Prefix(), Witness: witness.Caller,
		ExpiresSeconds: int(i.config.OperationLife / time.Second),
	}
	return entry, true
}

// candidates returns the instances that may be named: those that are alive
// and have a table, this one included when it is ready. An instance that has
// just started does not know all siblings yet, and so not every witness; it is
// named only while there is no other.
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
	return prefer(infos, func(info member.Info) bool { return info.Uptime > i.config.SettleAfter })
}

// prefer returns the wanted ones, or all if none is.
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

func (i *Instance) chooseEntry(zone, avoid string) (member.Info, bool) {
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

// chooseWitness draws a witness for a home, in another zone if there is one.
func (i *Instance) chooseWitness(home member.Info) (member.Info, bool) {
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

// AskOperation answers a caller that asks what became of an operation. Asked
// at its home or witness it answers from there; elsewhere it asks the home
// and, when that does not answer, the witness.
func (i *Instance) AskOperation(ctx context.Context, id operation.ID) operation.Status {
	if id.Home == i.self {
		return i.operations.Ask(id, i.Uptime())
	}
	if status, ok := i.askMember(ctx, id.Home, id); ok {
		return status
	}
	if id.Witness == i.self {
		return i.Witnessed(id)
	}
	if status, ok := i.askMember(ctx, id.Witness, id); ok {
		return status
	}
	return operation.Status{Outcome: reason.Unknown, Reason: reason.NoWitness}
}

// Witnessed answers as the witness of an operation alone, as it does when the
// home is out of reach.
func (i *Instance) Witnessed(id operation.ID) operation.Status {
	return i.witness.Ask(id, i.Uptime())
}

func (i *Instance) askMember(ctx context.Context, whom operation.Member, id operation.ID) (operation.Status, bool) {
	sibling, known := i.members.View().Find(whom.Name)
	if !known || sibling.Incarnation != whom.Incarnation || sibling.State == member.Dead {
		return operation.Status{}, false
	}
	ctx, cancel := context.WithTimeout(ctx, i.config.Request.ReserveTimeout)
	defer cancel()
	question := &peer.Message{AskOperation: &peer.AskOperation{Operation: id.String()}}
	answer, err := i.deps.Peers.Call(ctx, sibling.Peer, question)
	if err != nil || answer.OperationAnswer == nil {
		return operation.Status{}, false
	}
	return answer.OperationAnswer.Status, true
}

// Explain returns the record of a request as JSON, from its home if need be;
// nil when it is not kept.
func (i *Instance) Explain(ctx context.Context, requestID string) []byte {
	if answer := i.traceHere(requestID); answer.JSON != nil {
		return answer.JSON
	}
	name, _, _ := strings.Cut(requestID, ".")
	sibling, known := i.members.View().Find(name)
	if !known {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, siblingTimeout)
	defer cancel()
	question := &peer.Message{AskTrace: &peer.AskTrace{RequestID: requestID}}
	answer, err := i.deps.Peers.Call(ctx, sibling.Peer, question)
	if err != nil || answer.TraceAnswer == nil {
		return nil
	}
	return answer.TraceAnswer.JSON
}
