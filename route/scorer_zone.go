package route

// ZoneScorer prefers servers in the partner's availability zone, or in the query's
// zone if there is no partner. The query's zone is usually the instance's own.
type ZoneScorer struct{}

// Name implements Scorer.
func (ZoneScorer) Name() string { return "zone" }

// Score implements Scorer.
func (ZoneScorer) Score(q *Query, c Candidate) float64 {
	zone := q.Zone
	if q.Partner != nil {
		zone = q.Partner.Zone
	}
	if c.Backend.Zone == zone {
		return 1
	}
	return 0
}
