package pooling

// For tests of other packages' rigs: what a part and its loop are made worse by, and what is inside them.

var defectSets = map[string]defectSet{
	"witness does not win": {witnessAsFault: true}, "no decay": {noDecay: true}, "cut-off process raises": {raisesWhileIsolated: true},
	"join adds": {joinAdds: true}, "new process trusts fully": {fullTrust: true}, "calls under way move": {callsMove: true},
	"any class is tried": {anyClass: true}, "lower verdict not taken": {ignoresNewerVersions: true},
}

// InjectDefect makes a part and its loop worse; unknown names do nothing.
func InjectDefect(p *Part, l *Loop, how string) {
	p.defects, l.defects = defectSets[how], defectSets[how]
}

// JoinWithDefect joins as a doctored part does.
func (e *Evidence) JoinWithDefect(o *Evidence, how string) { e.join(o, defectSets[how]) }

// SetTable puts a verdict for every client up.
func (l *Loop) SetTable(until int64, v Verdict) { l.table.Store(&Table{ValidUntil: until, Default: v}) }

// Count counts a sign for a client, as the loop does.
func (l *Loop) Count(c ClientID, s Sign, n uint32) {
	l.count(c, s)
	l.clients[c].counts[s] += n - 1
}

// DrainRing empties the ring and sums it.
func (l *Loop) DrainRing() (sum Counts) {
	for b := (batch{}); l.ring.pop(&b); {
		for s, n := range b.counts {
			sum[s] += n
		}
	}
	return sum
}

// DecodePayload reads a body.
var DecodePayload = decodePayload

// Weighted is what the part goes by for a client.
func (p *Part) Weighted(key uint64, s Sign) float64 {
	if c := p.clients[key]; c != nil {
		return c.weighted[s]
	}
	return 0
}

// Opinion is the part's own, before those of other versions.
func (p *Part) Opinion(key uint64) Mode {
	if c := p.clients[key]; c != nil {
		return c.opinion
	}
	return BySession
}

// Digest is that of the denials.
func (p *Part) Digest() uint64 { return p.digest }

// What tests go by.
const (
	HalfLife, TableLifetime, StartDelay, MinHarm = halfLife, tableLifetime, startDelay, minHarm
)

// RequiredLogRatio and LogLikelihoodRatio are those of the test.
var RequiredLogRatio, LogLikelihoodRatio = requiredLogRatio, logLikelihoodRatio

// EncodePayload is a message with one record of the client of the given key.
func EncodePayload(key, signs, life uint64, epoch, said uint32, opinion Mode, counts map[Sign]uint32) []byte {
	s := payload{Signs: signs, Incarnation: life, Evidence: []evidenceRecord{{Key: key, Epoch: epoch, Opinion: opinion, OpinionVersion: said, Counts: counts}}}
	return s.bytes()
}
