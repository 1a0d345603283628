package selector

import (
	"math"
	"time"

	"wallflow/internal/workload"
)

// The speed of engines is learned from their answers. The time from sending to the first event, less the network
// round trip and the expected wait, is modeled as a constant, a part for each token that is prefilled, and a part for
// each pair of tokens that attention compares:
//
//	first = constant + perThousand*uncached/1000 + perMillionPairs*pairs/10^6
//
// The three coefficients are fitted by least squares of the relative error, with the prior as a ridge penalty, from
// sums that decay with time. The sums of several relays can be added, so a relay learns from the answers to all
// relays (see package workload).

const (
	// fitHalfLife is the half-life of the weight of an answer.
	fitHalfLife = 60 * time.Second
	// priorWeight is the weight of the prior, in answers.
	priorWeight = 2
	// outlierFactor bounds the time that an answer counts as having taken, as a multiple of the expected time, since
	// a longer one was delayed by something else.
	outlierFactor = 3
	// lateAnswerWeight is the weight of an answer that came later than expected, since most of what delays an answer
	// is not the engine's prefill.
	lateAnswerWeight = 0.35
	// maxLearnWaitFraction is the fraction of its expected processing time that an answer may be expected to wait for
	// it to be used.
	maxLearnWaitFraction = 0.25
	// minExpectedMs is the minimum for the expected time of an answer, so that relative errors stay bounded.
	minExpectedMs = 5.0
	// maxSlowdown and maxSpeedup bound how far the coefficients may move from the prior.
	maxSlowdown = 20.0
	maxSpeedup  = 20.0
)

// fitTerms is the number of coefficients.
const fitTerms = 3

// fitVector holds the three coefficients, or the terms that they are multiplied by.
type fitVector [fitTerms]float64

func (v fitVector) dot(other fitVector) float64 { return v[0]*other[0] + v[1]*other[1] + v[2]*other[2] }

// prefillTerms returns the terms for a prompt of total tokens, of which the last uncached ones must be prefilled.
func prefillTerms(total, uncached int) fitVector {
	all, cached := float64(total), float64(total-uncached)
	return fitVector{1, float64(uncached) / 1e3, (all*all - cached*cached) / 2 / 1e6}
}

// fitSums accumulates answers as the sums of the normal equations.
type fitSums struct {
	squares [fitTerms][fitTerms]float64 // sums of the products of two terms
	results fitVector                   // sums of the products of a term and the time taken
	answers float64                     // number of answers
}

func (s *fitSums) add(other *fitSums) {
	for row := range s.squares {
		for column := range s.squares[row] {
			s.squares[row][column] += other.squares[row][column]
		}
		s.results[row] += other.results[row]
	}
	s.answers += other.answers
}

// scale multiplies all sums by a factor.
func (s *fitSums) scale(factor float64) {
	for row := range s.squares {
		for column := range s.squares[row] {
			s.squares[row][column] *= factor
		}
		s.results[row] *= factor
	}
	s.answers *= factor
}

// addAnswer adds a sample: an answer with these terms that took tookMs.
func (s *fitSums) addAnswer(terms fitVector, tookMs, weight float64) {
	for row := range s.squares {
		for column := range s.squares[row] {
			s.squares[row][column] += weight * terms[row] * terms[column]
		}
		s.results[row] += weight * terms[row] * tookMs
	}
	s.answers++
}

// encode returns the sums in the form in which they are sent to other relays.
func (s *fitSums) encode() [workload.SumTerms]float64 {
	return [workload.SumTerms]float64{
		s.squares[0][0], s.squares[0][1], s.squares[0][2], s.squares[1][1], s.squares[1][2], s.squares[2][2],
		s.results[0], s.results[1], s.results[2], s.answers,
	}
}

// decodeSums returns the sums that another relay encoded.
func decodeSums(encoded [workload.SumTerms]float64) *fitSums {
	return &fitSums{
		squares: [fitTerms][fitTerms]float64{{encoded[0], encoded[1], encoded[2]}, {encoded[1], encoded[3], encoded[4]},
			{encoded[2], encoded[4], encoded[5]}},
		results: fitVector{encoded[6], encoded[7], encoded[8]},
		answers: encoded[9],
	}
}

// prefillSpeed is the learned speed of a service's engines.
type prefillSpeed struct {
	prior        fitVector
	coefficients fitVector // of the last fit
	own          fitSums   // of this relay's answers
	ownAt        time.Time // when own was last decayed
	others       fitSums   // of the answers to other relays
}

