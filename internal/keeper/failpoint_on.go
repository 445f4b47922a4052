//go:build failpoints

package keeper

// Overgranting returns a configuration whose owner grants one line more than exists, for tests of how that is
// detected.
func (c Config) Overgranting() Config {
	c.disabled.overGrant = true
	return c
}
