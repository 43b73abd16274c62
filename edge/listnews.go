package edge

import (
	"time"

	"github.com/mastwheel/mastwheel/clock"
	"github.com/mastwheel/mastwheel/heartbeat"
	"github.com/mastwheel/mastwheel/oplog"
	"github.com/mastwheel/mastwheel/registry"
)

// Changes of the list of backend servers go from the hubs that read them to all.

// tellNews passes changes of the list on: to the hubs of the own zone, and from a hub
// to those that it serves. One that got them is not told again.
func (in *Instance) tellNews(news heartbeat.News, from string) {
	if !in.usesHubs() || len(news.Changes) == 0 || len(news.Changes) > in.config.NewsAtMost {
		return
	}
	now := clock.Now()
	var addresses []string
	for _, info := range in.hubsOfZones(now)[in.config.Zone] {
		if info.Name != in.config.Name && info.Name != from {
			addresses = append(addresses, info.Peer)
		}
	}
	for name, to := range in.hubs.current() {
		if name != from {
			addresses = append(addresses, to.peer)
		}
	}
	message := in.message(now)
	message.Hubs, message.News = true, &news
	in.send(message, addresses...)
}

// takeNews takes in changes of the list that a sibling passes on, if nothing is missing
// before them, and passes them on in turn.
func (in *Instance) takeNews(message heartbeat.Message, now time.Time) {
	news := message.News
	if news == nil || news.Age < 0 {
		return
	}
	have := in.registry.View().Position
	if news.From > have || news.To <= have {
		return
	}
	at := now.Add(-news.Age)
	// That the store was away must be known before a removal is judged.
	in.list.hear(at, false)
	in.registry.Apply(news.Changes, news.To, now)
	in.rebuild()
	in.list.hear(at, news.To == in.registry.View().Position)
	in.list.grew(uint64(have))
	in.tellNews(*news, message.From.Name)
}

// newsOf is the news that a poll of the store has told.
func newsOf(from, to oplog.Position, changes []registry.Change, at time.Time) heartbeat.News {
	return heartbeat.News{From: from, To: to, Changes: changes, Age: max(clock.Since(at), 0)}
}
