// Package daydraw draws days of trouble for a deployment, to be played by a bench: faults of every kind and variant, several at once and
// repeated, planned work beside them, and each way in which a day may end. Equal seeds give equal days.
package daydraw

import (
	"bytes"
	"fmt"

	"github.com/pelletier/go-toml/v2"
)

// Site is what drawing needs to know of a deployment. Its file may hold more.
type Site struct {
	Name     string    `toml:"name"`
	LengthS  float64   `toml:"length_s"`
	Zones    []Zone    `toml:"zones"`
	Services []Named   `toml:"services"`
	Classes  []Named   `toml:"classes"`
	Machines []Machine `toml:"machines"`
}

// Zone is a zone and its region.
type Zone struct {
	Name   string `toml:"name"`
	Region string `toml:"region"`
}

// Named is an item of which the name alone counts.
type Named struct {
	Name string `toml:"name"`
}

// Machine is a group of like machines in a zone.
type Machine struct {
	Class string `toml:"class"`
	Zone  string `toml:"zone"`
	Count int    `toml:"count"`
}

// SiteError tells that a site file can't be drawn for.
type SiteError struct{ Reason string }

// Error names the reason.
func (e *SiteError) Error() string { return "daydraw: site file: " + e.Reason }

// ReadSite reads the text of a site file.
func ReadSite(text []byte) (*Site, error) {
	site := new(Site)
	if err := toml.NewDecoder(bytes.NewReader(text)).Decode(site); err != nil {
		return nil, &SiteError{Reason: err.Error()}
	}
	switch {
	case len(site.Zones) == 0:
		return nil, &SiteError{Reason: "no zones"}
	case len(site.Services) == 0 || len(site.Classes) == 0:
		return nil, &SiteError{Reason: "no services or classes"}
	case site.LengthS < shortestDay:
		return nil, &SiteError{Reason: fmt.Sprintf("a day of %v s is too short: %v s at least", site.LengthS, shortestDay)}
	}
	return site, nil
}

// shortestDay is the least length of a day in seconds.
const shortestDay = 20.0
