package guard

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Checks the guard against random sequences of events. As long as it is not told to stop and no process ended
// cleanly, a guard without a running process has a start scheduled, no sooner than InitialRestartDelay and no
// later than MaxRestartDelay. It never starts a process beside a running one, and never starts one after it was
// told to stop.
func TestOneProcessServes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now, alive, startAt := int64(0), 1, int64(-1)
		g := New(now)
		check := func(s Step) bool {
			if s.ScheduleStart {
				require.Zero(t, alive, "a process is started beside a running one")
				require.False(t, g.stopping)
				require.GreaterOrEqual(t, s.StartAt, now+InitialRestartDelay)
				require.LessOrEqual(t, s.StartAt, now+MaxRestartDelay)
				startAt = s.StartAt
			}
			if s.Exit {
				require.Zero(t, alive, "the guard exits while a process is running")
			}
			return s.Exit
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += rapid.Int64Range(1, 2*MinStableUptime).Draw(t, "wait")
			if startAt >= 0 && now >= startAt {
				startAt = -1
				started := rapid.Bool().Draw(t, "starts")
				if started {
					alive++
				}
				if check(g.Started(now, started)) {
					return
				}
			}
			switch event := rapid.SampledFrom([]string{"dies", "dies", "ends", "hands over", "stop"}).Draw(t, "what"); {
			case event == "hands over" && alive == 1:
				alive = 2
			case event == "stop":
				startAt = -1
				if check(g.Stop(alive > 0)) {
					return
				}
			case alive > 0 && (event == "dies" || event == "ends"):
				alive--
				if check(g.Ended(now, event == "ends", alive > 0)) {
					return
				}
				if alive == 0 {
					require.True(t, startAt >= 0, "no process is running and no start is scheduled")
				}
			}
		}
	})
}

// The restart delay doubles up to its maximum while processes die at once, and is reset after a process has run
// for long.
func TestRestartDelays(t *testing.T) {
	g, now := New(0), int64(0)
	var pauses []int64
	for range 12 {
		s := g.Ended(now, false, false)
		require.True(t, s.ScheduleStart)
		pauses = append(pauses, s.StartAt-now)
		now = s.StartAt
		require.Equal(t, Step{}, g.Started(now, true))
	}
	require.Equal(t, int64(InitialRestartDelay), pauses[0])
	require.Equal(t, int64(4*InitialRestartDelay), pauses[2])
	require.Equal(t, int64(MaxRestartDelay), pauses[11])
	s := g.Ended(now+MinStableUptime, false, false)
	require.Equal(t, now+MinStableUptime+InitialRestartDelay, s.StartAt)
	require.Equal(t, uint64(13), g.UnexpectedExits)
	require.Equal(t, Step{Exit: true, Code: 1}, func() Step { g.Stop(true); return g.Ended(now, false, false) }())
}
