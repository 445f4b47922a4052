package recovery

import (
	"fmt"
	"maps"
	"reflect"
	"testing"

	"pgregory.net/rapid"

	"pewterwheel/decide"
	"pewterwheel/internal/store"
)

const guard = int64(200_000)

// history is a random run: what was written in each round, and the state after it.
type history struct {
	batches [][]store.Op
	states  []State
	now     int64
}

func (s State) clone() State {
	return State{maps.Clone(s.Calls), maps.Clone(s.Members), maps.Clone(s.Limits)}
}

func drawHistory(t *rapid.T) history {
	h := history{now: 1_000_000, states: []State{NewState()}}
	r := NewRecorder(NewState())
	office := func() decide.ServerID {
		return decide.ServerID(fmt.Sprint("o", rapid.IntRange(0, 3).Draw(t, "office")))
	}
	for range rapid.IntRange(1, 25).Draw(t, "rounds") {
		h.now += rapid.Int64Range(1, 150_000).Draw(t, "pause")
		for range rapid.IntRange(1, 5).Draw(t, "events") {
			id := rapid.Uint64Range(1, 6).Draw(t, "call")
			switch rapid.IntRange(0, 5).Draw(t, "event") {
			case 0:
				if c, ok := r.state.Calls[id]; !ok || c.Stage == Guarded && c.Until <= h.now {
					r.Sent(id, office(), 1, h.now, h.now+6_000_000)
				}
			case 1:
				if c, ok := r.state.Calls[id]; ok && c.Stage == Out {
					r.Stood(id, c.Office, h.now)
				}
			case 2:
				r.Ended(id, h.now, h.now+rapid.SampledFrom([]int64{0, guard}).Draw(t, "guard"))
			case 3:
				r.Listed(Member{Office: office(), Address: "127.0.0.1:1", Share: 1, Told: h.now,
					State: decide.State(rapid.IntRange(0, 2).Draw(t, "state"))})
			case 4:
				r.Learned(Limit{office(), rapid.SampledFrom([]float64{0, 1, 3, 40}).Draw(t, "open"), h.now})
			case 5:
				r.Expire(h.now)
			}
		}
		h.batches = append(h.batches, r.Batch())
		h.states = append(h.states, r.state.clone())
	}
	return h
}

func apply(records map[string][]byte, ops []store.Op) {
	for _, op := range ops {
		if op.Delete {
			delete(records, op.Key)
		} else {
			records[op.Key] = op.Value
		}
	}
}

// What is written round by round folds back into the state of each round, and so does the whole state at once.
func TestFoldIsTheState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := drawHistory(t)
		records := map[string][]byte{}
		for i, ops := range h.batches {
			apply(records, ops)
			got, unread := Fold(records)
			if !reflect.DeepEqual(got, h.states[i+1]) || len(unread) > 0 {
				t.Fatalf("after round %d: %+v, unread %v, want %+v", i, got, unread, h.states[i+1])
			}
		}
		last := h.states[len(h.states)-1]
		whole := map[string][]byte{}
		apply(whole, NewRecorder(last.clone()).Whole())
		if got, _ := Fold(whole); !reflect.DeepEqual(got, last) {
			t.Fatalf("the whole state is %+v, want %+v", got, last)
		}
		// One that goes on from what was recovered ends what it finds.
		r := NewRecorder(last.clone())
		for id := range last.Calls {
			r.Ended(id, h.now, 0)
		}
		apply(records, r.Batch())
		if got, _ := Fold(records); len(got.Calls) > 0 {
			t.Fatalf("ended, and still there: %+v", got.Calls)
		}
	})
}

