// Package keepers plays many processes with the real keepers' parts and fronts in virtual time: loops, a network with
// faults, offices with lines, and callers from a seed.
package keepers

import (
	"errors"

	"pewterwheel/internal/fleet"
	"pewterwheel/internal/lease"
)

// Court grants leases as the electors do, without their messages.
type Court struct {
	Term   int64 // length of a lease, in microseconds
	Quorum int64 // time that a write takes
	things map[string]*held
}

type held struct {
	holder       string
	fence, write uint64
	until        int64
	value        []byte
	next         []byte // being written
	nextAt       int64  // 0: nothing is
}

// NewCourt returns a court where nothing is held.
func NewCourt() *Court {
	return &Court{Term: 4_000_000, Quorum: 2_000, things: map[string]*held{}}
}

// Lessor is one process's side of a court. While Cut it is reached by nothing.
type Lessor struct {
	Court *Court
	Name  string
	Cut   bool
	wants map[string]bool
}

func (c *Court) thing(now int64, name string) *held {
	h := c.things[name]
	if h == nil {
		h = &held{}
		c.things[name] = h
	}
	if h.nextAt != 0 && now >= h.nextAt {
		h.value, h.write, h.nextAt = h.next, h.write+1, 0
	}
	return h
}

// Claim implements lease.Client.
func (l *Lessor) Claim(now int64, thing string, out *fleet.Out) {
	if l.wants == nil {
		l.wants = map[string]bool{}
	}
	l.wants[thing] = true
}

// Release implements lease.Client.
func (l *Lessor) Release(now int64, thing string, out *fleet.Out) {
	delete(l.wants, thing)
	if h := l.Court.thing(now, thing); h.holder == l.Name && !l.Cut {
		h.holder, h.until = "", now
	}
}

// Held implements lease.Client: it grants, or renews when a third of the term is gone.
func (l *Lessor) Held(now int64, thing string) (lease.Grant, bool) {
	h := l.Court.thing(now, thing)
	if !l.wants[thing] {
		return lease.Grant{}, false
	}
	switch mine := h.holder == l.Name; {
	case l.Cut && (!mine || now >= h.until):
		return lease.Grant{}, false
	case l.Cut:
	case mine && now < h.until:
		if h.until-now < 2*l.Court.Term/3 {
			h.until = now + l.Court.Term
		}
	case h.holder == "" || now >= h.until+l.Court.Term/50:
		h.holder, h.fence, h.until, h.nextAt = l.Name, h.fence+1, now+l.Court.Term, 0
	default:
		return lease.Grant{}, false
	}
	return lease.Grant{Fence: h.fence, Until: h.until, Value: h.value, Write: h.write}, true
}

// Write implements lease.Client.
func (l *Lessor) Write(now int64, thing string, value []byte, out *fleet.Out) (uint64, error) {
	h := l.Court.thing(now, thing)
	if h.holder != l.Name || len(value) > lease.MaxRecord {
		return 0, errors.New("not held, or too long")
	}
	if !l.Cut {
		h.next, h.nextAt = value, now+l.Court.Quorum
	}
	return h.write + 1, nil
}

// Holder implements lease.Client.
func (l *Lessor) Holder(thing string) (string, uint64) {
	if h := l.Court.things[thing]; h != nil {
		return h.holder, h.fence
	}
	return "", 0
}
