package session

import (
	"pewterwheel/internal/delivery"
	"pewterwheel/internal/membership"
	"pewterwheel/internal/state"
	"pewterwheel/internal/wire"
)

// ArrivalKind is the kind of an Arrival.
type ArrivalKind int

// Kinds of arrival, with the fields of Arrival that each sets.
const (
	Accepted        ArrivalKind = iota + 1 // a caller connected: Conn
	Dialled                                // a dial ended: Dial, and Conn or Err
	Data                                   // Conn, Data
	Closed                                 // Conn, Err
	Shutdown                               // shut down once every accepted call is answered
	Report                                 // log the counters
	Reload                                 // the configuration was reloaded: Update; or could not be read: Err
	ControlAccepted                        // a client connected to the control address: Conn
	InputOverflow                          // Conn sent more than its buffer holds; the excess is discarded
	ListenerClosed                         // the callers' listener is closed and its backlog delivered
)

// Arrival is one input from outside, with the time at which it arrived.
type Arrival struct {
	Kind ArrivalKind
	At   int64
	Conn state.Conn
	Data []byte
	Dial uint64
	Err  error

	Update membership.Update
}

func (s *Session) handleArrival(arrival Arrival) {
	switch arrival.Kind {
	case Accepted:
		s.callerAccepted(arrival)
	case ControlAccepted:
		s.controlAccepted(arrival)
	case Dialled:
		s.dialFinished(arrival)
	case Data:
		s.Counters[state.Reads]++
		s.Counters[state.Copied] += uint64(len(arrival.Data))
		switch role := s.connOwners[arrival.Conn].(type) {
		case *state.Caller:
			if len(role.Buffer) == 0 {
				role.PartialSince = s.now
			}
			role.Buffer = s.readMessages(arrival, role.Buffer, func(message wire.Message) {
				role.PartialSince = s.now
				s.handleCallerMessage(role, message, arrival.At)
			})
		case *state.OfficeConn:
			role.ReceivedAny = true
			if role.Received.LastReceived = s.now; len(role.Buffer) == 0 {
				role.PartialSince = s.now
			}
			role.Buffer = s.readMessages(arrival, role.Buffer, func(message wire.Message) {
				role.PartialSince = s.now
				s.handleOfficeMessage(role, message, arrival.At)
			})
		case *journal:
			s.handleJournalData(arrival.Data)
		case *state.ControlConn:
			s.handleControlData(role, arrival.Data)
		}
	case InputOverflow:
		s.Counters[state.InvalidIn]++
		if caller, ok := s.connOwners[arrival.Conn].(*state.Caller); ok {
			s.disconnectCaller(caller, errBufferExceeded)
		} else if s.connOwners[arrival.Conn] != nil {
			s.closeConn(arrival.Conn, errBufferExceeded)
		}
	case Closed:
		s.connClosed(arrival.Conn, arrival.Err)
	case Shutdown:
		if s.shutdownSince == 0 {
			s.shutdownSince = s.now
			s.responsibility.ShutDown(s.now)
			s.wheel.Set(s.shutdownSince+delivery.AcceptAfterShutdown, state.Timer{Kind: state.TimerStopAccepting})
			s.wheel.Set(s.lastAnswerTime(), state.Timer{Kind: state.TimerShutdownDeadline})
			s.log.Info("stopping", "open", s.countOpen(), "standing", len(s.established))
		}
	case ListenerClosed:
		s.listenerClosed = true
	case Report:
		s.Report()
	case Reload:
		s.reload(arrival)
	}
}

// readMessages calls handle for each complete message received on a connection and returns the remaining
// bytes. An invalid length ends the connection, because the start of the next message is unknown.
func (s *Session) readMessages(arrival Arrival, rest []byte, handle func(wire.Message)) []byte {
	buf, anyComplete := arrival.Data, false // valid during this round only
	var following []byte                    // data after the message begun in rest, which alone is reassembled
	if len(rest) > 0 {
		missing := min(len(arrival.Data), wire.Missing(rest, arrival.Data))
		s.Counters[state.Copied] += uint64(missing)
		buf, following = append(rest, arrival.Data[:missing]...), arrival.Data[missing:]
	}
	for ; ; anyComplete = true {
		if s.connOwners[arrival.Conn] == nil {
			return nil // an earlier message ended the connection
		}
		message, n, err := wire.NextInto(buf, s.params)
		if message.Params != nil {
			s.params = message.Params
		}
		if err != nil {
			s.Counters[state.InvalidIn]++
			s.log.Debug("invalid message on connection", "error", err)
			if caller, ok := s.connOwners[arrival.Conn].(*state.Caller); ok {
				s.disconnectCaller(caller, err)
			} else {
				s.closeConn(arrival.Conn, err)
			}
			return nil
		}
		if n == 0 && len(buf) == 0 && len(following) > 0 {
			buf, following = following, nil
			continue
		}
		if n == 0 {
			if !anyComplete && len(rest) > 0 {
				return buf // the partial message grew and is still incomplete
			}
			if len(buf) == 0 || cap(rest) > 4*len(buf)+256 {
				rest = nil // do not retain a large buffer for few bytes
			}
			s.Counters[state.Copied] += uint64(len(buf))
			return append(rest[:0], buf...)
		}
		handle(message)
		buf = buf[n:]
	}
}

// closeConn writes what is pending for a connection and closes it.
func (s *Session) closeConn(conn state.Conn, err error) {
	switch role := s.connOwners[conn].(type) {
	case *state.Caller:
		s.sendRetainedBeforeClose(role)
		s.writeCaller(role)
	case *state.OfficeConn:
		s.writeOffice(role)
	}
	_ = conn.Close() // the connection is being abandoned
	s.connClosed(conn, err)
}

func (s *Session) connClosed(conn state.Conn, err error) {
	role := s.connOwners[conn]
	delete(s.connOwners, conn)
	switch role := role.(type) {
	case *state.Caller:
		s.callerDisconnected(role, err)
	case *state.OfficeConn:
		s.officeDisconnected(role, err)
	case *journal:
		s.journalDisconnected(err)
	case *state.ControlConn:
		s.controlDisconnected(role)
	}
}

// dial opens an office connection, or the journal connection if officeConn is nil.
func (s *Session) dial(address string, officeConn *state.OfficeConn) uint64 {
	s.lastDialID++
	id := s.lastDialID
	s.dials[id] = officeConn
	s.wheel.Set(s.now+s.dialTimeout, state.Timer{Kind: state.TimerDial, ID: id})
	s.net.Dial(address, id)
	return id
}

func (s *Session) dialFinished(arrival Arrival) {
	officeConn, ok := s.dials[arrival.Dial]
	if !ok { // the dial timed out and was abandoned
		if arrival.Conn != nil {
			_ = arrival.Conn.Close() // nothing was written to it
		}
		return
	}
	delete(s.dials, arrival.Dial)
	switch {
	case arrival.Err != nil && officeConn == nil:
		s.journalDisconnected(arrival.Err)
	case arrival.Err != nil:
		s.officeDialFailed(officeConn, arrival.Err)
	case officeConn == nil:
		s.journalConnected(arrival.Conn)
	default:
		s.officeConnected(officeConn, arrival.Conn)
	}
}
