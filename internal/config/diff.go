package config

import (
	"fmt"
	"slices"
	"strings"
)

// Change is one difference in meaning between two files.
type Change struct {
	Section string `json:"section"`
	What    string `json:"what"`
	Reload  bool   `json:"reload"` // takes effect on reload; else at the next start
}

func (c Change) String() string {
	when := "at the next start"
	if c.Reload {
		when = "on reload"
	}
	return fmt.Sprintf("[%s] %s (%s)", c.Section, c.What, when)
}

// same tells whether two values mean the same, however they are written.
func same(t Type, a, b Value) bool {
	switch t {
	case Words:
		return slices.Equal(a.List, b.List)
	case Socket:
		return a.Socket == b.Socket
	case Ports:
		return a.Ports == b.Ports
	case Word, Choice, Domain, Path:
		return a.Text == b.Text
	}
	return a.Num == b.Num
}

// Diff tells what changes in meaning from one file to another of the same kind: not how it is written, in what order,
// or whether a default is spelled out.
func Diff(old, new *Document) []Change {
	var cs []Change
	for _, s := range Sections {
		before, after := blocks(old, s.Kind), blocks(new, s.Kind)
		for _, b := range new.of(s.Kind) {
			if was := before[b.Name]; was != nil {
				cs = append(cs, compare(&s, was, b)...)
			} else {
				cs = append(cs, Change{b.Title(), "is new" + about(b), reloadable(&s)})
			}
		}
		for _, b := range old.of(s.Kind) {
			if after[b.Name] == nil {
				cs = append(cs, Change{b.Title(), "is gone" + about(b), reloadable(&s)})
			}
		}
	}
	return cs
}

func blocks(d *Document, kind string) map[string]*Block {
	m := map[string]*Block{}
	for _, b := range d.of(kind) {
		m[b.Name] = b
	}
	return m
}

// reloadable tells whether sections of that kind may come and go on reload: hosts may, and limits with them, members and
// changes; pools and classes are what the running module was built for.
func reloadable(s *Section) bool {
	return s.Kind == "host" || s.Kind == "limit" || s.Kind == "member" || s.Kind == "change"
}

// about says of a host which pool gains or loses it, and what happens there.
func about(b *Block) string {
	if b.Section.Kind != "host" {
		return ""
	}
	return fmt.Sprintf(": pool %s, %s, %s", b.text("pool"), b.text("address"), b.text("state"))
}

func compare(s *Section, was, is *Block) []Change {
	var cs []Change
	for _, set := range s.Settings {
		a, ok := was.value(set.Key)
		b, ok2 := is.value(set.Key)
		c := Change{Section: is.Title(), Reload: set.Reload}
		switch {
		case !ok && !ok2 || ok && ok2 && same(set.Type, a, b):
			continue
		case !ok:
			c.What = fmt.Sprintf("%s is set to %s", set.Key, b.Text)
		case !ok2:
			c.What = fmt.Sprintf("%s, %s, is no longer set", set.Key, a.Text)
		case s.Kind == "host" && set.Key == "address":
			c.What = fmt.Sprintf("moves from %s to %s; the new one starts cold, calls at the old one go on", a.Text, b.Text)
		case s.Kind == "host" && set.Key == "state" && b.Text == "draining":
			c.What = "drains: nothing new is sent there, what stands goes on"
		case set.Type == Words:
			c.What = fmt.Sprintf("%s go from %s to %s", set.Key, strings.Join(a.List, ", "), strings.Join(b.List, ", "))
		case set.Type.figure() && b.Num > a.Num:
			c.What = fmt.Sprintf("%s rises from %s to %s", set.Key, a.Text, b.Text)
		case set.Type.figure():
			c.What = fmt.Sprintf("%s falls from %s to %s", set.Key, a.Text, b.Text)
		default:
			c.What = fmt.Sprintf("%s goes from %s to %s", set.Key, a.Text, b.Text)
		}
		cs = append(cs, c)
	}
	return cs
}

func (t Type) figure() bool { return t == Count || t == Figure || units[t] != nil }
