package delivery

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

const millisecond = 1_000

// dueWithin is how soon a client that stays connected must have a release.
const dueWithin = 1_000 * millisecond

// simClient is a client of the simulation, with one connection at a time.
type simClient struct {
	conn        *Connection
	requests    bool // it asks for calls on each of its connections
	loadBalance bool // it is the load balancer, which only tests
	connected   int64
	owed        map[uint64]int64 // calls that have ended, and since when the release could be sent on this connection
	sent        map[uint64]int   // how often each release was sent on this connection
}

// sim plays clients that come and go on one Log, and checks who is sent what.
type sim struct {
	t       *testing.T
	rng     *rand.Rand
	log     Log
	now     int64
	clients []*simClient
	calls   uint64
}

func (s *sim) connect(client *simClient) {
	conn := s.log.Open(s.now)
	client.conn, client.connected, client.sent = &conn, s.now, map[uint64]int{}
	for call := range client.owed {
		client.owed[call] = s.now
	}
	switch {
	case client.loadBalance:
		client.conn.Tested()
	case client.requests:
		client.conn.Requested()
		s.deliver(client, s.log.Take(client.conn, Buffers{}, s.now))
	}
}

func (s *sim) deliver(client *simClient, releases []Release) {
	for _, release := range releases {
		if client.loadBalance {
			s.t.Fatalf("call %d was released on a connection that only tests", release.Call)
		}
		if client.sent[release.Call]++; client.sent[release.Call] > 1 {
			s.t.Fatalf("call %d was released twice on one connection", release.Call)
		}
		delete(client.owed, release.Call)
	}
}

// disconnect ends a client's connection: the client closes it, or this side does.
func (s *sim) disconnect(client *simClient) {
	orderly := s.rng.IntN(2) == 0
	if !orderly {
		s.deliver(client, s.log.TakeLast(client.conn, Buffers{}, s.now))
	}
	s.log.Close(client.conn, orderly, s.now)
	client.conn = nil
}

// endCall ends a call of a client, which was set up on its present connection or on an earlier one.
func (s *sim) endCall(client *simClient) {
	s.calls++
	release := Release{Call: s.calls, Cause: 16}
	if client.conn != nil && s.rng.IntN(2) == 0 && client.requests {
		if !s.log.Release(release, client.conn, s.now) {
			s.t.Fatal("the connection of the set-up is open, and the release was not sent on it")
		}
		client.sent[release.Call]++
		return
	}
	client.owed[release.Call] = s.now
	if s.log.Release(release, &Connection{closed: true}, s.now) {
		s.t.Fatal("a release was sent on a closed connection")
	}
}

func (s *sim) round() {
	if s.log.StartRound(s.now) {
		for _, client := range s.clients {
			if client.conn != nil && s.log.Ready(client.conn, s.now) {
				s.deliver(client, s.log.Take(client.conn, Buffers{}, s.now))
			}
		}
	}
	s.log.Expire(s.now)
	for i, client := range s.clients {
		for call, since := range client.owed {
			if client.conn != nil && !client.loadBalance && s.now-since > dueWithin {
				s.t.Fatalf("client %d was not sent the release of call %d within 1 s", i, call)
			}
		}
	}
}

// Clients come and go at random, some with nothing to ask, some acknowledging what is not theirs: each that stays
// connected for a second is sent the ends of its calls, no connection the same one twice, and the load balancer none.
func TestEachClientIsSentItsReleases(t *testing.T) {
	for seed := range uint64(200) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			s := &sim{t: t, rng: rand.New(rand.NewPCG(seed, 50))}
			for i := range 3 + s.rng.IntN(10) {
				s.clients = append(s.clients, &simClient{requests: s.rng.IntN(2) == 0, loadBalance: i == 0,
					owed: map[uint64]int64{}})
			}
			for range 1500 {
				s.now += 20 * millisecond
				client := s.clients[s.rng.IntN(len(s.clients))]
				switch action := s.rng.IntN(20); {
				case client.conn == nil && action < 12:
					s.connect(client)
				case client.conn != nil && action < 3:
					s.disconnect(client)
				case action < 14 && !client.loadBalance:
					s.endCall(client)
				case client.conn != nil:
					s.log.Acknowledged(client.conn, 1+s.rng.Uint64N(s.calls+1))
				}
				s.round()
			}
			s.now += Retention
			s.log.Expire(s.now)
			if s.log.Len() != 0 || s.log.entries != nil || s.log.numbers != nil {
				t.Errorf("%d releases are still retained after their time", s.log.Len())
			}
		})
	}
}

