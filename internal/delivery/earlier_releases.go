package delivery

import "slices"

// EarlierRelease is a client's release of a call that this process does not know. It may be a call of a previous process,
// which any office may hold.
type EarlierRelease struct {
	Call  uint64
	Cause byte
}

// EarlierReleases paces the releases of unknown calls on their way to the offices, each of which is sent every one. The
// clients' connections take turns, and those that were ended for sending too many come last, so that one client at full
// speed delays neither the others nor the offices. The zero value is empty.
type EarlierReleases struct {
	turns      []*earlierQueue // those with releases, in the order of their turns
	distrusted []*earlierQueue // the same of connections that sent too many
	of         map[*Connection]*earlierQueue
	waiting    int   // releases in all queues
	spent      int64 // releases passed on, less those that the time since then allows
	spentAt    int64 // when spent was last reduced
}

// earlierQueue holds the releases of one connection, in the order of their arrival.
type earlierQueue struct {
	connection *Connection
	releases   []EarlierRelease
}

const (
	// maxEarlierWaiting bounds the releases that wait.
	maxEarlierWaiting = 4096
	// maxEarlierPerSecond bounds the releases passed on to each office in a second, and earlierCopiesPerSecond those to
	// all offices together. As many may go at once after a quiet second.
	maxEarlierPerSecond    = 1000
	earlierCopiesPerSecond = 50_000
)

// Add queues a release that came on a connection. If too many wait it drops another one and returns that: the latest of a
// distrusted connection, or else of the one with the most.
func (e *EarlierReleases) Add(connection *Connection, release EarlierRelease) (dropped EarlierRelease, full bool) {
	queue := e.of[connection]
	if queue == nil {
		queue = &earlierQueue{connection: connection}
		e.turns = append(e.turns, queue)
		if e.of == nil {
			e.of = map[*Connection]*earlierQueue{}
		}
		e.of[connection] = queue
	}
	queue.releases = append(queue.releases, release)
	e.waiting++
	if e.waiting <= maxEarlierWaiting {
		return EarlierRelease{}, false
	}
	if last := len(e.distrusted) - 1; last >= 0 {
		return e.dropLatest(e.distrusted[last]), true
	}
	return e.dropLatest(e.longest(queue)), true
}

// Distrust notes that a connection was ended because it sent too many releases.
func (e *EarlierReleases) Distrust(connection *Connection) {
	queue := e.of[connection]
	if i := slices.Index(e.turns, queue); i >= 0 {
		e.turns = slices.Delete(e.turns, i, i+1)
		e.distrusted = append(e.distrusted, queue)
	}
}

// longest returns the queue with the most releases; among equals the given one.
func (e *EarlierReleases) longest(queue *earlierQueue) *earlierQueue {
	for _, other := range e.turns {
		if len(other.releases) > len(queue.releases) {
			queue = other
		}
	}
	return queue
}

// dropLatest removes the latest release of a queue.
func (e *EarlierReleases) dropLatest(queue *earlierQueue) EarlierRelease {
	last := len(queue.releases) - 1
	dropped := queue.releases[last]
	queue.releases = queue.releases[:last]
	e.waiting--
	if last == 0 {
		is := func(q *earlierQueue) bool { return q == queue }
		e.turns = slices.DeleteFunc(e.turns, is)
		e.distrusted = slices.DeleteFunc(e.distrusted, is)
		delete(e.of, queue.connection)
	}
	return dropped
}

// Take returns the releases to pass on to each of a number of offices now.
func (e *EarlierReleases) Take(offices int, now int64) []EarlierRelease {
	if e.waiting == 0 {
		return nil
	}
	perSecond := int64(max(1, min(maxEarlierPerSecond, earlierCopiesPerSecond/max(1, offices))))
	elapsed := min(now-e.spentAt, microsecondsPerSecond)
	if regained := elapsed * perSecond / microsecondsPerSecond; regained > 0 {
		e.spent = max(0, e.spent-regained)
		e.spentAt = now
	}
	count := min(perSecond-e.spent, int64(e.waiting))
	var taken []EarlierRelease
	for int64(len(taken)) < count {
		turns := &e.turns
		if len(e.turns) == 0 {
			turns = &e.distrusted
		}
		taken = append(taken, e.takeTurn(turns))
	}
	e.waiting -= len(taken)
	e.spent += int64(len(taken))
	return taken
}

// takeTurn removes the first release of the queue whose turn it is.
func (e *EarlierReleases) takeTurn(turns *[]*earlierQueue) EarlierRelease {
	queue := (*turns)[0]
	*turns = (*turns)[1:]
	release := queue.releases[0]
	queue.releases = queue.releases[1:]
	if len(queue.releases) > 0 {
		*turns = append(*turns, queue)
	} else {
		delete(e.of, queue.connection)
	}
	return release
}

// Waiting returns the number of releases that wait.
func (e *EarlierReleases) Waiting() int { return e.waiting }
