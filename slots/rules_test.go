package slots

import (
	"slices"
	"time"

	"github.com/mastwheel/mastwheel/route"
	"github.com/mastwheel/mastwheel/speed"
	"github.com/mastwheel/mastwheel/table"
)

// plainRule is the rule for servers whose slots are not known: package route's profile with the
// backoff after a refusal, and one retry.
type plainRule struct {
	*sim
	fleets []*route.Fleet
	pool   []*table.BackendView
}

func newPlainRule(s *sim) simRule {
	r := &plainRule{sim: s}
	backends := make(map[string]*table.BackendView)
	for _, server := range s.servers {
		backends[server.name] = &table.BackendView{Name: server.name, Zone: "z"}
		r.pool = append(r.pool, backends[server.name])
	}
	for range s.instances {
		fleet := route.NewFleet()
		fleet.Adopt(&table.View{Backends: backends})
		r.fleets = append(r.fleets, fleet)
	}
	return r
}

func (r *plainRule) arrive(call *simCall) {
	fleet := r.fleets[call.instance]
	for i, server := range r.servers {
		fleet.Server(server.name).SetOthers(route.Commitment{InFlight: r.views[call.instance][i]})
	}
	query := &route.Query{RequestID: call.id, Zone: "z", Exclude: call.tried, Now: r.time()}
	made := route.ForwardPlain().Decide(query, fleet, r.pool)
	if made.Selected == nil {
		r.refuse(call, r.usualReturn(call))
		return
	}
	server := made.Selected.Server
	ended, contact := server.RequestSent(0), server.AwaitAnswer(r.time())
	index := slices.IndexFunc(r.servers, func(s *simServer) bool { return s.name == made.Pick })
	r.send(index, call, func(status int) {
		ended()
		contact()
		switch status {
		case 503:
			server.RecordContact(r.time())
			server.Refused(r.time())
		case 502:
			server.Unreached(r.time())
		default:
			server.RecordContact(r.time())
			server.Accepted()
		}
		r.ended(call, status)
	})
}

// idealRule is one queue that sees all servers and never lets a call wait at them. Calls that can
// end in time go first, then by arrival.
type idealRule struct {
	*sim
	waiting []*simCall
	atWork  [simServers]int
}

func newIdealRule(s *sim) simRule { return &idealRule{sim: s} }

func (r *idealRule) arrive(call *simCall) {
	r.waiting = append(r.waiting, call)
	r.serve()
}

func (r *idealRule) serve() {
	r.waiting = slices.DeleteFunc(r.waiting, func(call *simCall) bool {
		over := r.now > call.arrived+r.maxWait-2*r.work
		if over {
			r.result.refused++
		}
		return over
	})
	for len(r.waiting) > 0 {
		server := -1
		for i, one := range r.servers {
			if !one.lost && r.atWork[i] < simSlots && (server < 0 || r.atWork[i] < r.atWork[server]) {
				server = i
			}
		}
		if server < 0 {
			return
		}
		first := slices.MinFunc(r.waiting, r.compare)
		r.waiting = slices.DeleteFunc(r.waiting, func(call *simCall) bool { return call == first })
		r.atWork[server]++
		r.send(server, first, func(status int) {
			r.atWork[server]--
			if status != 200 && first.priority == 1 && first.mayRepeat() {
				r.waiting = append(r.waiting, first)
			} else {
				r.done(first, status)
			}
			r.serve()
		})
	}
}

func (r *idealRule) compare(a, b *simCall) int {
	late := func(c *simCall) int {
		if r.now+2*simHop+r.work*6/5 > c.arrived+r.target {
			return 1
		}
		return 0
	}
	if late(a) != late(b) {
		return late(a) - late(b)
	}
	return int(a.arrived - b.arrived)
}

// slotsRule is the rule of this package. waiting holds the waiting calls' next decisions, by
// instance.
type slotsRule struct {
	*sim
	dispatchers  []*Dispatcher
	waiting      [][]func()
	outOfContact bool
}

// pollEvery is the pause after which a waiting call is decided about again.
const pollEvery = 20 * time.Millisecond

