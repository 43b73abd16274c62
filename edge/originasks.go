package edge

import (
	"context"
	"strconv"
	"time"

	"github.com/mastwheel/mastwheel/heartbeat"
	"github.com/mastwheel/mastwheel/member"
	"github.com/mastwheel/mastwheel/metrics"
	"github.com/mastwheel/mastwheel/origin"
)

// Where a stream began is asked of the siblings that may have its record.

// originAnswer is a sibling's answer. known is false if it does not know the stream; the origin is zero if nobody can
// know where the stream began.
type originAnswer struct {
	at    origin.Origin
	known bool
}

// ask asks siblings where a stream began. The origin is zero if one of them knows that nobody can know.
func (o *origins) ask(ctx context.Context, key origin.Key, service string) (origin.Origin, bool) {
	// The result is shared, so the end of one request must not end the lookup of another one.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), originTimeout)
	defer cancel()
	answer, _, _ := o.asking.Do(strconv.FormatUint(uint64(key), 36), func() (any, error) {
		return o.askSiblings(ctx, key, service), nil
	})
	return answer.(originAnswer).at, answer.(originAnswer).known
}

// askSiblings returns what the siblings know until all have answered, originDoubtWait after one has named a
// release, or until ctx ends. If one knows that nobody can know, or two name different releases, nobody can know.
func (o *origins) askSiblings(ctx context.Context, key origin.Key, service string) (found originAnswer) {
	known := o.directory()
	asked := o.withHubs(known.keepers(key, originAsked))
	if len(asked) == 0 {
		return originAnswer{}
	}
	answers := make(chan originAnswer, len(asked))
	o.mu.Lock()
	o.waiting[key] = answers
	o.mu.Unlock()
	defer o.stopWaiting(key)
	message := heartbeat.Message{From: o.info(), NoLoads: true, Hubs: o.usesHubs(), Origins: &origin.Message{Questions: []origin.Question{{Key: key, Service: service}}}}
	o.send(message, asked...)
	var waited <-chan time.Time
	for range asked {
		select {
		case answer := <-answers:
			switch {
			case !answer.known:
			case answer.at == (origin.Origin{}) || (found.known && answer.at != found.at):
				return originAnswer{known: true}
			case !found.known:
				found = answer
				timer := time.NewTimer(originDoubtWait)
				defer timer.Stop()
				waited = timer.C
			}
		case <-waited:
			return found
		case <-ctx.Done():
			return found
		}
	}
	return found
}

func (o *origins) stopWaiting(key origin.Key) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.waiting, key)
}

// directory holds the names and addresses of the instances that may keep records. The address of this
// instance is empty.
type directory struct{ names, addresses []string }

func (o *origins) directory() directory {
	d := directory{[]string{o.config.Name}, []string{""}}
	for _, sibling := range o.members.View().Siblings {
		if sibling.Serves() {
			d.add(sibling.Name, sibling.Peer)
		}
	}
	return d
}

func (d *directory) add(name, address string) {
	d.names, d.addresses = append(d.names, name), append(d.addresses, address)
}

// keepers returns the addresses of the siblings that keep the record of a stream.
func (d *directory) keepers(key origin.Key, most int) []string {
	var selected []string
	for _, i := range origin.Keepers(key, d.names, most) {
		if d.addresses[i] != "" {
			selected = append(selected, d.addresses[i])
		}
	}
	return selected
}

func (o *origins) answered(key origin.Key, answer originAnswer) {
	o.mu.Lock()
	defer o.mu.Unlock()
	select {
	case o.waiting[key] <- answer:
	default:
	}
}

// answer answers the questions of a sibling. An instance that reads the store's records does so for one that
// does not, and answers later then.
func (o *origins) answer(questions []origin.Question, to member.Info, now time.Time) {
	reply := new(origin.Message)
	for _, question := range questions[:min(len(questions), originsInMessage)] {
		answer := origin.Answer{Key: question.Key, At: origin.Unknown}
		if at, known := o.answerFor(question, to, now); known {
			answer.At = reply.Index(at)
		} else if to.UsesSubset && o.stored.answerLater(question.Key, to.Peer) {
			continue
		}
		reply.Answers = append(reply.Answers, answer)
	}
	if len(reply.Answers) == 0 {
		return
	}
	o.send(heartbeat.Message{Origins: reply}, to.Peer)
}

// answerFor returns where the stream of a sibling's question began, as far as this instance knows. The only
// release in its list is none to a sibling with a newer list, which may have another.
func (o *origins) answerFor(question origin.Question, to member.Info, now time.Time) (origin.Origin, bool) {
	at, source := o.lookUp(question.Key, question.Service, now)
	if source == metrics.OriginSole && !to.UsesSubset && to.Next > uint64(o.registry.View().Position) {
		return origin.Origin{}, false
	}
	return at, source != metrics.OriginUnknown
}
