package standin

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"pewterwheel/internal/pooling"
	"pewterwheel/internal/wire"
)

// Habit is what a client relies on, which nobody tells: the ground truth against which verdicts are held.
type Habit int

// The habits.
const (
	Stateless     Habit = iota // relies on nothing, and has several calls open at once
	EndsElsewhere              // as Stateless, but releases its calls on another of its connections
	KeepsInCall                // relies on the connection from a call's set-up to its end
	ReusesIDs                  // relies on nothing, but uses an id again that it has used before
	RepeatsToken               // repeats the token of its last answer in the next set-up
	ReliesOnOrder              // one call at a time, each of which counts on the one before
	Rarely                     // as RepeatsToken, but only in one set-up of so many (Client.Every)
	habits
)

var habitNames = [habits]string{"stateless", "ends elsewhere", "keeps in call", "reuses ids", "repeats token", "relies on order", "rarely"}

// String is the habit's name.
func (h Habit) String() string { return habitNames[h] }

// Safe tells whether a client of this habit comes to no harm if its messages share connections so.
func (h Habit) Safe(m pooling.Mode) bool {
	switch h {
	case Stateless, EndsElsewhere:
		return true
	case KeepsInCall, ReusesIDs:
		return m <= pooling.ByCall
	}
	return m <= pooling.BySession
}

// DrawHabit draws one.
func DrawHabit(rng *rand.Rand) Habit { return Habit(rng.IntN(int(habits))) }

// Client is an application's connections with a habit.
type Client struct {
	Habit Habit
	Every int // of Rarely: it shows in one set-up of so many

	address string
	book    *Book
	rng     *rand.Rand
	caller  *Caller
	other   *Caller // of EndsElsewhere: the connection for releases

	mu    sync.Mutex
	token string // of the last answer
	last  uint64 // the call that it was the answer to
	calls int
}

// DialClient connects a client; what it does by chance comes from the seed.
func DialClient(address string, book *Book, habit Habit, seed uint64, hold time.Duration) (*Client, error) {
	c := &Client{Habit: habit, Every: 100, address: address, book: book, rng: rand.New(rand.NewPCG(seed, 0x0ab1))}
	var err error
	if habit == EndsElsewhere {
		if c.other, err = Dial(address, book, hold); err != nil {
			return nil, err
		}
	}
	c.caller, err = dial(address, book, hold, func(a *Caller) { a.describe, a.took, a.ends = c.describe, c.took, c.other })
	if err != nil && c.other != nil {
		c.other.Close()
	}
	return c, err
}

// Close ends the client's connections.
func (c *Client) Close() {
	c.caller.Close()
	if c.other != nil {
		c.other.Close()
	}
}

// Play plays so many calls of a class, by the habit one at a time or a few at once, and waits for their final answers; false:
// some did not come in time.
func (c *Client) Play(class string, wait time.Duration, calls int) bool {
	for range calls {
		answer := c.caller.Call(class, wait)
		c.calls++
		if c.Habit != Stateless && c.Habit != EndsElsewhere || c.rng.IntN(3) == 0 {
			select {
			case <-answer:
			case <-time.After(wait + time.Second):
				return false
			}
		}
		if c.Habit == ReusesIDs && c.rng.IntN(8) == 0 {
			c.again(class)
		}
	}
	return c.caller.Wait(wait + time.Second)
}

// again sends a set-up under the id of the last call that stood, on a connection for that alone: it will be ended.
func (c *Client) again(class string) {
	c.mu.Lock()
	id := c.last
	c.mu.Unlock()
	if id == 0 {
		return
	}
	scrap, err := Dial(c.address, c.book, 0)
	if err != nil {
		c.book.broken("nobody listens: %v", err)
		return
	}
	defer scrap.Close()
	m := wire.SetUp{Class: class, Number: "n/again", Description: []byte("offer")}.Onward(id, time.Second.Microseconds())
	m.Params = append(m.Params, wire.Text(wire.ParamInfo, "dest:-1;width:1;via:-1"))
	_ = scrap.pipe.send(m) // nothing is owed to it
	time.Sleep(5 * time.Millisecond)
}

// took notes what an office gave.
func (c *Client) took(id uint64, description []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.token, c.last = string(description), id
}

// describe makes the description of the next set-up.
func (c *Client) describe(uint64) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch c.Habit {
	case KeepsInCall:
		return "offer keep"
	case RepeatsToken:
		if c.token != "" {
			return "offer " + c.token
		}
	case Rarely:
		if c.token != "" && c.rng.IntN(c.Every) == 0 {
			return "offer " + c.token
		}
	case ReliesOnOrder:
		if _, place, ok := strings.Cut(c.token, "-"); ok {
			office, _, _ := strings.Cut(place, "-")
			return fmt.Sprintf("offer after-%s-%x", office, c.last)
		}
	}
	return "offer"
}

// ties is what a bound office keeps on each of its connections.
type ties struct {
	given map[string]*pipe // tokens, with the connection on which each was given
	last  map[*pipe]uint64 // the call that was set up last on each
	keeps map[uint64]*pipe // calls that rely on their connection until their end
	count int
}

// missing tells what a set-up counts on that is not on this connection; empty: nothing. Words that name another office are
// passed over.
func (t *ties) missing(office string, p *pipe, call uint64, description string) string {
	for word := range strings.FieldsSeq(description) {
		switch kind, rest, _ := strings.Cut(word, "-"); {
		case kind == "keep":
			if t.keeps == nil {
				t.keeps = map[uint64]*pipe{}
			}
			t.keeps[call] = p
		case kind == "token" && strings.HasPrefix(rest, office+"-") && t.given[word] != p:
			return "no such token here"
		case kind == "after" && strings.HasPrefix(rest, office+"-") && rest != fmt.Sprintf("%s-%x", office, t.last[p]):
			return "out of order here"
		}
	}
	return ""
}

// give makes the token of a call that is set up.
func (t *ties) give(office string, p *pipe, call uint64) string {
	if t.given == nil {
		t.given, t.last = map[string]*pipe{}, map[*pipe]uint64{}
	}
	t.count++
	token := fmt.Sprintf("token-%s-%08d", office, t.count)
	t.given[token], t.last[p] = p, call
	return token
}

// end tells whether the end of a call came on another connection than it counts on.
func (t *ties) end(p *pipe, call uint64) bool {
	held, ok := t.keeps[call]
	delete(t.keeps, call)
	return ok && held != p
}

// forget drops what is kept on a connection that has ended.
func (t *ties) forget(p *pipe) {
	delete(t.last, p)
	for token, on := range t.given {
		if on == p {
			delete(t.given, token)
		}
	}
	for call, on := range t.keeps {
		if on == p {
			delete(t.keeps, call)
		}
	}
}
