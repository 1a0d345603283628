package experiment

import "github.com/gravitational/trace"

// Play plays one way of choosing from beginning to end.
func Play(name string, options Options) (Figures, error) {
	if err := options.Check(); err != nil {
		return Figures{}, trace.Wrap(err)
	}
	choose, err := policyNamed(name)
	if err != nil {
		return Figures{}, trace.Wrap(err)
	}
	options.Engine = options.Engine.WithDefaults()
	w := newWorld(&options, choose)
	w.play()
	return w.figures.figures(name, w.engines), nil
}
