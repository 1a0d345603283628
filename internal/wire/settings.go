package wire

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"wallflow/policy"
)

// settingValues are the path=value pairs of a CONFIGURE line, and the first error in them.
type settingValues struct {
	values map[string]string
	err    error
}

// parseSettings parses the pairs of a CONFIGURE line; "-" as a value means that the setting is absent.
func parseSettings(text string) (policy.Settings, *reportSchema, error) {
	p := &settingValues{values: map[string]string{}}
	for _, f := range strings.Fields(text) {
		k, v, ok := strings.Cut(f, "=")
		if !ok {
			return policy.Settings{}, nil, fmt.Errorf("bad setting %q", truncate(f))
		}
		if v != "-" {
			p.values[k] = v
		}
	}
	cfg, err := Settings(p.values)
	return cfg, p.schema(), err
}

// Settings converts settings, by their paths, to those of package policy. The relay's JSON configuration has the same
// settings and uses this function too, so that each is interpreted in one place.
func Settings(values map[string]string) (policy.Settings, error) {
	p := &settingValues{values: values}
	cfg := policy.Settings{
		Senders:        p.integer("fleet_size"),
		Slots:          p.integer("extra.call_slots"),
		MaxHeld:        p.integer("bounds.open_cap"),
		MaxAttempts:    p.integer("bounds.send_cap"),
		RoughWeights:   p.values["weight_kind"] == "rough",
		NoWeights:      p.values["weight_kind"] == "none",
		AskList:        p.values["membership_mode"] == "ask",
		ColdShare:      p.number("rules.cold_from"),
		WarmWithin:     p.ms("rules.warm_within_ms"),
		OverloadFactor: p.number("rules.overload_factor"),
		OverloadWindow: p.ms("rules.fall_ms"),
		OrderPause:     p.ms("rules.order_pause_ms"),
	}
	if p.boolean("bounds.retry_after") {
		cfg.MaxRetryAfter = p.ms("bounds.max_retry_after_ms")
	}
	for _, x := range p.list("extra.carriage") {
		cfg.ZoneFees = append(cfg.ZoneFees, p.parse("extra.carriage", x))
	}
	for i := range p.count("services") {
		cfg.Classes = append(cfg.Classes, p.class(fmt.Sprintf("services.%d.", i)))
	}
	for i := range p.count("realms") {
		cfg.Customers = append(cfg.Customers, policy.Customer{
			Name:  p.values[fmt.Sprintf("realms.%d.name", i)],
			Quota: p.number(fmt.Sprintf("realms.%d.quota_per_s", i)),
		})
	}
	perCall, separate := p.list("extra.per_call"), p.list("extra.separate_routes")
	for i := range max(len(p.list("kinds")), len(perCall), len(separate)) {
		k := policy.Kind{PerCall: 1}
		if i < len(perCall) {
			k.PerCall = int(p.parse("extra.per_call", perCall[i]))
		}
		if i < len(separate) {
			k.Separate = separate[i] == "true"
		}
		cfg.Kinds = append(cfg.Kinds, k)
	}
	return cfg, p.err
}

// class converts the settings of one service, whose paths begin with prefix.
func (p *settingValues) class(prefix string) policy.Class {
	c := policy.Class{
		GroupAll:    p.values[prefix+"group"] == "all",
		DedupWindow: p.ms(prefix + "repeat_window_ms"),
		Ordered:     p.boolean(prefix + "by_arrival"),
		Aim:         p.ms(prefix + "goal_time_ms"),
		GiveUp:      p.ms(prefix + "give_up_ms"),
		Value:       1,
	}
	if _, ok := p.values[prefix+"value"]; ok {
		c.Value = p.number(prefix + "value")
	}
	switch p.values[prefix+"semantics"] {
	case "read_like":
		c.Effect = policy.Safe
	case "idempotency_key":
		c.Effect = policy.Keyed
	default: // not known to tolerate a repeat
		c.Effect = policy.Unsafe
	}
	return c
}

// schema finds which reported values describe a limit.
func (p *settingValues) schema() *reportSchema {
	sc := &reportSchema{}
	for _, name := range p.list("stats.fields") {
		switch name {
		case "x0":
			sc.remaining = name
		case "x1":
			sc.limit = name
		}
	}
	return sc
}

// parse converts a value to a number and keeps the first error.
func (p *settingValues) parse(key, value string) float64 {
	x, err := strconv.ParseFloat(value, 64)
	if err != nil && p.err == nil {
		p.err = fmt.Errorf("bad setting %s: %q is no number", key, truncate(value))
	}
	return x
}

// number is a count, a rate, a ratio or a time; none of them may be negative.
func (p *settingValues) number(key string) float64 {
	v, ok := p.values[key]
	if !ok {
		return 0
	}
	x := p.parse(key, v)
	if !(x >= 0 && x <= math.MaxInt64/1e6) && p.err == nil {
		p.err = fmt.Errorf("bad setting %s: %s is no number from 0 on", key, truncate(v))
	}
	return x
}

func (p *settingValues) integer(key string) int { return int(p.number(key)) }

// count is the length of a list of settings, at most 1000.
func (p *settingValues) count(path string) int { return min(1000, p.integer(path+".count")) }

func (p *settingValues) ms(key string) time.Duration {
	return time.Duration(p.number(key)*1000) * time.Microsecond
}

func (p *settingValues) boolean(key string) bool {
	return p.values[key] == "true" || p.values[key] == "1"
}

// list splits a value at its commas.
func (p *settingValues) list(key string) []string {
	if p.values[key] == "" {
		return nil
	}
	return strings.Split(p.values[key], ",")
}
