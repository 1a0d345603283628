package relay

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"slices"

	"wallflow/internal/wal"
	"wallflow/policy"
)

// class is a message class that clients can name, with the terms under which its messages are accepted.
type class struct {
	name        string
	terms       policy.Class
	termsNumber uint32 // number of the terms in the write-ahead log
	counters    *classCounters
}

// clientNames holds the classes and customers that a submission may name. It is replaced as a whole.
type clientNames struct {
	classes   map[string]*class
	customers []string // empty: messages carry no customer
}

// reconfigured is the loop event for a new configuration that was checked.
type reconfigured struct{ cfg Config }

// installClasses puts the classes and customers of a configuration in force, and adds the classes' terms to the log.
func (r *Relay) installClasses(cfg Config) error {
	n := &clientNames{classes: map[string]*class{}, customers: cfg.Customers}
	var terms []wal.Terms
	for i, name := range cfg.Classes {
		c := &class{name: name, terms: cfg.Settings.Classes[i], counters: r.metrics.forClass(name)}
		if c.terms.Attempts == 0 {
			c.terms.Attempts = cfg.Settings.MaxAttempts
		}
		rules, err := json.Marshal(c.terms)
		if err != nil {
			return fmt.Errorf("terms of class %q: %w", name, err)
		}
		n.classes[name] = c
		terms = append(terms, wal.Terms{Name: name, Rules: rules})
	}
	for i, number := range r.wal.SetTerms(terms) {
		n.classes[cfg.Classes[i]].termsNumber = number
	}
	r.names.Store(n)
	return nil
}

// classOfRecovered returns the class of a message that a previous process accepted, with the terms under which it did so;
// nil if they are lost.
func (r *Relay) classOfRecovered(m *wal.Message) *class {
	t, ok := r.wal.TermsOf(m)
	if !ok {
		// Logs of older versions contain no terms: use those of the current configuration, by the index of the class.
		if m.Class < 0 || m.Class >= len(r.cfg.Classes) {
			return nil
		}
		c := r.names.Load().classes[r.cfg.Classes[m.Class]]
		m.Terms = c.termsNumber
		return c
	}
	c := &class{name: t.Name, termsNumber: m.Terms, counters: r.metrics.forClass(t.Name)}
	if err := json.Unmarshal(t.Rules, &c.terms); err != nil {
		r.log.Warn("unreadable terms in the write-ahead log", "class", t.Name, "err", err)
		return nil
	}
	return c
}

// currentClass returns the class of a submission with its current terms, which may have changed since the request was
// read. It returns nil if the class no longer exists.
func (r *Relay) currentClass(c *class) *class {
	if c == nil {
		return nil
	}
	return r.names.Load().classes[c.name]
}

// Reload reads the configuration again and applies it, or rejects it as a whole. It must not be called concurrently.
func (r *Relay) Reload(getenv func(string) string) {
	cfg, err := LoadConfig(getenv)
	if err == nil {
		err = cfg.checkReplacement(r.inForce)
	}
	if err != nil {
		r.metrics.rejected.Add(1)
		r.log.Warn("configuration rejected", "err", err)
		return
	}
	r.inForce = cfg
	r.Reconfigure(cfg)
}

// reconfigure puts a checked configuration in force and returns the event for the decision module, or nil if the
// configuration does not fit the fleet policy in force.
func (r *Relay) reconfigure(cfg Config) []policy.Event {
	base := cfg
	cfg, err := cfg.withPolicy(r.policyDocument)
	if err != nil {
		r.metrics.rejected.Add(1)
		r.log.Warn("configuration rejected: it does not fit the fleet policy in force", "policy", r.policyNumber, "err", err)
		return nil
	}
	r.baseConfig = base
	if err := r.installClasses(cfg); err != nil { // cannot happen: terms are plain values
		r.metrics.rejected.Add(1)
		r.log.Error("configuration rejected", "err", err)
		return nil
	}
	r.cfg.Settings, r.cfg.Classes, r.cfg.Customers = cfg.Settings, cfg.Classes, cfg.Customers
	r.cfg.Zones, r.cfg.Kinds, r.cfg.Tick, r.cfg.MayDuplicate = cfg.Zones, cfg.Kinds, cfg.Tick, cfg.MayDuplicate
	r.metrics.applied.Add(1)
	r.log.Info("configuration applied", "classes", cfg.Classes, "attempts", cfg.Settings.MaxAttempts)
	if r.fleet != nil {
		r.fleet.setBaseConfig(base)
	}
	return []policy.Event{{Kind: policy.Configured, Settings: &r.cfg.Settings}}
}

