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

// history is a random run: the batch of each round, and the state after it.
type history struct {
	batches [][]store.Op
	states  []State
	now     int64
}

func (s State) clone() State {
	return State{maps.Clone(s.Calls), maps.Clone(s.Offices), maps.Clone(s.Limits)}
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
					r.AttemptSent(id, office(), 1, h.now, h.now+6_000_000)
				}
			case 1:
				if c, ok := r.state.Calls[id]; ok && c.Stage == AttemptOut {
					r.CallEstablished(id, c.Office, h.now)
				}
			case 2:
				r.Ended(id, h.now, h.now+rapid.SampledFrom([]int64{0, guard}).Draw(t, "guard"))
			case 3:
				r.SetOffice(OfficeEntry{Office: office(), Address: "127.0.0.1:1", Share: 1, Told: h.now,
					State: decide.State(rapid.IntRange(0, 2).Draw(t, "state"))})
			case 4:
				r.SetLimit(Limit{office(), rapid.SampledFrom([]float64{0, 1, 3, 40}).Draw(t, "open"), h.now})
			case 5:
				r.ExpireGuards(h.now)
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

// The records written up to each round give the state of that round, and a snapshot gives the whole state.
func TestBuildStateMatchesRecorder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := drawHistory(t)
		records := map[string][]byte{}
		for i, ops := range h.batches {
			apply(records, ops)
			got, unreadable := BuildState(records)
			if !reflect.DeepEqual(got, h.states[i+1]) || len(unreadable) > 0 {
				t.Fatalf("after round %d: state %+v, unreadable %v, want %+v", i, got, unreadable, h.states[i+1])
			}
		}
		last := h.states[len(h.states)-1]
		snapshot := map[string][]byte{}
		apply(snapshot, NewRecorder(last.clone()).Snapshot())
		if got, _ := BuildState(snapshot); !reflect.DeepEqual(got, last) {
			t.Fatalf("the snapshot gives %+v, want %+v", got, last)
		}
		// A recorder that continues from the recovered state can end the calls in it.
		r := NewRecorder(last.clone())
		for id := range last.Calls {
			r.Ended(id, h.now, 0)
		}
		apply(records, r.Batch())
		if got, _ := BuildState(records); len(got.Calls) > 0 {
			t.Fatalf("calls remain after their end: %+v", got.Calls)
		}
	})
}

// Rounds are lost in the middle. Every recovered record existed at some time, and nothing that records after the loss
// have ended, drained or lowered is as before.
func TestLostRounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := drawHistory(t)
		from := rapid.IntRange(0, len(h.batches)).Draw(t, "from")
		to := rapid.IntRange(from, len(h.batches)).Draw(t, "to")
		records := map[string][]byte{}
		for _, ops := range h.batches[:from] {
			apply(records, ops)
		}
		before, _ := BuildState(records)
		for _, ops := range h.batches[to:] { // as the store does after a damaged part
			for _, op := range ops {
				stored, ok := records[op.Key]
				if !ok {
					continue
				}
				if op.Delete {
					delete(records, op.Key)
				} else if o, replace := MergeAfterDamage(op.Key, stored, op); replace {
					apply(records, []store.Op{o})
				}
			}
		}
		got, _ := BuildState(records)
		ended := map[string]bool{} // keys whose records after the loss include a deletion
		for _, ops := range h.batches[to:] {
			for _, op := range ops {
				ended[op.Key] = ended[op.Key] || op.Delete
			}
		}
		everHeld := func(has func(State) bool) bool {
			for _, s := range h.states {
				if has(s) {
					return true
				}
			}
			return false
		}
		for id, c := range got.Calls {
			if !everHeld(func(s State) bool { return s.Calls[id] == c }) {
				t.Fatalf("call %+v never existed in this state", c)
			}
			if was, ok := before.Calls[id]; !ok || c.Stage < was.Stage {
				t.Fatalf("call %+v was %+v before the loss", c, was)
			}
			if ended[c.op().Key] {
				t.Fatalf("call %+v was ended after the loss", c)
			}
		}
		for id, m := range got.Offices {
			if !everHeld(func(s State) bool { return s.Offices[id] == m }) || before.Offices[id].State > m.State ||
				ended[m.op().Key] {
				t.Fatalf("office %+v, before the loss %+v, ended %v", m, before.Offices[id], ended[m.op().Key])
			}
			for _, ops := range h.batches[to:] {
				for _, op := range ops {
					if v, err := DecodeRecord(op.Key, op.Value); err == nil && op.Key == m.op().Key &&
						v.(OfficeEntry).State > m.State {
						t.Fatalf("office %+v was drained after the loss: %+v", m, v)
					}
				}
			}
		}
		for id, l := range got.Limits {
			if !everHeld(func(s State) bool { return s.Limits[id] == l }) || l.Open > before.Limits[id].Open ||
				ended[l.op().Key] {
				t.Fatalf("limit %+v, before the loss %+v", l, before.Limits[id])
			}
		}
	})
}