// Rounds are lost in the middle. Nothing that is recovered was not once so (never invents), and nothing that whole records
// behind the loss have ended, drained or lowered is as before (never revives).
func TestLostRounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := drawHistory(t)
		from := rapid.IntRange(0, len(h.batches)).Draw(t, "from")
		to := rapid.IntRange(from, len(h.batches)).Draw(t, "to")
		records := map[string][]byte{}
		for _, ops := range h.batches[:from] {
			apply(records, ops)
		}
		before, _ := Fold(records)
		for _, ops := range h.batches[to:] { // as the store does behind damage
			for _, op := range ops {
				have, ok := records[op.Key]
				if !ok {
					continue
				}
				if op.Delete {
					delete(records, op.Key)
				} else if o, do := Later(op.Key, have, op); do {
					apply(records, []store.Op{o})
				}
			}
		}
		got, _ := Fold(records)
		ended := map[string]bool{} // whose last whole record behind the loss is its end
		for _, ops := range h.batches[to:] {
			for _, op := range ops {
				ended[op.Key] = ended[op.Key] || op.Delete
			}
		}
		once := func(has func(State) bool) bool {
			for _, s := range h.states {
				if has(s) {
					return true
				}
			}
			return false
		}
		for id, c := range got.Calls {
			if !once(func(s State) bool { return s.Calls[id] == c }) {
				t.Fatalf("call %+v was never so", c)
			}
			if was, ok := before.Calls[id]; !ok || c.Stage < was.Stage {
				t.Fatalf("call %+v was %+v before the loss", c, was)
			}
			if ended[c.op().Key] {
				t.Fatalf("call %+v was ended behind the loss", c)
			}
		}
		for id, m := range got.Members {
			if !once(func(s State) bool { return s.Members[id] == m }) || before.Members[id].State > m.State || ended[m.op().Key] {
				t.Fatalf("member %+v, before the loss %+v, ended %v", m, before.Members[id], ended[m.op().Key])
			}
			for _, ops := range h.batches[to:] {
				for _, op := range ops {
					if v, err := Describe(op.Key, op.Value); err == nil && op.Key == m.op().Key && v.(Member).State > m.State {
						t.Fatalf("member %+v was drained behind the loss: %+v", m, v)
					}
				}
			}
		}
		for id, l := range got.Limits {
			if !once(func(s State) bool { return s.Limits[id] == l }) || l.Open > before.Limits[id].Open || ended[l.op().Key] {
				t.Fatalf("limit %+v, before the loss %+v", l, before.Limits[id])
			}
		}
	})
}

// Whatever the age, an attempt that was out is never believed to be out or to stand, its guard runs in full from the start,
// no guard is longer than the rule's, what was drained is drained, and older records weigh no more than younger ones.
func TestBelieve(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := drawHistory(t)
		s := h.states[len(h.states)-1]
		trust := Usual(guard)
		now := h.now + rapid.SampledFrom([]int64{-50_000_000, 0, 1, 100_000, 20_000_000, 3_700_000_000, 90_000_000_000}).Draw(t, "age")
		b := Believe(s, now, trust)
		for _, c := range b.Standing {
			if s.Calls[c.ID].Stage != Stands || now-c.Since > trust.Standing {
				t.Fatalf("%+v is believed to stand", c)
			}
		}
		for id, c := range s.Calls {
			until, guarded := b.Guards[id]
			switch {
			case guarded && (until > now+guard || until <= now):
				t.Fatalf("call %+v is guarded until %d, now is %d", c, until, now)
			case c.Stage == Out && until != now+guard:
				t.Fatalf("the attempt of %+v was cut, and its guard ends at %d", c, until)
			case c.Stage == Guarded && c.Until > now && until < min(c.Until, now+guard):
				t.Fatalf("the guard of %+v is over at %d", c, until)
			}
		}
		for _, m := range b.Members {
			if was := s.Members[m.Office]; m.State != was.State || m.Share > was.Share || now-was.Told >= trust.Stale {
				t.Fatalf("%+v is believed of %+v", m, was)
			}
		}
		older := Believe(s, now+10_000_000, trust)
		if len(older.Members) > len(b.Members) || len(older.Limits) > len(b.Limits) || len(older.Standing) > len(b.Standing) {
			t.Fatalf("with age more is believed: %+v, and then %+v", b, older)
		}
		for id, l := range older.Limits {
			if l > b.Limits[id] || l < 1 {
				t.Fatalf("the limit of %s is %v, and was %v", id, l, b.Limits[id])
			}
		}
	})
}

func FuzzDescribe(f *testing.F) {
	for _, op := range []store.Op{Call{ID: 7, Stage: Out, Office: "o"}.op(), Member{Office: "o", Share: 1}.op(), Limit{"o", 3, 5}.op()} {
		f.Add(op.Key, op.Value)
	}
	f.Fuzz(func(t *testing.T, key string, value []byte) {
		v, err := Describe(key, value)
		if err != nil {
			return
		}
		var op store.Op
		switch v := v.(type) {
		case Call:
			op = v.op()
		case Member:
			op = v.op()
		case Limit:
			op = v.op()
		}
		if again, err := Describe(op.Key, op.Value); err != nil || !reflect.DeepEqual(again, v) {
			t.Errorf("%+v is read again as %+v, %v", v, again, err)
		}
	})
}
