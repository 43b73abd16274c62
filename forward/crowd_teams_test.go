package forward

import (
	"testing"
	"time"

	"github.com/mastwheel/mastwheel/allotment"
	"github.com/mastwheel/mastwheel/table"
)

// Teams of a crowd: one that has used up what it may, and one that asks for little.
const (
	hotTeam, quietTeam = "hot", "quiet"
	// usedByHot and usedByQuiet are what they have used of their allotments.
	usedByHot, usedByQuiet = 1.0, 0.1
)

// crowdAllotments admits all requests, and says how much of its allotment a team has used.
type crowdAllotments struct{}

// Admit implements Allotments.
func (crowdAllotments) Admit(team string, cost float64, _ time.Time) allotment.Decision {
	used := usedByQuiet
	if team == hotTeam {
		used = usedByHot
	}
	return allotment.Decision{Admitted: true, Team: team, Cost: cost, Used: used}
}

// Return implements Allotments.
func (crowdAllotments) Return(string, float64, time.Time) {}

// haveTeams has the crowd's table hold the two teams.
func (c *crowd) haveTeams() {
	limit := table.Allotment{Unit: table.UnitTokens, Rate: 1}
	for _, g := range c.gateways {
		view := *g.View.Table()
		view.Keyed = true
		view.Keys = make(map[table.KeyDigest]*table.TeamView)
		for _, team := range []string{hotTeam, quietTeam} {
			view.Keys[table.DigestOf(team)] = &table.TeamView{Name: team, Keyed: true, Allotment: limit}
		}
		g.View.(*testView).view = &view
		g.Allotments = crowdAllotments{}
	}
}

// sign has a request show its team's key, if there are teams.
func (c *crowd) sign(r *Request, isQuiet bool) {
	team := hotTeam
	if isQuiet {
		team = quietTeam
	}
	r.Key, r.HasKey = table.DigestOf(team), c.load.hot > 0
}

// Beside a team that asks for five times as much, half as much again as the engines can
// hold, the streams of one that keeps to a part of its allotment find room.
func TestAQuietTeamFindsRoomBesideAHotOne(t *testing.T) {
	quiet(t)
	alike := DefaultConfig()
	alike.TeamYield = 0
	served := func(config Config) (ofQuiet, ofAll float64) {
		var inTime, asked, all, allAsked int
		for seed := range uint64(crowdSeeds) {
			c := playCrowd(t, config, crowdLoad{rate: 1.5 * crowdRate, hot: 5.0 / 6}, seed)
			inTime, asked = inTime+c.quiet.inTime.count, asked+c.quiet.asked.count
			all, allAsked = all+c.noted.inTime.count, allAsked+c.noted.asked.count
		}
		return float64(inTime) / float64(asked), float64(all) / float64(allAsked)
	}
	before, allBefore := served(alike)
	after, allAfter := served(DefaultConfig())
	t.Logf("in time: of the quiet team %.3f, of all %.3f; where none yields %.3f, %.3f", after, allAfter, before, allBefore)
	if after <= before || after <= allAfter {
		t.Error("the quiet team has no more of the memory than before, or than the hot one")
	}
}
