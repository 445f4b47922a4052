package pooling

// This file gives the external tests of this package access to internals and lets them disable safeguards.

var defectSets = map[string]defectSet{
	"witness does not win": {witnessAsFault: true}, "no decay": {noDecay: true},
	"cut-off process raises": {raisesWhileIsolated: true},
	"join adds":              {joinAdds: true}, "new process trusts fully": {fullTrust: true},
	"calls under way move": {callsMove: true},
	"any class is tried":   {anyClass: true}, "lower verdict not taken": {ignoresNewerVersions: true},
}

// InjectDefect disables the safeguard of the given name in a part and its loop. Unknown names have no effect.
func InjectDefect(p *Module, l *Loop, name string) {
	p.defects, l.defects = defectSets[name], defectSets[name]
}

// JoinWithDefect joins with the safeguard of the given name disabled.
func (e *Evidence) JoinWithDefect(o *Evidence, defect string) { e.join(o, defectSets[defect]) }

// SetTable publishes a table with one verdict for every client.
func (l *Loop) SetTable(until int64, v Verdict) { l.table.Store(&Table{ValidUntil: until, Default: v}) }

// Count counts a sign n times for a client.
func (l *Loop) Count(c ClientID, s Sign, n uint32) {
	l.count(c, s)
	l.clients[c].counts[s] += n - 1
}

// DrainRing empties the ring and returns the sum of its counts.
func (l *Loop) DrainRing() (sum Counts) {
	for b := (batch{}); l.ring.pop(&b); {
		for s, n := range b.counts {
			sum[s] += n
		}
	}
	return sum
}

// DecodePayload decodes a payload.
var DecodePayload = decodePayload

// Weighted returns the weighted count of a sign of a client.
func (p *Module) Weighted(key uint64, s Sign) float64 {
	if c := p.clients[key]; c != nil {
		return c.weighted[s]
	}
	return 0
}

// Opinion returns the part's own opinion, before those of newer versions are applied.
func (p *Module) Opinion(key uint64) Mode {
	if c := p.clients[key]; c != nil {
		return c.opinion
	}
	return BySession
}

// Digest returns the digest of all denials.
func (p *Module) Digest() uint64 { return p.digest }

// Constants for tests.
const (
	HalfLife, TableLifetime, StartDelay, MinHarm = halfLife, tableLifetime, startDelay, minHarm
)

// RequiredLogRatio and LogLikelihoodRatio are the functions of the sequential test.
var RequiredLogRatio, LogLikelihoodRatio = requiredLogRatio, logLikelihoodRatio

// EncodePayload returns a payload with one record of the client with the given key.
func EncodePayload(key, signs, life uint64, epoch, said uint32, opinion Mode, counts map[Sign]uint32) []byte {
	s := payload{Signs: signs, Incarnation: life, Evidence: []evidenceRecord{{Key: key, Epoch: epoch, Opinion: opinion,
		OpinionVersion: said, Counts: counts}}}
	return s.encode()
}
