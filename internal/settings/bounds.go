package settings

import "time"

// Bounds holds the limits that the rules in force define. A limit may be missing from the file if its rule is not in force; it then
// has a default. Fields with names that end in Ms hold milliseconds, those in S hold seconds; both may be fractions.
type Bounds struct {
	SeedLagS        float64 // maximum age of the operator's list of control addresses
	ReuseAfterS     float64 // time after which the address of an ended endpoint may be given to another
	ContactMs       float64 // how long a machine must have been undisturbed to count as connected
	AckMs           float64 // time within which an operator's command has to be acknowledged
	SyncS           float64 // time after its return during which a machine still counts as lost
	DrainMs         float64 // time after which no request may reach a draining endpoint
	GraceS          float64 // time between SIGTERM and SIGKILL
	LossSlackMs     float64 // time after the last byte of a request during which its connection may still be closed
	ConfigApplyMs   float64 // time within which a new configuration has to be applied
	RollbackSlackMs float64 // time after the first effect of a version during which an older one may still be in use
	MaxSkewMs       float64 // time by which the other limits are extended while the control plane is unstable
	RetryRatio      float64 // retries allowed per request within the window
	RetryWindowS    float64 // length of the window
	RetrySlack      float64 // retries allowed per window beyond the ratio
	WarmupOvershoot float64 // requests allowed to a cold endpoint, as a multiple of its limit
	WarmupSlack     float64 // requests per second allowed to a cold endpoint beyond that
	EvacMs          float64 // time after which no request may reach an evacuated zone
	RecoveryS       float64 // time within which a system that was down has to serve again
	PassMs          float64 // time within which an event of a stream has to be forwarded
	AgainS          float64 // time within which prefilling the same prompt part again has a cost
	TTLMaxS         float64 // maximum time for which an answer of the directory may be cached
}

// defaultBounds returns the values of missing limits.
func defaultBounds() Bounds {
	return Bounds{
		SeedLagS:        3,
		ReuseAfterS:     2,
		ContactMs:       5000,
		AckMs:           6000,
		SyncS:           6,
		DrainMs:         5000,
		GraceS:          10,
		LossSlackMs:     200,
		ConfigApplyMs:   5000,
		RollbackSlackMs: 250,
		MaxSkewMs:       8000,
		RetryRatio:      0.2,
		RetryWindowS:    10,
		RetrySlack:      50,
		WarmupOvershoot: 1.5,
		WarmupSlack:     5,
		EvacMs:          5000,
		RecoveryS:       15,
		PassMs:          600,
		AgainS:          10,
		TTLMaxS:         5,
	}
}

// SeedLag returns the maximum age of the operator's list of control addresses.
func (b Bounds) SeedLag() time.Duration { return seconds(b.SeedLagS) }

// ReuseAfter returns the time after which the address of an ended endpoint may be given to another.
func (b Bounds) ReuseAfter() time.Duration { return seconds(b.ReuseAfterS) }

// Contact returns how long a machine must have been undisturbed to count as connected.
func (b Bounds) Contact() time.Duration { return milliseconds(b.ContactMs) }

// Ack returns the time within which an operator's command has to be acknowledged.
func (b Bounds) Ack() time.Duration { return milliseconds(b.AckMs) }

// Sync returns the time after its return during which a machine still counts as lost.
func (b Bounds) Sync() time.Duration { return seconds(b.SyncS) }

// Drain returns the time after which no request may reach a draining endpoint.
func (b Bounds) Drain() time.Duration { return milliseconds(b.DrainMs) }

// Grace returns the time between SIGTERM and SIGKILL.
func (b Bounds) Grace() time.Duration { return seconds(b.GraceS) }

// LossSlack returns the time after the last byte of a request during which its connection may still be closed.
func (b Bounds) LossSlack() time.Duration { return milliseconds(b.LossSlackMs) }

// ConfigApply returns the time within which a new configuration has to be applied.
func (b Bounds) ConfigApply() time.Duration { return milliseconds(b.ConfigApplyMs) }

// RollbackSlack returns the time after the first effect of a version during which an older one may still be in use.
func (b Bounds) RollbackSlack() time.Duration { return milliseconds(b.RollbackSlackMs) }

// MaxSkew returns the time by which the other limits are extended while the control plane is unstable.
func (b Bounds) MaxSkew() time.Duration { return milliseconds(b.MaxSkewMs) }

// RetryWindow returns the window over which retries are counted.
func (b Bounds) RetryWindow() time.Duration { return seconds(b.RetryWindowS) }

// Evac returns the time after which no request may reach an evacuated zone.
func (b Bounds) Evac() time.Duration { return milliseconds(b.EvacMs) }

// Recovery returns the time within which a system that was down has to serve again.
func (b Bounds) Recovery() time.Duration { return seconds(b.RecoveryS) }

// Pass returns the time within which an event of a stream has to be forwarded.
func (b Bounds) Pass() time.Duration { return milliseconds(b.PassMs) }

// Again returns the time within which prefilling the same prompt part again has a cost.
func (b Bounds) Again() time.Duration { return seconds(b.AgainS) }

// TTLMax returns the maximum time for which an answer of the directory may be cached.
func (b Bounds) TTLMax() time.Duration { return seconds(b.TTLMaxS) }

// Heartbeat returns the interval between heartbeats of an endpoint.
func (s *Settings) Heartbeat() time.Duration { return milliseconds(s.HeartbeatMs) }

func seconds(value float64) time.Duration {
	return time.Duration(value * float64(time.Second))
}

func milliseconds(value float64) time.Duration {
	return time.Duration(value * float64(time.Millisecond))
}

// readBounds reads the limits from the table "bounds".
func readBounds(bounds table) Bounds {
	defaults := defaultBounds()
	return Bounds{
		SeedLagS:        bounds.nonNegative("seedLagS", defaults.SeedLagS),
		ReuseAfterS:     bounds.nonNegative("reuseAfterS", defaults.ReuseAfterS),
		ContactMs:       bounds.positive("contactMs", defaults.ContactMs),
		AckMs:           bounds.positive("ackMs", defaults.AckMs),
		SyncS:           bounds.nonNegative("syncS", defaults.SyncS),
		DrainMs:         bounds.positive("drainMs", defaults.DrainMs),
		GraceS:          bounds.positive("graceS", defaults.GraceS),
		LossSlackMs:     bounds.nonNegative("lossSlackMs", defaults.LossSlackMs),
		ConfigApplyMs:   bounds.positive("configApplyMs", defaults.ConfigApplyMs),
		RollbackSlackMs: bounds.nonNegative("rollbackSlackMs", defaults.RollbackSlackMs),
		MaxSkewMs:       bounds.nonNegative("maxSkewMs", defaults.MaxSkewMs),
		RetryRatio:      bounds.nonNegative("retryRatio", defaults.RetryRatio),
		RetryWindowS:    bounds.positive("retryWindowS", defaults.RetryWindowS),
		RetrySlack:      bounds.nonNegative("retrySlack", defaults.RetrySlack),
		WarmupOvershoot: bounds.nonNegative("warmupOvershoot", defaults.WarmupOvershoot),
		WarmupSlack:     bounds.nonNegative("warmupSlack", defaults.WarmupSlack),
		EvacMs:          bounds.positive("evacMs", defaults.EvacMs),
		RecoveryS:       bounds.positive("recoveryS", defaults.RecoveryS),
		PassMs:          bounds.positive("pass_ms", defaults.PassMs),
		AgainS:          bounds.nonNegative("again_s", defaults.AgainS),
		TTLMaxS:         bounds.positive("ttl_max_s", defaults.TTLMaxS),
	}
}
