package selector

const (
	plainDurationMs = 30.0
	usualWeight     = 0.05
)

// usual is how long the requests of a service usually take at an endpoint that is not overloaded.
type usual struct {
	durationMs float64
}

func (u *usual) duration(otherwise float64) float64 {
	if u.durationMs == 0 {
		return otherwise
	}
	return u.durationMs
}

func (u *usual) learn(durationMs float64) {
	if u.durationMs == 0 {
		u.durationMs = durationMs
		return
	}
	u.durationMs += usualWeight * (durationMs - u.durationMs)
}