// checkReplacement checks that a configuration may replace the one in force.
func (c *Config) checkReplacement(old Config) error {
	if err := c.checkComplete(); err != nil {
		return err
	}
	if err := checkKeys("", old.raw, c.raw); err != nil {
		return err
	}
	switch {
	case len(c.Classes) != len(c.Settings.Classes):
		return errors.New("settings.services: too many")
	case !hasPrefix(c.Zones, old.Zones) || !hasPrefix(c.Kinds, old.Kinds):
		return errors.New("settings: existing zones or kinds have changed: that needs a new process")
	}
	return c.Settings.Check()
}

// hasPrefix reports whether a list begins with all of another.
func hasPrefix(list, prefix []string) bool {
	return len(list) >= len(prefix) && slices.Equal(list[:len(prefix)], prefix)
}

// checkComplete checks the settings that every configuration must have.
func (c *Config) checkComplete() error {
	settings, _ := c.raw["settings"].(map[string]any)
	bounds, _ := settings["bounds"].(map[string]any)
	services, _ := settings["services"].([]any)
	if len(services) == 0 {
		return errors.New("settings.services: missing")
	}
	if err := checkPositive("settings.bounds", bounds, "send_cap"); err != nil {
		return err
	}
	seen := map[string]bool{}
	for i, x := range services {
		at := fmt.Sprintf("settings.services[%d]", i)
		service, _ := x.(map[string]any)
		name, _ := service["name"].(string)
		if _, ok := service["semantics"].(string); name == "" || !ok {
			return fmt.Errorf("%s: no name or semantics", at)
		}
		if seen[name] {
			return fmt.Errorf("%s: %q is listed more than once", at, name)
		}
		seen[name] = true
		if err := checkPositive(at, service, "give_up_ms", "goal_time_ms"); err != nil {
			return err
		}
	}
	return nil
}

// checkPositive checks that the values of the keys are numbers above 0.
func checkPositive(path string, object map[string]any, keys ...string) error {
	for _, key := range keys {
		x, ok := object[key].(float64)
		if !ok || !(x > 0) || math.IsInf(x, 0) {
			return fmt.Errorf("%s.%s: %v is not a number above 0", path, key, object[key])
		}
	}
	return nil
}

// checkKeys checks that a new configuration has all keys of the one in force. An object in a list must have the keys that
// all objects of the list in force have. The contents of "known", the initial host list, may differ.
func checkKeys(prefix string, oldValue, newValue any) error {
	switch oldValue := oldValue.(type) {
	case map[string]any:
		newValue, ok := newValue.(map[string]any)
		if !ok {
			return fmt.Errorf("%s: missing, or not an object", prefix)
		}
		for key, x := range oldValue {
			path := key
			if prefix != "" {
				path = prefix + "." + key
			}
			y, ok := newValue[key]
			if !ok {
				return fmt.Errorf("%s: missing", path)
			}
			if path == "known" {
				continue
			}
			if err := checkKeys(path, x, y); err != nil {
				return err
			}
		}
	case []any:
		newValue, ok := newValue.([]any)
		if !ok {
			return fmt.Errorf("%s: missing, or not a list", prefix)
		}
		common := commonKeys(oldValue)
		for i, y := range newValue {
			if err := checkKeys(fmt.Sprintf("%s[%d]", prefix, i), common, y); len(common) > 0 && err != nil {
				return err
			}
		}
	}
	return nil
}

// commonKeys returns the keys that all objects of a list have, or none if it is not a list of objects.
func commonKeys(list []any) map[string]any {
	var common map[string]any
	for _, x := range list {
		object, ok := x.(map[string]any)
		if !ok {
			return nil
		}
		if common == nil {
			common = map[string]any{}
			for key := range object {
				common[key] = nil
			}
		}
		for key := range common {
			if _, ok := object[key]; !ok {
				delete(common, key)
			}
		}
	}
	return common
}
