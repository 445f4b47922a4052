package config

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"
)

// The findings about sections and keys.
const (
	UnknownSection Kind = "unknown-section"
	SectionName    Kind = "section-name"
	UnknownKey     Kind = "unknown-key"
	MissingKey     Kind = "missing-key"
	MissingSection Kind = "missing-section"
	ClassNoPool    Kind = "class-without-pool"
	HostNoPool     Kind = "host-without-pool"
	HostAddress    Kind = "host-is-address"
	HostCapitals   Kind = "host-capitals"
	HostDot        Kind = "host-trailing-dot"
	HostForm       Kind = "host-form"
	HostPunycode   Kind = "host-look-alike"
	HostDomain     Kind = "host-outside-domain"
)

// FileKind is what a file is: it follows from the sections in it.
type FileKind int

// The kinds of file.
const (
	SiteFile FileKind = iota + 1
	Declaration
	SidecarFile
)

func (k FileKind) String() string {
	return [...]string{"no file", "site file", "declaration", "sidecar file"}[k]
}

// Block is one section with its values, the defaults included.
type Block struct {
	Section *Section
	Name    string
	File    string
	Line    int
	values  map[string]Value // those that could be read
	lines   map[string]int   // of the keys that the file gives
}

// Title is the section as a file has it, without brackets.
func (b *Block) Title() string {
	if b.Name == "" {
		return b.Section.Kind
	}
	return b.Section.Kind + " " + b.Name
}

// at is the line of a key, or that of the section if a default holds.
func (b *Block) at(key string) int {
	if line, ok := b.lines[key]; ok {
		return line
	}
	return b.Line
}

func (b *Block) value(key string) (Value, bool) {
	if b == nil {
		return Value{}, false
	}
	v, ok := b.values[key]
	return v, ok
}

// num is a figure; false if it could not be read.
func (b *Block) num(key string) (float64, bool) {
	v, ok := b.value(key)
	return v.Num, ok
}

func (b *Block) text(key string) string {
	v, _ := b.value(key)
	return v.Text
}

func (b *Block) socket(key string) (netip.AddrPort, bool) {
	v, ok := b.value(key)
	return v.Socket, ok && v.Socket.IsValid()
}

// Document is one file, read. It may be incomplete where findings say so.
type Document struct {
	File   string
	Kind   FileKind
	Blocks []*Block
}

// of returns the sections of a kind, in the order of the file.
func (d *Document) of(kind string) []*Block {
	if d == nil {
		return nil
	}
	var bs []*Block
	for _, b := range d.Blocks {
		if b.Section.Kind == kind {
			bs = append(bs, b)
		}
	}
	return bs
}

// one returns the section of a kind that stands once; nil if it could not be read.
func (d *Document) one(kind string) *Block {
	if bs := d.of(kind); len(bs) > 0 {
		return bs[0]
	}
	return nil
}

func (d *Document) owns(o Owner) bool {
	return slices.ContainsFunc(d.Blocks, func(b *Block) bool { return b.Section.Owner == o && b.Line > 0 })
}

// Read reads one file and checks it as far as that goes without others.
func Read(file string, text []byte, fs *Findings) *Document {
	d := &Document{File: file}
	for _, raw := range scan(file, text, fs) {
		s := sectionOf(raw.kind)
		if s == nil {
			fs.add(file, raw.line, UnknownSection, fmt.Sprintf("section [%s] is not known", raw.title()), nearest(raw.kind, kinds()))
			continue
		}
		if !named(file, raw, s, fs) {
			continue
		}
		d.Blocks = append(d.Blocks, readBlock(file, raw, s, fs))
	}
	switch site, app := d.owns(OfSite), d.owns(OfApplication) || d.owns(OfWriter); {
	case site && app:
		d.Kind = SidecarFile
	case site:
		d.Kind = SiteFile
	case app:
		d.Kind = Declaration
	default:
		return d // nothing in it could be read, and that was said
	}
	d.complete(fs)
	return d
}

func kinds() []string {
	var names []string
	for _, s := range Sections {
		names = append(names, s.Kind)
	}
	return names
}

// named checks what stands behind a section's kind.
func named(file string, raw *section, s *Section, fs *Findings) bool {
	title := fmt.Sprintf("section [%s]", raw.title())
	switch {
	case s.Named == Alone && raw.name != "":
		fs.add(file, raw.line, SectionName, title+" has a name", fmt.Sprintf("write [%s]; there is one", s.Kind))
	case s.Named == ByWord && !word().MatchString(raw.name):
		fs.add(file, raw.line, SectionName, title+" has no usable name", fmt.Sprintf("write [%s NAME], the name of lower-case letters, digits and hyphens", s.Kind))
	case s.Named == ByHost && raw.name == "":
		fs.add(file, raw.line, SectionName, title+" names no host", fmt.Sprintf("write [%s office-1.example.org]", s.Kind))
	default:
		return true
	}
	return false
}

