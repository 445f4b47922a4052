package liveness

// Bounds on what is learned from an office's reports and on the silence derived from it, in microseconds.
const (
	// minInterval is the shortest interval between two reports that is taken into account: a burst says nothing about
	// the usual interval.
	minInterval = 100_000
	// 1/learnPart of the difference to a new interval is added to the usual one.
	learnPart = 8
	// A report is overdue when it is late by 1/overduePart of the usual interval, and by minInterval at least.
	overduePart = 5
	// minSilence is the shortest silence that ends a connection, whatever the usual interval is.
	minSilence = 600_000
)

// ReportInterval is the usual interval between two unsolicited reports, in microseconds; zero: not known.
type ReportInterval int64

// Observe learns from the interval between two reports. Guards against a late report, after which the next seems
// early, and against several missed ones: an interval counts as half to twice the usual one.
func (r *ReportInterval) Observe(interval int64) {
	if *r == 0 {
		*r = ReportInterval(max(interval, minInterval))
	}
	if interval < minInterval {
		return
	}
	usual := int64(*r)
	bounded := min(max(interval, usual/2), 2*usual)
	*r += ReportInterval((bounded - usual) / learnPart)
}

// Connection records what was received from an office on one connection. Times are microseconds of the caller's
// clock.
type Connection struct {
	Opened         int64 // when it was established
	LastReceived   int64 // when anything was last received, or it was established
	Reported       int64 // when the office last reported on it; 0: not yet
	ReportInterval ReportInterval
}

// Begin begins a connection. It keeps the report interval of the connections before it.
func (c *Connection) Begin(now int64) {
	c.Opened = now
	c.LastReceived = now
	c.Reported = 0
}

// Report records a report received at the given time, and learns from it for this connection and for all offices.
func (c *Connection) Report(at int64, all *ReportInterval) {
	if c.Reported != 0 {
		all.Observe(at - c.Reported)
		c.ReportInterval.Observe(at - c.Reported)
	}
	c.Reported = at
}

// IsSilent reports whether the connection has brought nothing although a report was due, by the longer of its own
// report interval and that of all offices. It is never silent where no office reports.
func (c *Connection) IsSilent(now int64, all ReportInterval) bool {
	usual := int64(max(all, c.ReportInterval))
	if usual == 0 {
		return false
	}
	due := c.Reported + usual
	late := now >= due+max(minInterval, usual/overduePart)
	overdue := c.Reported != 0 && c.LastReceived < due && late
	return overdue || now-c.LastReceived >= max(minSilence, usual+usual/2)
}
