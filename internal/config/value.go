package config

import (
	"errors"
	"fmt"
	"math"
	"net/netip"
	"path"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"unicode"
)

// Type is what a setting's value is.
type Type int

// The types of value. Durations, sizes, rates and parts carry a unit.
const (
	Word     Type = iota + 1 // a name of our own: lower-case letters, digits and hyphens
	Words                    // several of them, with commas
	Choice                   // one of a few words
	Count                    // a whole number
	Figure                   // a number
	Duration                 // microseconds
	Size                     // bytes
	Rate                     // a second
	Part                     // of one
	Domain                   // a domain's name
	Socket                   // an IPv4 address with a port
	Ports                    // a range of ports
	Path                     // a file's path from the root on
)

// The findings about a value alone.
const (
	EmptyValue  Kind = "empty-value"
	NoUnit      Kind = "no-unit"
	WrongUnit   Kind = "wrong-unit"
	NotNumber   Kind = "not-a-number"
	NotFinite   Kind = "not-finite"
	Negative    Kind = "negative"
	NotWhole    Kind = "not-whole"
	TooSmall    Kind = "too-small"
	TooLargeNum Kind = "too-large"
	BadChoice   Kind = "unknown-word"
	BadName     Kind = "bad-name"
	RepeatedIn  Kind = "repeated-in-list"
	BadAddress  Kind = "bad-address"
	NameForAddr Kind = "name-for-address"
	IPv6        Kind = "ipv6-address"
	PortZero    Kind = "port-zero"
	PortRange   Kind = "port-range"
	BadPorts    Kind = "bad-port-range"
	BadPath     Kind = "bad-path"
)

// Value is a setting's value, read.
type Value struct {
	Text   string
	Num    float64 // Count, Figure, Duration, Size, Rate, Part, in the units above
	List   []string
	Socket netip.AddrPort
	Ports  [2]int // first and last
}

// problem is why a value cannot be read.
type problem struct {
	kind        Kind
	what, right string
}

func (p *problem) Error() string { return p.what + "; " + p.right }

type unit struct {
	name  string
	times float64
}

// units of each type, the smallest first.
var units = map[Type][]unit{
	Duration: {{"us", 1}, {"ms", 1e3}, {"s", 1e6}, {"m", 60e6}, {"h", 3600e6}},
	Size:     {{"B", 1}, {"KiB", 1 << 10}, {"MiB", 1 << 20}, {"GiB", 1 << 30}},
	Rate:     {{"/h", 1.0 / 3600}, {"/min", 1.0 / 60}, {"/s", 1}},
	Part:     {{"%", 0.01}},
}