// A thousand calls have ended, and a thousand silent connections come each second and read nothing that would identify
// them: the copies stay within their rate, those of silent connections within their share, and a client that asks has
// all releases at once.
func TestSilentCrowdsAreBounded(t *testing.T) {
	var log Log
	const ends, crowd, duration = 1000, 1000, 10
	now := int64(microsecondsPerSecond)
	for call := range uint64(ends) {
		log.Release(Release{Call: call + 1}, nil, now)
	}
	for second := range duration {
		var silent []Connection
		for range crowd {
			silent = append(silent, log.Open(now))
		}
		for range 10 {
			now += roundInterval
			if !log.StartRound(now) {
				t.Fatal("no round is due")
			}
			for i := range silent {
				if taken := len(log.Take(&silent[i], Buffers{}, now)); taken > maxBatch {
					t.Fatalf("%d releases were sent at once", taken)
				}
			}
		}
		client := log.Open(now)
		client.Requested()
		if taken := len(log.Take(&client, Buffers{}, now)); taken != ends {
			t.Errorf("a client that asks was sent %d of %d releases in second %d", taken, ends, second)
		}
	}
	if most := uint64((duration + 1) * copiesPerSecond); log.Copied > most {
		t.Errorf("%d copies were sent in %d s, want at most %d", log.Copied, duration, most)
	}
	if least := uint64(duration * ends * 100); log.Copied < least {
		t.Errorf("%d copies were sent in %d s, want at least %d: silent clients are left out", log.Copied, duration, least)
	}
}

// The log and what is kept for a connection are bounded, whatever ends; the newest releases stay.
func TestRetainedReleasesAreBounded(t *testing.T) {
	var log Log
	owner := log.Open(0)
	for call := range uint64(3 * maxUnconfirmed) {
		log.Release(Release{Call: call + 1}, &owner, 1)
	}
	if len(owner.unconfirmed) > maxUnconfirmed {
		t.Errorf("%d releases are kept for one connection", len(owner.unconfirmed))
	}
	log.Close(&owner, true, 2)
	for call := range uint64(3 * maxRetained) {
		log.Release(Release{Call: 1<<32 + call}, nil, 3)
	}
	if log.Len() != maxRetained || len(log.numbers) != maxRetained {
		t.Errorf("%d releases and %d calls are retained, want %d", log.Len(), len(log.numbers), maxRetained)
	}
	log.Release(Release{Call: 1<<32 + 3*maxRetained - 1}, nil, 4) // its office repeats it
	if log.Len() != maxRetained || !log.Retains(1<<32+3*maxRetained-1) || log.Retains(1<<32) {
		t.Error("the oldest releases were not dropped first, or one is retained twice")
	}
	if want := uint64(maxUnconfirmed + 2*maxRetained); log.Dropped != want {
		t.Errorf("%d releases count as dropped, want %d", log.Dropped, want)
	}
}

// What was written to a connection long before its client closed it counts as read, and costs nothing more. Where the
// connection ended in another way, it may be lost for longer.
func TestReleasesBeforeTheEndOfAConnection(t *testing.T) {
	for _, c := range []struct {
		name         string
		age          int64
		orderly      bool
		acknowledged bool
		want         int
	}{
		{"just before the client closed", 10 * millisecond, true, false, 1},
		{"an idle connection closed by its client", 4_000 * millisecond, true, false, 0},
		{"acknowledged", 10 * millisecond, true, true, 0},
		{"reset", 4_000 * millisecond, false, false, 1},
		{"reset long after", 9_000 * millisecond, false, false, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			var log Log
			conn := log.Open(0)
			conn.Requested()
			log.Release(Release{Call: 7}, &conn, millisecond)
			if c.acknowledged && !log.Acknowledged(&conn, 7) {
				t.Error("the acknowledgement of a release that was sent does not count")
			}
			log.Close(&conn, c.orderly, millisecond+c.age)
			if log.Len() != c.want {
				t.Errorf("%d releases are retained, want %d", log.Len(), c.want)
			}
		})
	}
}

// Nothing is added to a connection whose written data does not leave; what waits is sent once it has left.
func TestSlowReadersAreSentNothingMore(t *testing.T) {
	var log Log
	conn := log.Open(0)
	conn.Requested()
	log.Release(Release{Call: 7}, nil, 0)
	stuck := len(log.Take(&conn, Buffers{Unsent: true}, millisecond))
	if taken := len(log.Take(&conn, Buffers{}, 2*millisecond)); stuck != 0 || taken != 1 {
		t.Errorf("%d releases were sent behind unsent data and %d later, want 0 and 1", stuck, taken)
	}
}
