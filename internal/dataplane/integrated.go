package dataplane

const (
	// zoneFullUtilization is the utilization of the own zone's targets above which other
	// zones are considered: all slots are taken. It applies where bytes between zones
	// are expensive and targets declare their slots.
	zoneFullUtilization = 1
	// zoneGap is how much lower another zone's target's utilization must be then.
	zoneGap = 0.5
	// reservedFraction of each class's requests is refused last, so that the least
	// important class keeps a part.
	reservedFraction = 0.125
	// reservedShare of a target's slots is kept for classes of little demand that the
	// fraction above and more important classes would displace: refusing them frees
	// hardly anything.
	reservedShare = 0.2
	// limitHeadroom keeps targets below 95% of their slots, above which some slow down.
	limitHeadroom = 0.06
)

// EnableWaiting lets root requests wait for their start, within a part of the memory limit
// of the process in bytes, and sets the gate and the levels up for requests that are paced.
// Without a memory limit it has no effect.
func (c *Config) EnableWaiting(memory int64) {
	c.Waiting.SetBounds(memory, c.MaxCalls)
	if c.Waiting.MaxWaiting > 0 {
		c.Gate, c.Early = c.Gate.WithPacing(), c.Early.WithPacing()
	}
}

// IntegratedConfig returns the defaults for nodes with an integration, whose targets
// declare their slots and whose retries are bounded over the fleet by what reaches
// targets. The integration sets Dialect and the retry budget.
func IntegratedConfig() Config {
	cfg := DefaultConfig()
	cfg.Gate.Limit.InitialFraction = 1
	cfg.Gate.Limit.Headroom = limitHeadroom
	cfg.Route.MinHotLoad, cfg.Route.ZoneGap = zoneFullUtilization, zoneGap
	cfg.AssuredFraction, cfg.Gate.ReservedShare = reservedFraction, reservedShare
	cfg.Retry.CallRatio, cfg.Retry.FreeRefusals = 0, true
	return cfg
}
