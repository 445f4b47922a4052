package pooling

// For tests of other packages' rigs: what a part and its loop are made worse by, and what is inside them.

var doctors = map[string]doctor{
	"witness does not win": {witnessLoses: true}, "no decay": {noDecay: true}, "cut-off process raises": {cutRaises: true},
	"join adds": {adds: true}, "new process trusts fully": {trusts: true}, "calls under way move": {moves: true},
	"any class is tried": {anyClass: true}, "lower verdict not taken": {alone: true},
}

// Doctor makes a part and its loop worse; unknown names do nothing.
func Doctor(p *Part, l *Loop, how string) { p.doctor, l.doctor = doctors[how], doctors[how] }

// JoinDoctored joins as a doctored part does.
func (e *Evidence) JoinDoctored(o *Evidence, how string) { e.join(o, doctors[how]) }

// SetTable puts a verdict for every client up.
func (l *Loop) SetTable(until int64, v Verdict) { l.table.Store(&Table{Until: until, Unknown: v}) }

// Count counts a sign for a client, as the loop does.
func (l *Loop) Count(c ClientID, s Sign, n uint32) {
	l.count(c, s)
	l.clients[c].counts[s] += n - 1
}

// Drained empties the ring and sums it.
func (l *Loop) Drained() (sum Counts) {
	for b := (batch{}); l.ring.pop(&b); {
		for s, n := range b.counts {
			sum[s] += n
		}
	}
	return sum
}

// Hear reads a body.
var Hear = hear

// All is what the part goes by for a client.
func (p *Part) All(key uint64, s Sign) float64 {
	if c := p.clients[key]; c != nil {
		return c.all[s]
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
	HalfLife, TableFor, Settle, LeastHarm = halfLife, tableFor, settle, leastHarm
)

// Bound and Likelihood are those of the test.
var Bound, Likelihood = bound, likelihood

// Body is a message with one record of the client of the given key.
func Body(key, signs, life uint64, epoch, said uint32, opinion Mode, counts map[Sign]uint32) []byte {
	s := speech{Signs: signs, Life: life, Evidence: []saidRecord{{Key: key, Epoch: epoch, Opinion: opinion, Said: said, Counts: counts}}}
	return s.bytes()
}