func readBlock(file string, raw *section, s *Section, fs *Findings) *Block {
	b := &Block{Section: s, Name: raw.name, File: file, Line: raw.line, values: map[string]Value{}, lines: map[string]int{}}
	for _, e := range raw.entries {
		set := s.setting(e.key)
		if set == nil {
			var known []string
			for _, k := range s.Settings {
				known = append(known, k.Key)
			}
			fs.add(file, e.line, UnknownKey, fmt.Sprintf("key %s is not known in [%s]", quote(e.key), s.Kind), nearest(e.key, known))
			continue
		}
		b.lines[e.key] = e.line
		v, err := set.read(e.text)
		if p, bad := err.(*problem); bad {
			kind, right := p.kind, p.right
			if kind == EmptyValue && s.Kind == "class" && e.key == "pools" {
				kind, right = ClassNoPool, "name one pool at least"
			}
			fs.add(file, e.line, kind, p.what, right)
			if kind == IPv6 { // a listener there still claims its port
				b.values[e.key] = v
			}
			continue
		}
		b.values[e.key] = v
	}
	for i := range s.Settings {
		b.fill(&s.Settings[i], fs)
	}
	return b
}

// fill gives a setting that the file leaves out its default, or says that it is missing.
func (b *Block) fill(set *Setting, fs *Findings) {
	if _, given := b.lines[set.Key]; given {
		return
	}
	if set.required() {
		kind, what := MissingKey, fmt.Sprintf("[%s] lacks %s", b.Title(), set.Key)
		switch {
		case b.Section.Kind == "class" && set.Key == "pools":
			kind, what = ClassNoPool, fmt.Sprintf("class %s names no pool", b.Name)
		case b.Section.Kind == "host" && set.Key == "pool":
			kind, what = HostNoPool, fmt.Sprintf("host %s is in no pool", b.Name)
		}
		fs.add(b.File, b.Line, kind, what, fmt.Sprintf("add %s = %s; it is %s", set.Key, set.example(), set.Doc))
		return
	}
	if set.Default != "" {
		b.values[set.Key], _ = set.read(set.Default) // the table's own; a test reads them all
	}
}

// complete adds sections that hold defaults alone, and says which are missing.
func (d *Document) complete(fs *Findings) {
	for i := range Sections {
		s := &Sections[i]
		wanted := d.Kind == SidecarFile && s.Owner != OfWriter || d.Kind == SiteFile && s.Owner == OfSite ||
			d.Kind == Declaration && s.Owner == OfApplication
		if !wanted || len(d.of(s.Kind)) > 0 {
			continue
		}
		if s.Required {
			fs.add(d.File, 0, MissingSection, fmt.Sprintf("the %s has no [%s]", d.Kind, s.Kind), "add one; it is "+s.Doc)
			continue
		}
		if s.Named == Alone && !s.Absent {
			d.Blocks = append(d.Blocks, readBlock(d.File, &section{kind: s.Kind}, s, fs))
		}
	}
}

// checkHost checks a host's name against the site's domain. Names are compared to the letter and label by label:
// whatever else a resolver may make of a name, a person who reads the file must see which domain it is in.
func checkHost(b *Block, domain string, fs *Findings) {
	name := b.Name
	right := fmt.Sprintf("write a name below %s, in lower case, like office-1.%s", domain, domain)
	if domain == "" {
		right = "write a name below the site's domain, in lower case"
	}
	say := func(kind Kind, what string) {
		fs.add(b.File, b.Line, kind, fmt.Sprintf("host %s %s", quote(name), what), right)
	}
	_, err := netip.ParseAddr(strings.Trim(name, "[]"))
	_, err2 := netip.ParseAddrPort(name)
	labels := strings.Split(name, ".")
	switch {
	case err == nil || err2 == nil:
		say(HostAddress, "is a bare address where a name is wanted")
	case strings.ToLower(name) != name:
		say(HostCapitals, "has capitals")
	case strings.HasSuffix(name, "."):
		say(HostDot, "ends with a dot")
	case slices.ContainsFunc(labels, func(l string) bool { return strings.HasPrefix(l, "xn--") }) || strings.ContainsFunc(name, func(r rune) bool { return r > '~' }):
		say(HostPunycode, "may look like another name than it is")
	case len(name) > 253 || slices.ContainsFunc(labels, func(l string) bool { return !label().MatchString(l) }):
		say(HostForm, "is no host's name")
	case domain != "" && !strings.HasSuffix(name, "."+domain):
		say(HostDomain, "is outside the site's domain "+domain)
	}
}
