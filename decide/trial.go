package decide

// allowProbe ends the backoff time of a silent server for one set-up. The backoff length stays, so that no other set-up
// goes there at the same time, and another silence doubles it.
func (n *Node) allowProbe(s *server) {
	if s == nil || !s.silent {
		return
	}
	s.backoff.until = min(s.backoff.until, n.now)
	s.nextSend = min(s.nextSend, n.now)
}