var (
	// Made when first used: the platform's program holds them, too, and never reads INI.
	number = sync.OnceValue(func() *regexp.Regexp {
		return regexp.MustCompile(`^([+-]?(?:[0-9.]+(?:[eE][+-]?[0-9]+)?|(?i:nan|inf(?:inity)?)))\s*(.*)$`)
	})
	word  = sync.OnceValue(func() *regexp.Regexp { return regexp.MustCompile(`^[a-z][a-z0-9-]{0,62}$`) })
	label = sync.OnceValue(func() *regexp.Regexp { return regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`) })
)

// largest figure of any setting: above it one in microseconds or bytes is no longer exact.
const largest = 1e15

func unitNames(t Type) []string {
	var names []string
	for _, u := range units[t] {
		names = append(names, u.name)
	}
	return names
}

// example is a sound value, for messages.
func (t Type) example() string {
	return map[Type]string{Word: "core-1", Words: "core, reserve", Count: "4", Figure: "1.5", Duration: "800ms", Size: "256MiB",
		Rate: "40/s", Part: "25%", Domain: "example.org", Socket: "127.0.0.1:20001", Ports: "20000-29999", Path: "/etc/pewterwheel/next.ini"}[t]
}

// read reads a value as the setting has it.
func (s *Setting) read(text string) (Value, error) {
	v := Value{Text: text}
	if text == "" {
		return v, &problem{EmptyValue, fmt.Sprintf("%s has no value", s.Key), fmt.Sprintf("give one, like %s, or take the line out", s.example())}
	}
	var err error
	switch s.Type {
	case Word:
		err = checkWord(s.Key, text)
	case Words:
		for w := range strings.SplitSeq(text, ",") {
			w = strings.TrimSpace(w)
			if slices.Contains(v.List, w) {
				return v, &problem{RepeatedIn, fmt.Sprintf("%s names %s twice", s.Key, quote(w)), "name each once, in the order of choice"}
			}
			if err := checkWord(s.Key, w); err != nil {
				return v, err
			}
			v.List = append(v.List, w)
		}
	case Choice:
		if !slices.Contains(s.Choices, text) {
			err = &problem{BadChoice, fmt.Sprintf("%s is %s", s.Key, quote(text)), nearest(text, s.Choices)}
		}
	case Domain:
		err = checkDomain(s.Key, text)
	case Socket:
		v.Socket, err = readSocket(s.Key, text)
	case Ports:
		v.Ports, err = readPorts(s.Key, text)
	case Path:
		err = checkPath(s.Key, text)
	default:
		v.Num, err = s.number(text)
	}
	return v, err
}

func (s *Setting) example() string {
	if len(s.Choices) > 0 {
		return s.Choices[0]
	}
	return s.Type.example()
}

// number reads a number with its unit and holds it against the setting's bounds.
func (s *Setting) number(text string) (float64, error) {
	m := number().FindStringSubmatch(text)
	if m == nil {
		return 0, &problem{NotNumber, fmt.Sprintf("%s is %s, which is no number", s.Key, quote(text)), "write it like " + s.example()}
	}
	n, err := strconv.ParseFloat(m[1], 64)
	if errors.Is(err, strconv.ErrRange) || math.IsInf(n, 0) || math.IsNaN(n) {
		return 0, &problem{NotFinite, fmt.Sprintf("%s is %s, which is no finite number", s.Key, quote(text)), "write it like " + s.example()}
	}
	if err != nil {
		return 0, &problem{NotNumber, fmt.Sprintf("%s is %s, which is no number", s.Key, quote(text)), "write it like " + s.example()}
	}
	if known := units[s.Type]; known != nil {
		i := slices.IndexFunc(known, func(u unit) bool { return u.name == m[2] })
		switch {
		case m[2] == "":
			return 0, &problem{NoUnit, fmt.Sprintf("%s is %s, without a unit", s.Key, quote(text)),
				fmt.Sprintf("write one of %s behind it, like %s", join(unitNames(s.Type)), s.example())}
		case i < 0:
			return 0, &problem{WrongUnit, fmt.Sprintf("%s is %s, with the unit %s", s.Key, quote(text), quote(m[2])),
				fmt.Sprintf("its units are %s", join(unitNames(s.Type)))}
		}
		n *= known[i].times
		if whole := math.Round(n); math.Abs(n-whole) < 1e-9*max(1, whole) {
			n = whole // 1.1 thousand is not quite 1,100 in binary
		}
	} else if m[2] != "" {
		return 0, &problem{WrongUnit, fmt.Sprintf("%s is %s, with a unit", s.Key, quote(text)), "it is a plain number, like " + s.example()}
	}
	switch {
	case n < 0:
		return 0, &problem{Negative, fmt.Sprintf("%s is %s, less than nothing", s.Key, quote(text)), "write " + s.bounds()}
	case s.Type != Figure && s.Type != Rate && s.Type != Part && n != math.Trunc(n):
		return 0, &problem{NotWhole, fmt.Sprintf("%s is %s, which is no whole number of the smallest unit", s.Key, quote(text)), "write " + s.bounds()}
	case n < s.Min:
		return 0, &problem{TooSmall, fmt.Sprintf("%s is %s", s.Key, quote(text)), "write " + s.bounds()}
	case n > s.max():
		return 0, &problem{TooLargeNum, fmt.Sprintf("%s is %s", s.Key, quote(text)), "write " + s.bounds()}
	}
	return n, nil
}

func (s *Setting) max() float64 {
	if s.Max == 0 {
		return largest
	}
	return s.Max
}

// bounds says what a setting may be.
func (s *Setting) bounds() string {
	if s.Max == 0 {
		return format(s.Type, s.Min) + " or more"
	}
	return format(s.Type, s.Min) + " to " + format(s.Type, s.Max)
}

// format writes a figure with the largest unit in which it is a whole number, else with the usual one.
func format(t Type, n float64) string {
	plain := func(n float64) string { return strconv.FormatFloat(math.Round(n*1e6)/1e6, 'f', -1, 64) }
	switch {
	case t == Duration && n == 0:
		return "0s"
	case t == Duration || t == Size:
		for _, u := range slices.Backward(units[t]) {
			if n >= u.times && n == math.Trunc(n/u.times)*u.times {
				return plain(n/u.times) + u.name
			}
		}
		return plain(n) + units[t][0].name
	case t == Rate:
		return plain(n) + "/s"
	case t == Part:
		return plain(n*100) + "%"
	}
	return plain(n)
}

func checkWord(key, text string) error {
	if !word().MatchString(text) {
		return &problem{BadName, fmt.Sprintf("%s is %s, which is no name", key, quote(text)),
			"use lower-case letters, digits and hyphens, a letter first, 63 at most"}
	}
	return nil
}

func checkDomain(key, text string) error {
	labels := strings.Split(text, ".")
	if len(text) > 253 || len(labels) < 2 || slices.ContainsFunc(labels, func(l string) bool { return !label().MatchString(l) }) {
		return &problem{BadName, fmt.Sprintf("%s is %s, which is no domain", key, quote(text)), "write one in lower case, like example.org"}
	}
	return nil
}

// readSocket reads an address with its port. localhost is taken for 127.0.0.1, and nothing is looked up.
func readSocket(key, text string) (netip.AddrPort, error) {
	host, port, ok := cutPort(text)
	if !ok {
		return netip.AddrPort{}, &problem{BadAddress, fmt.Sprintf("%s is %s, without a port", key, quote(text)), "write it like 127.0.0.1:20001"}
	}
	n, err := strconv.Atoi(port)
	switch {
	case err != nil || n < 0 || n > 65535 || strconv.Itoa(n) != port:
		return netip.AddrPort{}, &problem{PortRange, fmt.Sprintf("%s has the port %s", key, quote(port)), "ports go from 1 to 65535"}
	case n == 0:
		return netip.AddrPort{}, &problem{PortZero, fmt.Sprintf("%s has the port 0, which is another one at each start", key), "name the port"}
	}
	if host == "localhost" {
		host = "127.0.0.1"
	}
	ip, err := netip.ParseAddr(strings.Trim(host, "[]"))
	if err != nil {
		if word().MatchString(strings.ReplaceAll(host, ".", "-")) {
			return netip.AddrPort{}, &problem{NameForAddr, fmt.Sprintf("%s names %s, and names are not looked up", key, quote(host)), "write the IPv4 address"}
		}
		return netip.AddrPort{}, &problem{BadAddress, fmt.Sprintf("%s is %s, which is no address", key, quote(text)), "write it like 127.0.0.1:20001"}
	}
	if !ip.Is4() {
		at := netip.AddrPortFrom(ip, uint16(n))
		return at, &problem{IPv6, fmt.Sprintf("%s is %s, which is not IPv4", key, quote(text)), "write the IPv4 address"}
	}
	return netip.AddrPortFrom(ip, uint16(n)), nil
}

func cutPort(text string) (host, port string, ok bool) {
	i := strings.LastIndexByte(text, ':')
	if i <= 0 || i == len(text)-1 || strings.HasSuffix(text, "]") {
		return text, "", false
	}
	return text[:i], text[i+1:], true
}

func readPorts(key, text string) ([2]int, error) {
	from, to, ok := strings.Cut(text, "-")
	a, err := strconv.Atoi(strings.TrimSpace(from))
	b, err2 := strconv.Atoi(strings.TrimSpace(to))
	if !ok || err != nil || err2 != nil || a < 1 || b > 65535 || a > b {
		return [2]int{}, &problem{BadPorts, fmt.Sprintf("%s is %s, which is no range of ports", key, quote(text)), "write the first and the last, like 20000-29999"}
	}
	return [2]int{a, b}, nil
}

// checkPath checks a file's path as far as that goes without looking for the file.
func checkPath(key, text string) error {
	if !strings.HasPrefix(text, "/") || strings.HasSuffix(text, "/") || len(text) > 1024 || strings.ContainsFunc(text, unicode.IsControl) ||
		path.Clean(text) != text {
		return &problem{BadPath, fmt.Sprintf("%s is %s, which is no file's path from the root on", key, quote(text)), "write it like " + Path.example()}
	}
	return nil
}
