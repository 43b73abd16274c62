// Package load generates open-loop traffic and measures what its callers
// observe. Requests are planned in advance from a seed and are sent at their
// planned times, without waiting for earlier answers.
package load

import (
	"math"
	"math/rand/v2"
	"strings"
	"time"
)

// Profile describes the traffic of a deployment.
type Profile struct {
	Model string
	// Rate is the mean number of model requests per second. PlainRate is the
	// mean number of calls to the plain service (without models) per second.
	Rate      float64
	PlainRate float64
	Service   string
	// MedianPrompt is the median length of a prompt in tokens. Lengths are
	// log-normal: Spread is the standard deviation of their logarithm, and
	// MaxPrompt is the maximum.
	MedianPrompt float64
	Spread       float64
	MaxPrompt    int
	// MeanAnswer is the mean length of an answer in tokens. Lengths are uniform
	// from half to one and a half times the mean.
	MeanAnswer int
	// Templates is the number of different prefixes that prompts share.
	// TemplateTokens is the length of each.
	Templates      int
	TemplateTokens int
	Teams          []string
	// FirstTeamExtra is the fraction of the requests that the first team sends in
	// addition to its equal part of the remaining requests.
	FirstTeamExtra float64
	// CancelShare is the fraction of model requests that their callers cancel.
	CancelShare float64
}

// Arrival is one planned request.
type Arrival struct {
	At            time.Duration
	Plain         bool
	NotIdempotent bool
	Prompt        string
	MaxTokens     int
	Team          string
	// CancelAfter, if not 0, is the time after which the caller cancels.
	CancelAfter time.Duration
}

// Plan returns the requests to send during duration. The same profile, duration
// and seed give the same plan.
func Plan(p Profile, duration time.Duration, seed uint64) []Arrival {
	random := rand.New(rand.NewPCG(seed, seed^0x5DEECE66D))
	templates := makeTemplates(p, random)
	var arrivals []Arrival
	total := p.Rate + p.PlainRate
	if total <= 0 {
		return nil
	}
	for at := time.Duration(0); ; {
		at += time.Duration(random.ExpFloat64() / total * float64(time.Second))
		if at > duration {
			return arrivals
		}
		arrivals = append(arrivals, p.arrival(at, templates, random))
	}
}

func (p Profile) arrival(at time.Duration, templates []string, random *rand.Rand) Arrival {
	a := Arrival{At: at, Team: p.Teams[random.IntN(len(p.Teams))]}
	if p.FirstTeamExtra > 0 && random.Float64() < p.FirstTeamExtra {
		a.Team = p.Teams[0]
	}
	if random.Float64()*(p.Rate+p.PlainRate) >= p.Rate {
		a.Plain = true
		a.NotIdempotent = random.IntN(2) == 0
		return a
	}
	a.MaxTokens = p.MeanAnswer/2 + random.IntN(p.MeanAnswer+1)
	tokens := int(p.MedianPrompt * math.Exp(p.Spread*random.NormFloat64()))
	a.Prompt = prompt(templates[random.IntN(len(templates))], min(max(tokens, 16), p.MaxPrompt), random)
	if random.Float64() < p.CancelShare {
		a.CancelAfter = time.Duration(random.Int64N(int64(maxCancelAfter)))
	}
	return a
}

// maxCancelAfter bounds the time after which a caller cancels its request.
const maxCancelAfter = 4 * time.Second

// bytesPerToken is the usual average for text.
const bytesPerToken = 4

func makeTemplates(p Profile, random *rand.Rand) []string {
	templates := make([]string, max(p.Templates, 1))
	for i := range templates {
		templates[i] = words(p.TemplateTokens*bytesPerToken, random)
	}
	return templates
}

func prompt(template string, tokens int, random *rand.Rand) string {
	length := tokens * bytesPerToken
	if length <= len(template) {
		return words(length, random)
	}
	return template + words(length-len(template), random)
}

var vocabulary = strings.Fields(`plate lien transfer title buyer dealer notary folio stamp fee import
	chassis engine owner counter agent booking table cover night host guest grill wine order kitchen summary`)

func words(length int, random *rand.Rand) string {
	var text strings.Builder
	text.Grow(length + 16)
	for text.Len() < length {
		text.WriteString(vocabulary[random.IntN(len(vocabulary))])
		text.WriteByte(' ')
	}
	return text.String()[:length]
}
