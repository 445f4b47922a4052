package state

import "testing"

// Guards against ids that are forgotten early, in full or in part, and against memory that grows with them.
func TestEndedCallsAreRememberedForTheirTime(t *testing.T) {
	var ended EndedCalls
	client := &Caller{Trusted: true}
	const ids = 3000
	for id := range uint64(ids) {
		ended.Add(id, client, int64(id)*1000)
	}
	last := int64(ids * 1000)
	for id := range uint64(ids) {
		if !ended.Has(id) {
			t.Fatalf("id %d was forgotten", id)
		}
	}
	for at := last; at <= last+EndedCallTTL; at += EndedCallTTL / 20 {
		ended.Expire(at)
	}
	if !ended.Has(ids - 1) {
		t.Error("an id was forgotten before its time")
	}
	for at := last + EndedCallTTL; at <= last+EndedCallTTL+generationLength; at += EndedCallTTL / 20 {
		ended.Expire(at)
	}
	if n := ended.Len(); n != 0 {
		t.Errorf("%d ids are left", n)
	}
	ended.Add(1, client, 0)
	if ended.Remove(1); ended.Has(1) {
		t.Error("a removed id is remembered")
	}
}

// Guards against floods of new ids, on one connection or ever new ones, that make a process forget the usual clients' or
// hold ever more.
func TestFloodOfIDsForgetsItsOwn(t *testing.T) {
	var ended EndedCalls
	client, flood := &Caller{}, &Caller{Trusted: true}
	ended.Add(1, client, 0)
	for id := range uint64(1 << 19) {
		if id%1000 == 0 { // a connection that has never had a call
			flood = &Caller{Trusted: id%2000 == 0 && id < 4000}
		}
		ended.Add(1000+id, flood, 1)
		ended.Add(1<<40+id, nil, 1)
	}
	if !ended.Has(1) {
		t.Error("the usual client's id was forgotten")
	}
	if n := ended.Len(); n > 2*generations*maxEndedPerGeneration {
		t.Errorf("%d ids are held", n)
	}
}
