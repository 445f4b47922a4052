package decide

// allowTrialSetUp ends the backoff of a silent server for one trial set-up, which shows whether it answers again. The
// backoff length stays, so that no other set-up goes there at the same time, and another silence doubles it.
func (n *Node) allowTrialSetUp(s *server) {
	if s == nil || !s.silent {
		return
	}
	s.backoff.until = min(s.backoff.until, n.now)
	s.nextSend = min(s.nextSend, n.now)
}