func newPrefillSpeed(model *EngineModel) prefillSpeed {
	prior := fitVector{model.FirstTokenMs + model.StepMs, 1e3 / model.TokensPerMs, model.MsPerMillionPairs}
	return prefillSpeed{prior: prior, coefficients: prior}
}

// prefillMs is the time to prefill the uncached end of a prompt, and firstTokenMs the time to the first event at an
// idle engine.
func (s *prefillSpeed) prefillMs(total, uncached int) float64 {
	terms := prefillTerms(total, uncached)
	terms[0] = 0
	return s.coefficients.dot(terms)
}

func (s *prefillSpeed) firstTokenMs(total, uncached int) float64 {
	return s.coefficients.dot(prefillTerms(total, uncached))
}

// tokensPerMs is the prefill rate in prompt tokens per millisecond, without the time for token pairs.
func (s *prefillSpeed) tokensPerMs() float64 { return 1e3 / s.coefficients[1] }

// decay reduces the weight of this relay's answers to now.
func (s *prefillSpeed) decay(now time.Time) {
	if !s.ownAt.IsZero() {
		s.own.scale(math.Exp2(-now.Sub(s.ownAt).Seconds() / fitHalfLife.Seconds()))
	}
	s.ownAt = now
}

// learn adds a sample: an answer took tookMs, without the network round trip and the wait before its prefill.
func (s *prefillSpeed) learn(now time.Time, total, uncached int, tookMs float64) {
	s.decay(now)
	terms := prefillTerms(total, uncached)
	expected := math.Max(minExpectedMs, s.coefficients.dot(terms))
	weight := 1 / (expected * math.Max(minExpectedMs, tookMs))
	if tookMs > expected {
		weight *= lateAnswerWeight
		tookMs = math.Min(tookMs, outlierFactor*expected)
	}
	s.own.addAnswer(terms, math.Max(0, tookMs), weight)
	s.fit()
}

// setOthers sets the sums of the other relays' answers.
func (s *prefillSpeed) setOthers(sums *fitSums) {
	s.others = *sums
	s.fit()
}

// fit solves the normal equations. The prior counts like priorWeight answers.
func (s *prefillSpeed) fit() {
	sums := s.own
	sums.add(&s.others)
	for term := range fitTerms {
		weight := priorWeight / (s.prior[term] * s.prior[term]) / fitTerms
		sums.squares[term][term] += weight
		sums.results[term] += weight * s.prior[term]
	}
	solved, ok := solve(sums.squares, sums.results)
	if !ok {
		return
	}
	for term := range solved {
		s.coefficients[term] = math.Min(math.Max(solved[term], s.prior[term]/maxSpeedup), s.prior[term]*maxSlowdown)
	}
}

// solve returns x with a·x = b by Gaussian elimination with pivoting; false if a is singular.
func solve(a [fitTerms][fitTerms]float64, b fitVector) (fitVector, bool) {
	for column := range fitTerms {
		pivot := column
		for row := column + 1; row < fitTerms; row++ {
			if math.Abs(a[row][column]) > math.Abs(a[pivot][column]) {
				pivot = row
			}
		}
		if a[pivot][column] == 0 {
			return fitVector{}, false
		}
		a[column], a[pivot] = a[pivot], a[column]
		b[column], b[pivot] = b[pivot], b[column]
		for row := range fitTerms {
			if row == column {
				continue
			}
			factor := a[row][column] / a[column][column]
			for at := column; at < fitTerms; at++ {
				a[row][at] -= factor * a[column][at]
			}
			b[row] -= factor * b[column]
		}
	}
	for row := range fitTerms {
		b[row] /= a[row][row]
	}
	return b, true
}

// Speed is the learned speed of a service's engines.
type Speed struct {
	Service     string
	TokensPerMs float64
	Answers     float64 // number of answers to all relays that it is based on, decayed
}

// Speeds returns the speed of each service's engines, in order of the services' names.
func (s *Selector) Speeds() []Speed {
	var speeds []Speed
	for _, service := range s.sortedServices() {
		if service.engine() != nil {
			speed := &service.speed
			speeds = append(speeds, Speed{service.name, speed.tokensPerMs(), speed.own.answers + speed.others.answers})
		}
	}
	return speeds
}
