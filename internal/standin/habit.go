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

// Mind is what a client of a habit remembers, and what it puts into its set-ups by it. A word in a set-up's description that
// begins with token-, after- or keep is what it relies on; see Ties.
type Mind struct {
	Habit Habit
	Every int // of Rarely: it shows in one set-up of so many

	rng   *rand.Rand
	token string // of the last answer
	last  uint64 // the call that it was the answer to
}

// NewMind makes one; what it does by chance comes from the seed.
func NewMind(habit Habit, seed uint64) *Mind {
	return &Mind{Habit: habit, Every: 100, rng: rand.New(rand.NewPCG(seed, 0x0ab1))}
}

// OneAtATime tells whether the client waits for one call's answer before its next set-up.
func (m *Mind) OneAtATime() bool { return m.Habit != Stateless && m.Habit != EndsElsewhere }

// Took notes what an office gave with the answer to a call.
func (m *Mind) Took(id uint64, description string) { m.token, m.last = description, id }

// Describe makes the description of the next set-up.
func (m *Mind) Describe() string {
	switch m.Habit {
	case KeepsInCall:
		return "offer keep"
	case RepeatsToken:
		if m.token != "" {
			return "offer " + m.token
		}
	case Rarely:
		if m.token != "" && m.rng.IntN(m.Every) == 0 {
			return "offer " + m.token
		}
	case ReliesOnOrder:
		if _, place, ok := strings.Cut(m.token, "-"); ok {
			office, _, _ := strings.Cut(place, "-")
			return fmt.Sprintf("offer after-%s-%x", office, m.last)
		}
	}
	return "offer"
}

// Client is an application's connections with a habit.
type Client struct {
	address string
	book    *Book
	caller  *Caller
	other   *Caller // of EndsElsewhere: the connection for releases

	mu   sync.Mutex
	mind *Mind
}

// DialClient connects a client; what it does by chance comes from the seed.
func DialClient(address string, book *Book, habit Habit, seed uint64, hold time.Duration) (*Client, error) {
	c := &Client{address: address, book: book, mind: NewMind(habit, seed)}
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
		if c.mind.OneAtATime() || c.chance(3) {
			select {
			case <-answer:
			case <-time.After(wait + time.Second):
				return false
			}
		}
		if c.mind.Habit == ReusesIDs && c.chance(8) {
			c.again(class)
		}
	}
	return c.caller.Wait(wait + time.Second)
}

// again sends a set-up under the id of the last call that stood, on a connection for that alone: it will be ended.
func (c *Client) again(class string) {
	c.mu.Lock()
	id := c.mind.last
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

func (c *Client) chance(one int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.mind.rng.IntN(one) == 0
}

func (c *Client) took(id uint64, description []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.mind.Took(id, string(description))
}

func (c *Client) describe(uint64) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.mind.Describe()
}

// Ties is what a bound office keeps on each of its connections, which are any values that can be told apart.
type Ties struct {
	given map[string]any // tokens, with the connection on which each was given
	last  map[any]uint64 // the call that was set up last on each
	keeps map[uint64]any // calls that rely on their connection until their end
	count int
}

// Missing tells what a set-up counts on that is not on this connection; empty: nothing. Words that name another office are
// passed over.
func (t *Ties) Missing(office string, p any, call uint64, description string) string {
	for word := range strings.FieldsSeq(description) {
		switch kind, rest, _ := strings.Cut(word, "-"); {
		case kind == "keep":
			if t.keeps == nil {
				t.keeps = map[uint64]any{}
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

// Give makes the token of a call that is set up.
func (t *Ties) Give(office string, p any, call uint64) string {
	if t.given == nil {
		t.given, t.last = map[string]any{}, map[any]uint64{}
	}
	t.count++
	token := fmt.Sprintf("token-%s-%08d", office, t.count)
	t.given[token], t.last[p] = p, call
	return token
}

// End tells whether the end of a call came on another connection than it counts on.
func (t *Ties) End(p any, call uint64) bool {
	held, ok := t.keeps[call]
	delete(t.keeps, call)
	return ok && held != p
}

// Forget drops what is kept on a connection that has ended.
func (t *Ties) Forget(p any) {
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
