package service

import (
	"encoding/json"
	"io"
	"log/slog"
	"net"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"pewterwheel/internal/wire"
)

// A second process takes over from a first that serves: both answer, no caller is left without one, and the end of a
// call that the first set up reaches its caller by the second. Guards against "address already in use", at which the
// second ended.
func TestTakeOver(t *testing.T) {
	office, journal, listen := port(t), port(t), free(t)
	go func() { // only the connections count
		for {
			if _, err := journal.Accept(); err != nil {
				return
			}
		}
	}()
	start := func(control string) (chan os.Signal, chan error, *peer) {
		signals, ended := make(chan os.Signal, 1), make(chan error, 1)
		read := func() (cfg Config, err error) {
			return cfg, json.Unmarshal([]byte(configuration(listen, control, journal, office)), &cfg)
		}
		go func() { ended <- Run(read, signals, slog.New(slog.DiscardHandler)) }()
		conn, err := office.Accept()
		server := newPeer(t, conn, err)
		for by := time.Now().Add(patience); !strings.HasPrefix(ask(t, control, wire.AskReady), "200"); {
			if time.Now().After(by) {
				t.Fatal("never ready")
			}
		}
		return signals, ended, server
	}
	call := func(id uint64, server, caller *peer) {
		t.Helper()
		caller.write(setUp(id))
		server.want(wire.TypeSetUp, id)
		server.write(answerTo(id))
		caller.want(wire.TypeAnswer, id)
	}
	dial := func() *peer {
		t.Helper()
		conn, err := net.Dial("tcp4", listen)
		return newPeer(t, conn, err)
	}
	oldControl, newControl := free(t), free(t)
	signals, ended, oldServer := start(oldControl)
	first := dial()
	call(1, oldServer, first)
	newSignals, newEnded, newServer := start(newControl)
	signals <- syscall.SIGTERM
	second := dial()
	call(2, newServer, second)
	call(3, oldServer, first) // what is connected may still ask
	if n, err := first.conn.Read(make([]byte, 1)); n != 0 || err != io.EOF {
		t.Errorf("the first caller's connection gave %d bytes, %v", n, err)
	}
	if err := <-ended; err != nil {
		t.Error(err)
	}
	newServer.write(wire.ReleaseOf(1, wire.CauseNormal))
	second.want(wire.TypeRelease, 1)
	newSignals <- syscall.SIGTERM
	if err := <-newEnded; err != nil {
		t.Error(err)
	}
}
