package keeper

// Without switches a safeguard off, for tests that show what it guards against.
func (c Config) Without(safeguard string) Config {
	switch safeguard {
	case "lease-limit":
		c.disabled.noLeaseLimit = true
	case "fence":
		c.disabled.noFencing = true
	case "previous-holders":
		c.disabled.forgetPreviousHolders = true
	case "hysteresis":
		c.disabled.noHysteresis = true
	case "reporters":
		c.disabled.singleReporter = true
	case "share":
		c.disabled.noFallbackLimit = true
	case "expiry":
		c.disabled.noPermitExpiry = true
	case "suspect":
		c.disabled.allowSuspects = true
	case "":
	default:
		panic(safeguard)
	}
	return c
}
