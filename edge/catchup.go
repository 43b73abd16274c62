package edge

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"github.com/mastwheel/mastwheel/member"
	"github.com/mastwheel/mastwheel/registry"
)

// Have is what an instance that asks already holds.
type Have struct {
	Revision uint64
	Position uint64
}

// Beliefs is what one instance tells another that cannot reach the store.
type Beliefs struct {
	// Table is the configuration in force, if it is newer than what the other
	// has.
	Table []byte `cbor:"1,keyasint,omitempty"`
	// Servers is the list of backend servers, if it is newer.
	Servers *registry.Snapshot `cbor:"2,keyasint,omitempty"`
}

// Tell returns what this instance knows beyond what another has.
func (in *Instance) Tell(have Have) Beliefs {
	var beliefs Beliefs
	if revision := in.table.Load(); revision != nil && revision.Number > have.Revision {
		beliefs.Table = revision.Raw
	}
	if list := in.registry.View(); list.Position > have.Position {
		snapshot := list.Snapshot()
		beliefs.Servers = &snapshot
	}
	return beliefs
}

// catchUp asks a sibling while the store does not answer, or when a sibling
// has a newer table.
func (in *Instance) catchUp(ctx context.Context) {
	for in.pause(ctx, in.config.CatchUpEvery) {
		away := in.store.silence(time.Now()) > in.config.StoreSilence
		sibling, ahead := in.ahead(away)
		if !ahead {
			continue
		}
		if err := in.ask(ctx, sibling); err != nil {
			klog.V(1).InfoS("Sibling not asked", "sibling", sibling.Name, "err", err.Error())
		}
	}
}

// ahead finds the sibling that knows most beyond this instance: a newer table
// always, a newer list of servers only while the store is away.
func (in *Instance) ahead(away bool) (best member.Sibling, found bool) {
	mine := in.info()
	for _, sibling := range in.members.View().Serving() {
		newer := sibling.Revision > mine.Revision || (away && sibling.Next > mine.Next)
		if !newer {
			continue
		}
		further := sibling.Revision > best.Revision || (sibling.Revision == best.Revision && sibling.Next > best.Next)
		if !found || further {
			best, found = sibling, true
		}
	}
	return best, found
}

func (in *Instance) ask(ctx context.Context, sibling member.Sibling) error {
	mine := in.info()
	beliefs, err := in.deps.Siblings.Beliefs(ctx, sibling.Peer, Have{Revision: mine.Revision, Position: mine.Next})
	if err != nil {
		return err
	}
	if beliefs.Table != nil {
		in.adoptRaw(beliefs.Table, sibling.Name)
	}
	if beliefs.Servers != nil && in.store.silence(time.Now()) > in.config.StoreSilence {
		in.registry.Reset(*beliefs.Servers, time.Now())
		in.rebuild()
	}
	return nil
}
