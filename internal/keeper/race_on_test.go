//go:build race

package keeper

const raceEnabled = true