func newSlotsRule(s *sim) simRule { return newDispatchers(s, DefaultConfig(), false) }

func newDispatchers(s *sim, config Config, outOfContact bool) *slotsRule {
	r := &slotsRule{sim: s, waiting: make([][]func(), s.instances), outOfContact: outOfContact}
	for range s.instances {
		r.dispatchers = append(r.dispatchers, NewDispatcher(config, s.random.Float64))
	}
	r.exchange()
	return r
}

// known returns the calls that an instance knows of at a server.
func (r *slotsRule) known(instance, server int) int {
	return r.own[instance][server] + r.views[instance][server]
}

// maxCallsAtOnce is how many calls a server may have for an answer to show its usual work time, as in
// package route.
const maxCallsAtOnce = 4

// exchangeEvery is the pause after which instances have the work times that the others measured.
const exchangeEvery = time.Second

// exchange lets all instances know the usual work times.
func (r *slotsRule) exchange() {
	for _, server := range r.servers {
		var all []speed.Estimate
		for i := range server.measured {
			all = append(all, server.measured[i].Estimate(r.time()))
		}
		if combined := speed.Combine(r.time(), all...); combined.Known(r.time()) {
			server.usual = time.Duration(combined.PerUnit * float64(time.Second))
		}
	}
	r.after(exchangeEvery, r.exchange)
}

func (r *slotsRule) view(call *simCall) View {
	view := View{Instances: r.instances, Rank: call.instance, InContact: !r.outOfContact}
	for i, server := range r.servers {
		// A lost server is noticed after a while.
		tried := slices.Contains(call.tried, server.name)
		if server.lost && (tried || r.now > r.lost+100*time.Millisecond) {
			continue
		}
		view.Servers = append(view.Servers, Server{Name: server.name, Slots: simSlots, InFlight: r.known(call.instance, i), Excluded: tried, Usual: server.usual})
	}
	return view
}

func (r *slotsRule) arrive(call *simCall) {
	made, waiter := r.dispatchers[call.instance].Arrive(Call{
		Priority: call.priority, Target: r.target, Due: r.start.Add(call.arrived + r.target),
		Deadline: r.start.Add(call.arrived + r.maxWait), Bytes: 2000,
	}, r.view(call), r.time())
	r.act(call, &made, waiter, r.now)
}

func (r *slotsRule) act(call *simCall, made *Decision, waiter *Waiter, since time.Duration) {
	dispatcher := r.dispatchers[call.instance]
	switch made.Action {
	case Wait:
		decided := false
		poll := func() {
			if !decided {
				decided = true
				next := dispatcher.Poll(waiter, r.view(call), r.time())
				r.act(call, &next, waiter, since)
			}
		}
		r.waiting[call.instance] = append(r.waiting[call.instance], poll)
		r.after(pollEvery, poll)
	case Refuse:
		if r.now-since > r.target/4 {
			r.result.held++
		}
		r.refuse(call, made.RetryAfter)
	case Send:
		server := int(made.Server[1] - '0')
		from, sent, before := call.instance, r.now, r.known(call.instance, server)+1
		r.send(server, call, func(status int) {
			r.answered(call, server, status, before, r.known(from, server)+1, r.now-sent)
		})
	}
}

func (r *slotsRule) answered(call *simCall, server int, status, before, after int, took time.Duration) {
	instance := call.instance
	dispatcher := r.dispatchers[instance]
	switch status {
	case 200, 500:
		at := r.servers[server]
		dispatcher.Answered(Answer{Server: at.name, Slots: simSlots, Before: before, After: after, Took: took, Usual: at.usual}, r.time())
		if after <= maxCallsAtOnce && status == 200 {
			at.measured[instance].Record(took, 1, r.time())
		}
	case 503:
		dispatcher.Refused(r.servers[server].name, simSlots, before, r.time())
	}
	dispatcher.Done(r.target, took, r.time())
	r.ended(call, status)
	waiting := r.waiting[instance]
	r.waiting[instance] = nil
	for _, poll := range waiting {
		poll()
	}
}
