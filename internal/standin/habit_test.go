package standin

import (
	"math/rand/v2"
	"testing"

	"pewterwheel/internal/pooling"
)

// The truth that a habit tells of itself is what a bound office finds: three clients of it call, each by a connection of its
// own, by one that no other call has, or by any for each message, and are harmed in none of the modes that it bears, and in
// all others; but for ids, which the program itself keeps apart.
func TestHabitsTellTheTruth(t *testing.T) {
	for habit := Stateless; habit < habits; habit++ {
		for mode := pooling.BySession; mode <= pooling.ByMessage; mode++ {
			rng, ties, harmed := rand.New(rand.NewPCG(uint64(habit), uint64(mode))), Ties{}, 0
			minds := []*Mind{NewMind(habit, 1), NewMind(habit, 2), NewMind(habit, 3)}
			held := map[int]bool{}
			pick := func(client int) int {
				for mode != pooling.BySession {
					if conn := 10 + rng.IntN(6); !held[conn] {
						return conn
					}
				}
				return client
			}
			type standing struct {
				id   uint64
				conn int
			}
			stands := map[int]standing{}
			for id := uint64(1); id <= 20_000; id++ {
				client := rng.IntN(len(minds))
				if st, ok := stands[client]; ok { // it ends its last call first
					conn := st.conn
					if mode == pooling.ByMessage {
						conn = pick(client)
					}
					if ties.End(conn, st.id) {
						harmed++
					}
					delete(held, st.conn)
					delete(stands, client)
				}
				conn := pick(client)
				if ties.Missing("o1", conn, id, minds[client].Describe()) != "" {
					harmed++
					continue
				}
				minds[client].Took(id, ties.Give("o1", conn, id))
				held[conn] = mode == pooling.ByCall
				stands[client] = standing{id, conn}
			}
			if safe := habit.Safe(mode); safe != (harmed == 0) && habit != ReusesIDs {
				t.Errorf("%s, %v: harmed %d times, and says safe: %v", habit, mode, harmed, safe)
			}
		}
	}
}
