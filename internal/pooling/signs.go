package pooling

import (
	"strings"

	"pewterwheel/internal/wire"
)

// Sign is a kind of observation. Its numbers are exchanged between program versions and never reassigned. Signs of a
// newer version are kept and joined although their meaning is unknown.
type Sign uint8

// The signs. A call is guarded if it may not be repeated freely. A set-up is marked if it repeats a token that an
// office gave its session. Faults are refusals whose cause may be missing connection state (see stateful); refusals
// for lack of capacity are not counted.
const (
	OwnClean Sign = iota + 1
	OwnFault
	OwnMarkedClean
	OwnMarkedFault
	CallClean
	CallFault
	CallMarkedClean
	CallMarkedFault
	MessageClean
	MessageFault
	MessageMarkedClean
	MessageMarkedFault
	EndClean
	EndFault
	AfterClean
	AfterFault

	Marked
	Crossed
	Overlapped
	Serial
	Again
	Ended
	OwnMissing
	Guarded

	TokenBound
	StateMissing
	MissingShared
	IDClash
	Refuted

	lastSign = Refuted
)

// MaxSigns bounds the sign numbers of this and later versions.
const MaxSigns = 40

// Modes is a set of denied modes.
type Modes uint8

// The sets that a witness may deny. Denying a mode also denies every higher one.
const (
	DenyMessage Modes = 1 << ByMessage
	DenyCall    Modes = 1<<ByCall | DenyMessage
)

// Effect is how a sign influences a verdict.
type Effect uint8

// The effects.
const (
	Test     Effect = iota + 1 // counts in the sequential test of a mode
	BaseRate                   // measures how often the same is refused on the session's own connections
	Demand                     // raises the ratio that the test must reach; never lowers it below the stated confidence
	Witness                    // denies at once, regardless of other evidence
)

// SignInfo describes a sign in the Signs table.
type SignInfo struct {
	Sign   Sign
	Name   string
	Effect Effect
	Denies Modes
	Proves string
}

// Signs lists every sign of this version and what it proves, in the order of their numbers.
var Signs = []SignInfo{
	{OwnClean, "own-clean", BaseRate, 0,
		"nothing about sharing; how often a plain set-up is answered on a connection of its own"},
	{OwnFault, "own-fault", BaseRate, 0, "that such refusals also come without sharing"},
	{OwnMarkedClean, "own-marked-clean", BaseRate, 0, "that the office takes its token where it gave it"},
	{OwnMarkedFault, "own-marked-fault", BaseRate, 0, "that marked set-ups are refused also where the token was given"},
	{CallClean, "call-clean", Test, 0, "that this plain set-up needed nothing of its session's connection"},
	{CallFault, "call-fault", Test, 0,
		"by itself nothing; more of them than own-faults, that sharing by call does harm"},
	{CallMarkedClean, "call-marked-clean", Test, 0, "that this token is good on other connections too"},
	{CallMarkedFault, "call-marked-fault", Test, 0, "as call-fault, of set-ups that repeat a token"},
	{MessageClean, "message-clean", Test, 0, "that this plain set-up bore other calls on its connection"},
	{MessageFault, "message-fault", Test, 0,
		"by itself nothing; more of them than own-faults, that sharing by message does harm"},
	{MessageMarkedClean, "message-marked-clean", Test, 0, "as message-clean, of set-ups that repeat a token"},
	{MessageMarkedFault, "message-marked-fault", Test, 0, "as message-fault, of set-ups that repeat a token"},
	{EndClean, "end-clean", Test, 0, "that the office took this call's end on another connection"},
	{EndFault, "end-fault", Test, 0,
		"that an end stayed unheard on another connection and was heard on the set-up's; once, it may have been late"},
	{AfterClean, "after-clean", Test, 0,
		"that what a guarded call needed was still there on its session's own connection after others had been shared"},
	{AfterFault, "after-fault", Test, 0,
		"by itself nothing; more of them than own-faults, that calls leave behind on shared connections what guarded ones need"},
	{Marked, "marked", Demand, 0, "that the session repeats tokens: marked set-ups must pass a test of their own"},
	{Crossed, "crossed", Demand, 0,
		"that the client itself sends a call's end on another connection: it keeps calls apart by id"},
	{Overlapped, "overlapped", Demand, 0, "that the session does not wait for one call before it begins the next"},
	{Serial, "serial", Demand, 0, "nothing; where it is always so, that order cannot be ruled out: more is demanded"},
	{Again, "again", Demand, 0, "that ids are used again: more is demanded of sharing by message"},
	{Ended, "ended", Demand, 0,
		"that the client ends calls: ends must pass a test of their own before they go by message"},
	{OwnMissing, "own-missing", BaseRate, 0,
		"that set-ups lack something also on connections of their own: missing-shared proves nothing then"},
	{Guarded, "guarded", Demand, 0,
		"that the client has calls that may not be repeated: these must pass a test of their own after others were shared"},
	{TokenBound, "token-bound", Witness, DenyCall,
		"that a token is good on its own connection alone: a shared one refused the set-up, its own took the same"},
	{StateMissing, "state-missing", Witness, DenyCall,
		"that the office keeps state on the connection: a shared one missed what its own did not, for the same set-up"},
	{MissingShared, "missing-shared", Witness, DenyCall,
		"as state-missing, where no own connection has ever missed anything in a long time"},
	{IDClash, "id-clash", Witness, DenyMessage,
		"that two sessions use one id at a time: on one connection the office could not tell them apart"},
	{Refuted, "refuted", Witness, DenyCall,
		"that the sequential test came down on the other side, with its stated error"},
}

// String returns the name of the sign.
func (s Sign) String() string {
	if s >= 1 && s <= lastSign {
		return Signs[s-1].Name
	}
	return "later-sign"
}

// String returns the name of the mode as it appears in the log.
func (m Mode) String() string {
	return [...]string{"none", "by-session", "by-call", "by-message"}[min(m, ByMessage)]
}

// KnownSigns is the mask of the signs that this version knows.
const KnownSigns uint64 = 1<<(lastSign+1) - 2

// highestAllowed returns the highest mode that is not denied.
func (d Modes) highestAllowed() Mode {
	switch {
	case d&(1<<ByCall) != 0:
		return BySession
	case d&(1<<ByMessage) != 0:
		return ByCall
	}
	return ByMessage
}

// withHigherModes adds every mode above a denied one.
func (d Modes) withHigherModes() Modes {
	if d&(1<<ByCall) != 0 {
		d |= DenyCall
	}
	return d
}

// String lists the names of the denied modes.
func (d Modes) String() string {
	var names []string
	for m := ByCall; m <= ByMessage; m++ {
		if d&(1<<m) != 0 {
			names = append(names, m.String())
		}
	}
	return strings.Join(names, "+")
}

// stateful reports whether a refusal with this cause may be due to state that is missing on the connection.
func stateful(cause byte) bool {
	switch cause {
	case wire.CauseNormal, wire.CauseBusy, wire.CauseFull, wire.CauseCut, wire.CauseCongestion, wire.CauseMoot:
		return false
	}
	return true
}
