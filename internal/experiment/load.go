package experiment

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"wallflow/internal/emulator"
	"wallflow/internal/selector"
)

// request is a simulated request and its progress.
type request struct {
	kind          *RequestKind
	id            uint64
	relay         int // index of the relay at which the request arrives
	arrived       time.Time
	deadline      time.Time
	engineParts   []emulator.Part       // the prompt, as engines receive it
	selectorParts []selector.PromptPart // the same prompt, as selectors receive it
	outputTokens  int

	attempt         *attempt // the attempt in flight; nil: none
	attemptCount    int
	firstTokenAt    time.Time     // when the relay received the first token
	lastTokenAt     time.Time     // when the relay received the latest tokens
	longestGap      time.Duration // between events of the response
	ended           bool
	inTime          bool
	selectorRequest selector.Request // used by selectorPolicy
}

// attempt is one send of a request to an engine.
type attempt struct {
	request     *request
	engine      int // index
	id          emulator.JobID
	policyState any // data that the policy attaches
	finished    bool
}

// generator generates random requests in order of arrival. Each kind of request arrives as a Poisson process.
type generator struct {
	random            *rand.Rand
	options           *Options
	nextArrivals      []time.Time // next arrival of each kind
	prefixSizes       [][]int     // tokens, by kind and prefix
	cumulativeWeights [][]float64 // running sum of the prefixes' popularity, by kind and prefix
	lastID            uint64
}

func newGenerator(options *Options, start time.Time) *generator {
	g := &generator{random: rand.New(rand.NewPCG(options.Seed, 1)), options: options}
	for index := range options.Load {
		kind := &options.Load[index]
		sizes := make([]int, max(1, kind.Prefixes))
		weights := make([]float64, len(sizes))
		sum := 0.0
		for prefix := range sizes {
			sizes[prefix] = g.uniform(kind.PrefixMin, kind.PrefixMax)
			sum += math.Pow(float64(prefix+1), -kind.ZipfExponent)
			weights[prefix] = sum
		}
		g.prefixSizes = append(g.prefixSizes, sizes)
		g.cumulativeWeights = append(g.cumulativeWeights, weights)
		g.nextArrivals = append(g.nextArrivals, start.Add(g.interarrival(kind, start)))
	}
	return g
}

// interarrival draws the time from a request of a kind, which arrives at the given time, to the next one.
func (g *generator) interarrival(kind *RequestKind, at time.Time) time.Duration {
	rate, since, burst := kind.Rate, at.Sub(startTime), &g.options.Burst
	if burst.Factor > 0 && since >= burst.Start && since < burst.End {
		rate *= burst.Factor
	}
	return time.Duration(g.random.ExpFloat64() / rate * float64(time.Second))
}

// uniform draws an integer from low to high inclusive, or low if the range is empty.
func (g *generator) uniform(low, high int) int {
	if high <= low {
		return low
	}
	return low + g.random.IntN(high-low+1)
}

// nextRequest returns the request that arrives next. Its prompt consists of a prefix that is shared with other requests of the same kind
// and a suffix of its own.
func (g *generator) nextRequest() *request {
	kindIndex := 0
	for other := range g.nextArrivals {
		if g.nextArrivals[other].Before(g.nextArrivals[kindIndex]) {
			kindIndex = other
		}
	}
	kind := &g.options.Load[kindIndex]
	at := g.nextArrivals[kindIndex]
	g.nextArrivals[kindIndex] = at.Add(g.interarrival(kind, at))
	g.lastID++
	prefix := g.drawPrefix(kindIndex)
	suffixTokens := g.uniform(kind.SuffixMin, kind.SuffixMax)
	// A prefix ID combines kind and prefix. Bit 62 marks the unique ID of a suffix.
	partIDs := [2]uint64{uint64(kindIndex+1)<<32 | uint64(prefix), 1<<62 | g.lastID}
	r := &request{
		kind:         kind,
		id:           g.lastID,
		relay:        g.random.IntN(g.options.Relays),
		arrived:      at,
		deadline:     at.Add(kind.Timeout),
		outputTokens: g.uniform(kind.OutputMin, kind.OutputMax),
		engineParts: []emulator.Part{
			{ID: fmt.Sprintf("%x", partIDs[0]), Tokens: g.prefixSizes[kindIndex][prefix]},
			{ID: fmt.Sprintf("%x", partIDs[1]), Tokens: suffixTokens},
		},
	}
	for part := range partIDs {
		r.selectorParts = append(r.selectorParts, selector.PromptPart{ID: partIDs[part], Tokens: r.engineParts[part].Tokens})
	}
	return r
}

// drawPrefix draws one of a kind's prefixes according to their popularity.
func (g *generator) drawPrefix(kindIndex int) int {
	weights := g.cumulativeWeights[kindIndex]
	drawn := g.random.Float64() * weights[len(weights)-1]
	for prefix, cumulative := range weights {
		if drawn < cumulative {
			return prefix
		}
	}
	return len(weights) - 1
}

// job returns the request as a job for an engine.
func (r *request) job(id emulator.JobID) emulator.Job {
	return emulator.Job{ID: id, Model: modelName, Priority: r.kind.Priority, Parts: r.engineParts,
		Output: r.outputTokens, Deadline: r.deadline}
}
