//go:build review

package main

import (
	"fmt"
	"net"
	"sync"
	"time"
)

// client is a caller's machine with one connection, which it opens again when it has ended.
type client struct {
	b       *book
	name    string
	address string
	mu      sync.Mutex
	link    *link
}

func newClient(b *book, name, address string) *client {
	c := &client{b: b, name: name, address: address}
	c.connect()
	return c
}

// connect opens the connection; it goes on trying for 30 s.
func (c *client) connect() *link {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.link != nil {
		return c.link
	}
	for range 600 {
		conn, err := net.DialTimeout("tcp4", c.address, time.Second)
		if err == nil {
			c.link = newLink(conn)
			c.b.note("%s: connected", c.name)
			go c.read(c.link)
			return c.link
		}
		time.Sleep(50 * time.Millisecond)
	}
	fail("%s: nobody listens at %s", c.name, c.address)
	return nil
}

func (c *client) read(k *link) {
	for {
		m, err := readMessage(k)
		if err != nil {
			c.mu.Lock()
			if c.link == k {
				c.link = nil
			}
			c.mu.Unlock()
			_ = k.Close()
			c.b.note("%s: connection ended: %v", c.name, err)
			time.Sleep(20 * time.Millisecond)
			c.connect()
			return
		}
		switch m.kind {
		case tAnswer:
			c.b.with(m.call, c.name, func(k *call) {
				k.finals++
				k.answered, k.description = time.Now(), string(m.get(pDescription))
			})
			c.b.note("%s: answer %x (%s)", c.name, m.call, m.get(pDescription))
		case tRelease:
			own := false
			c.b.mu.Lock()
			if k := c.b.calls[m.call]; k != nil && k.client == c.name {
				own = true
				switch {
				case k.answered.IsZero():
					k.finals++
					k.cause = m.cause()
				case k.told.IsZero():
					k.told, k.toldCause = time.Now(), m.cause()
				}
			}
			c.b.mu.Unlock()
			c.b.note("%s: release %x, cause %d (own call: %v)", c.name, m.call, m.cause(), own)
			if own {
				_ = k.send(message{kind: tHeard, call: m.call})
			}
		}
	}
}

// setUpMessage makes a set-up: the offices answer after first and second, and hold the call for hold.
func setUpMessage(id uint64, class string, wait time.Duration, dest int, first, second, hold time.Duration, room int) message {
	return message{kind: tSetUp, call: id, params: []param{{pClass, []byte(class)},
		{pWait, []byte(fmt.Sprint(wait.Milliseconds()))},
		{pNumber, []byte(fmt.Sprintf("n/%d/%d/%d/%x", first.Milliseconds(), second.Milliseconds(), hold.Milliseconds(), id))},
		{pInfo, []byte(fmt.Sprintf("dest:%d;width:1;via:-1", dest))},
		{pDescription, make([]byte, max(1, room))}}}
}

// call sends a set-up.
func (c *client) call(class string, wait time.Duration, dest int, first, second, hold time.Duration) *call {
	k := c.connect()
	offered := c.b.offer(c.name)
	c.b.note("%s: set-up %x to place %d", c.name, offered.id, dest)
	_ = k.send(setUpMessage(offered.id, class, wait, dest, first, second, hold, 300))
	return offered
}