// At any age: an attempt that was out is never restored as out or established, its guard time runs in full from the
// start, no guard time is longer than the rule's, draining offices stay draining, and older records have no more weight
// than newer ones.
func TestRestore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := drawHistory(t)
		s := h.states[len(h.states)-1]
		policy := DefaultPolicy(guard)
		now := h.now + rapid.SampledFrom([]int64{-50_000_000, 0, 1, 100_000, 20_000_000, 3_700_000_000,
			90_000_000_000}).Draw(t, "age")
		restored := Restore(s, now, policy)
		for _, c := range restored.Established {
			if s.Calls[c.ID].Stage != Established || now-c.Since > policy.MaxCallAge {
				t.Fatalf("%+v is restored as established", c)
			}
		}
		for id, c := range s.Calls {
			until, guarded := restored.Guards[id]
			switch {
			case guarded && (until > now+guard || until <= now):
				t.Fatalf("call %+v has a guard time until %d, now is %d", c, until, now)
			case c.Stage == AttemptOut && until != now+guard:
				t.Fatalf("the attempt of %+v was cut off, but its guard time ends at %d", c, until)
			case c.Stage == Guarded && c.Until > now && until < min(c.Until, now+guard):
				t.Fatalf("the guard time of %+v ends at %d", c, until)
			}
		}
		for _, m := range restored.Offices {
			if was := s.Offices[m.Office]; m.State != was.State || m.Share > was.Share || now-was.Told >= policy.MaxOfficeAge {
				t.Fatalf("%+v is restored from %+v", m, was)
			}
		}
		older := Restore(s, now+10_000_000, policy)
		if len(older.Offices) > len(restored.Offices) || len(older.Limits) > len(restored.Limits) ||
			len(older.Established) > len(restored.Established) {
			t.Fatalf("more is restored at a higher age: %+v, then %+v", restored, older)
		}
		for id, l := range older.Limits {
			if l > restored.Limits[id] || l < 1 {
				t.Fatalf("the limit of %s is %v at a higher age, and %v before", id, l, restored.Limits[id])
			}
		}
	})
}

func FuzzDescribe(f *testing.F) {
	for _, op := range []store.Op{Call{ID: 7, Stage: AttemptOut, Office: "o"}.op(),
		OfficeEntry{Office: "o", Share: 1}.op(), Limit{"o", 3, 5}.op()} {
		f.Add(op.Key, op.Value)
	}
	f.Fuzz(func(t *testing.T, key string, value []byte) {
		v, err := DecodeRecord(key, value)
		if err != nil {
			return
		}
		var op store.Op
		switch v := v.(type) {
		case Call:
			op = v.op()
		case OfficeEntry:
			op = v.op()
		case Limit:
			op = v.op()
		}
		if again, err := DecodeRecord(op.Key, op.Value); err != nil || !reflect.DeepEqual(again, v) {
			t.Errorf("%+v is decoded again as %+v, %v", v, again, err)
		}
	})
}
