package settings

import "time"

// Bounds are the figures of the rules in force. A figure whose rule is not in force may be missing from the file, and has a default
// then. Fields whose names end in Ms hold milliseconds, those in S seconds; both may be fractions.
type Bounds struct {
	SeedLagS        float64 // how old the operator's list of control addresses may be
	ReuseAfterS     float64 // after which an address may go to another endpoint
	ContactMs       float64 // how long a machine must have been undisturbed to be in touch
	AckMs           float64 // inside which an order wants its acknowledgement
	SyncS           float64 // how long a machine counts as lost after its return
	DrainMs         float64 // after which nothing may reach a draining endpoint
	GraceS          float64 // between SIGTERM and SIGKILL
	LossSlackMs     float64 // after a request's last byte, in which its connection may still be closed
	ConfigApplyMs   float64 // inside which a configuration has to be in force
	RollbackSlackMs float64
	MaxSkewMs       float64 // by which an unstable core stretches the bounds
	RetryRatio      float64 // repeats for each request of the window
	RetryWindowS    float64
	RetrySlack      float64 // repeats beyond the ratio in a window
	WarmupOvershoot float64 // requests to a cold endpoint, as a multiple of its bound
	WarmupSlack     float64 // requests to a cold endpoint beyond that, in a second
	EvacMs          float64 // after which nothing may reach an evacuated zone
	RecoveryS       float64 // inside which a system that went down has to serve again
	PassMs          float64 // inside which an event of a stream has to be passed on
	AgainS          float64 // for which a prompt part is priced when it is read again
	TTLMaxS         float64 // for which an answer of the directory may be held at most
}

// defaultBounds are used for the figures that a file leaves out.
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

// SeedLag is how old the operator's list of control addresses may be.
func (b Bounds) SeedLag() time.Duration { return seconds(b.SeedLagS) }

// ReuseAfter is the time after which the address of an endpoint that ended may go to another.
func (b Bounds) ReuseAfter() time.Duration { return seconds(b.ReuseAfterS) }

// Contact is how long a machine must have been undisturbed to be in touch.
func (b Bounds) Contact() time.Duration { return milliseconds(b.ContactMs) }

// Ack is the time inside which an order wants its acknowledgement.
func (b Bounds) Ack() time.Duration { return milliseconds(b.AckMs) }

// Sync is how long a machine counts as lost after its return.
func (b Bounds) Sync() time.Duration { return seconds(b.SyncS) }

// Drain is the time after which nothing may reach a draining endpoint.
func (b Bounds) Drain() time.Duration { return milliseconds(b.DrainMs) }

// Grace is the time between SIGTERM and SIGKILL.
func (b Bounds) Grace() time.Duration { return seconds(b.GraceS) }

// LossSlack is the time after a request's last byte in which its connection may still be closed.
func (b Bounds) LossSlack() time.Duration { return milliseconds(b.LossSlackMs) }

// ConfigApply is the time inside which a configuration has to be in force.
func (b Bounds) ConfigApply() time.Duration { return milliseconds(b.ConfigApplyMs) }

// RollbackSlack is the time after the first effect of a version in which an older one may still be followed.
func (b Bounds) RollbackSlack() time.Duration { return milliseconds(b.RollbackSlackMs) }

// MaxSkew is the time by which an unstable core stretches the bounds.
func (b Bounds) MaxSkew() time.Duration { return milliseconds(b.MaxSkewMs) }

// RetryWindow is the span over which repeats are counted.
func (b Bounds) RetryWindow() time.Duration { return seconds(b.RetryWindowS) }

// Evac is the time after which nothing may reach an evacuated zone.
func (b Bounds) Evac() time.Duration { return milliseconds(b.EvacMs) }

// Recovery is the time inside which a system that went down has to serve again.
func (b Bounds) Recovery() time.Duration { return seconds(b.RecoveryS) }

// Pass is the time inside which an event of a stream has to be passed on.
func (b Bounds) Pass() time.Duration { return milliseconds(b.PassMs) }

// Again is the time for which a prompt part is priced when it is read again.
func (b Bounds) Again() time.Duration { return seconds(b.AgainS) }

// TTLMax is the time for which an answer of the directory may be held at most.
func (b Bounds) TTLMax() time.Duration { return seconds(b.TTLMaxS) }

// Heartbeat is how often an endpoint sends a heartbeat.
func (s *Settings) Heartbeat() time.Duration { return milliseconds(s.HeartbeatMs) }

func seconds(value float64) time.Duration {
	return time.Duration(value * float64(time.Second))
}

func milliseconds(value float64) time.Duration {
	return time.Duration(value * float64(time.Millisecond))
}

func readBounds(bounds table) Bounds {
	byDefault := defaultBounds()
	return Bounds{
		SeedLagS:        bounds.amount("seedLagS", byDefault.SeedLagS),
		ReuseAfterS:     bounds.amount("reuseAfterS", byDefault.ReuseAfterS),
		ContactMs:       bounds.positive("contactMs", byDefault.ContactMs),
		AckMs:           bounds.positive("ackMs", byDefault.AckMs),
		SyncS:           bounds.amount("syncS", byDefault.SyncS),
		DrainMs:         bounds.positive("drainMs", byDefault.DrainMs),
		GraceS:          bounds.positive("graceS", byDefault.GraceS),
		LossSlackMs:     bounds.amount("lossSlackMs", byDefault.LossSlackMs),
		ConfigApplyMs:   bounds.positive("configApplyMs", byDefault.ConfigApplyMs),
		RollbackSlackMs: bounds.amount("rollbackSlackMs", byDefault.RollbackSlackMs),
		MaxSkewMs:       bounds.amount("maxSkewMs", byDefault.MaxSkewMs),
		RetryRatio:      bounds.amount("retryRatio", byDefault.RetryRatio),
		RetryWindowS:    bounds.positive("retryWindowS", byDefault.RetryWindowS),
		RetrySlack:      bounds.amount("retrySlack", byDefault.RetrySlack),
		WarmupOvershoot: bounds.amount("warmupOvershoot", byDefault.WarmupOvershoot),
		WarmupSlack:     bounds.amount("warmupSlack", byDefault.WarmupSlack),
		EvacMs:          bounds.positive("evacMs", byDefault.EvacMs),
		RecoveryS:       bounds.positive("recoveryS", byDefault.RecoveryS),
		PassMs:          bounds.positive("pass_ms", byDefault.PassMs),
		AgainS:          bounds.amount("again_s", byDefault.AgainS),
		TTLMaxS:         bounds.positive("ttl_max_s", byDefault.TTLMaxS),
	}
}
