package keeper

// Without switches a safeguard off, for tests that show what it guards against.
func (c Config) Without(guard string) Config {
	switch guard {
	case "stop":
		c.doctor.noStop = true
	case "fence":
		c.doctor.noFence = true
	case "old":
		c.doctor.forgetOld = true
	case "hysteresis":
		c.doctor.noHysteresis = true
	case "witness":
		c.doctor.oneWitness = true
	case "share":
		c.doctor.noShare = true
	case "expiry":
		c.doctor.noExpiry = true
	case "suspect":
		c.doctor.pickSuspect = true
	case "":
	default:
		panic(guard)
	}
	return c
}
