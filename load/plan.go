// Package load makes open-loop traffic: arrivals that do not wait for answers,
// planned in advance from a seed, and measures what the callers saw.
package load

import (
	"math"
	"math/rand/v2"
	"strings"
	"time"
)

// Profile describes the traffic of one deployment.
type Profile struct {
	Model string
	// Rate is the mean of model requests a second, PlainRate that of calls to
	// the plain service.
	Rate      float64
	PlainRate float64
	Service   string
	// MedianPrompt is in tokens; lengths are log-normal with Spread, cut off
	// at MostPrompt.
	MedianPrompt float64
	Spread       float64
	MostPrompt   int
	// MeanAnswer is in tokens; lengths are uniform from half to one and a half.
	MeanAnswer int
	// Templates is how many prompts share a beginning, TemplateTokens its
	// length.
	Templates      int
	TemplateTokens int
	Teams          []string
	// Flood is the part of the arrivals that are of the first team, beside its
	// equal part of the rest.
	Flood float64
	// CancelShare is the part of callers that go away early.
	CancelShare float64
}

// Arrival is one planned request.
type Arrival struct {
	At        time.Duration
	Plain     bool
	Once      bool
	Prompt    string
	MaxTokens int
	Team      string
	// CancelAfter, if not 0, is when the caller goes away.
	CancelAfter time.Duration
}

// Plan makes the arrivals of that long a time.
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
	if p.Flood > 0 && random.Float64() < p.Flood {
		a.Team = p.Teams[0]
	}
	if random.Float64()*(p.Rate+p.PlainRate) >= p.Rate {
		a.Plain = true
		a.Once = random.IntN(2) == 0
		return a
	}
	a.MaxTokens = p.MeanAnswer/2 + random.IntN(p.MeanAnswer+1)
	tokens := int(p.MedianPrompt * math.Exp(p.Spread*random.NormFloat64()))
	a.Prompt = prompt(templates[random.IntN(len(templates))], min(max(tokens, 16), p.MostPrompt), random)
	if random.Float64() < p.CancelShare {
		a.CancelAfter = time.Duration(random.Int64N(int64(mostPatience)))
	}
	return a
}

// mostPatience bounds how long an early leaver stays.
const mostPatience = 4 * time.Second

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
