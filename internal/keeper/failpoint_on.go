//go:build failpoints

package keeper

// Overgranting is a configuration whose keeper gives one line more than there is, for tests of what is seen of that.
func (c Config) Overgranting() Config {
	c.doctor.overGrant = true
	return c
}
