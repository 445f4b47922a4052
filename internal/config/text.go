package config

import (
	"bytes"
	"fmt"
	"strings"
	"unicode/utf8"

	"gopkg.in/ini.v1"
)

// Bounds of a file. They are far above any real one, and keep a wrong file from taking the checker's time.
const (
	maxFile = 16 << 20
	maxLine = 4 << 10
)

// The findings about a file's text.
const (
	TooLarge        Kind = "too-large-file"
	EmptyFile       Kind = "empty-file"
	ByteOrderMark   Kind = "byte-order-mark"
	CarriageReturn  Kind = "carriage-return"
	Nul             Kind = "nul"
	NotUTF8         Kind = "not-utf8"
	LongLine        Kind = "long-line"
	Syntax          Kind = "syntax"
	OutsideSection  Kind = "outside-section"
	RepeatedSection Kind = "repeated-section"
	RepeatedKey     Kind = "repeated-key"
	Unclear         Kind = "unclear"
)

// entry is one key of a file as it stands there.
type entry struct {
	key, text string
	line      int
}

// section is one section of a file as it stands there.
type section struct {
	kind, name string // of [kind name]
	line       int
	entries    []entry
}

func (s *section) title() string {
	if s.name == "" {
		return s.kind
	}
	return s.kind + " " + s.name
}

// scan reads a file's sections and keys with their lines. The library that reads INI keeps no lines and merges what
// is repeated, so this reads the text on its own, and then holds what it read against what the library reads.
func scan(file string, text []byte, fs *Findings) []*section {
	if !sound(file, text, fs) {
		return nil
	}
	var sections []*section
	titles, keys := map[string]int{}, map[string]int{}
	broken := len(*fs)
	for i, line := range strings.Split(string(text), "\n") {
		n, line := i+1, strings.TrimSpace(line)
		if line == "" || line[0] == ';' || line[0] == '#' {
			continue
		}
		if line[0] == '[' {
			inner, rest, ok := strings.Cut(line[1:], "]")
			if rest = strings.TrimSpace(rest); !ok || rest != "" && rest[0] != ';' && rest[0] != '#' {
				fs.add(file, n, Syntax, "the section's name does not end", "write [kind] or [kind name] alone on the line")
				continue
			}
			kind, name, _ := strings.Cut(strings.TrimSpace(inner), " ")
			s := &section{kind: kind, name: strings.TrimSpace(name), line: n}
			if first, twice := titles[s.title()]; twice {
				fs.add(file, n, RepeatedSection, fmt.Sprintf("section [%s] stands here again", s.title()),
					fmt.Sprintf("keep one; the first is at line %d", first))
			} else {
				titles[s.title()] = n
			}
			sections = append(sections, s)
			clear(keys)
			continue
		}
		key, value, ok := strings.Cut(line, "=")
		if key = strings.TrimSpace(key); !ok || key == "" {
			fs.add(file, n, Syntax, "the line is neither a section, nor a key, nor a comment: "+quote(line),
				"write key = value, and ; before a comment")
			continue
		}
		if len(sections) == 0 {
			fs.add(file, n, OutsideSection, fmt.Sprintf("key %s stands before any section", quote(key)),
				"put it behind the [section] that it belongs to")
			continue
		}
		if first, twice := keys[key]; twice {
			fs.add(file, n, RepeatedKey, fmt.Sprintf("key %s stands here again", quote(key)),
				fmt.Sprintf("keep one; the first is at line %d", first))
			continue
		}
		keys[key] = n
		for _, mark := range []string{" ;", " #"} {
			value, _, _ = strings.Cut(value, mark)
		}
		s := sections[len(sections)-1]
		s.entries = append(s.entries, entry{key, strings.TrimSpace(value), n})
	}
	if len(*fs) == broken {
		agree(file, text, sections, fs)
	}
	if len(sections) == 0 && len(*fs) == broken {
		fs.add(file, 0, EmptyFile, "the file holds no settings", "a site file begins with [site], a declaration with [application]")
	}
	return sections
}

// sound looks for what an editor does not show, and for what no file of ours holds.
func sound(file string, text []byte, fs *Findings) bool {
	if len(text) > maxFile {
		fs.add(file, 0, TooLarge, fmt.Sprintf("the file has %d bytes", len(text)), fmt.Sprintf("%d are the most", maxFile))
		return false
	}
	before := len(*fs)
	if bytes.HasPrefix(text, []byte("\xef\xbb\xbf")) {
		fs.add(file, 1, ByteOrderMark, "the file begins with a byte-order mark", "save it as plain UTF-8, without one")
		text = text[3:]
	}
	said := map[Kind]bool{} // each once: a file from another system has it on every line
	for i, line := range bytes.Split(text, []byte("\n")) {
		for _, bad := range []struct {
			kind        Kind
			is          bool
			what, right string
		}{
			{CarriageReturn, bytes.IndexByte(line, '\r') >= 0, "the line ends with a carriage return, or holds one", "end lines with a line feed alone"},
			{Nul, bytes.IndexByte(line, 0) >= 0, "the line holds a NUL byte", "take it out; the file may have been damaged"},
			{NotUTF8, !utf8.Valid(line), "the line is no UTF-8", "save the file as UTF-8"},
			{LongLine, len(line) > maxLine, fmt.Sprintf("the line has %d bytes", len(line)), fmt.Sprintf("%d are the most", maxLine)},
		} {
			if bad.is && !said[bad.kind] {
				said[bad.kind] = true
				fs.add(file, i+1, bad.kind, bad.what, bad.right)
			}
		}
	}
	return len(*fs) == before
}

// agree holds what was read against what the library reads. Guards against a text that means one thing to us and
// another to the library, or to the next reader: quotes, continued lines, odd comments.
func agree(file string, text []byte, sections []*section, fs *Findings) {
	lib, err := ini.LoadSources(ini.LoadOptions{SpaceBeforeInlineComment: true, IgnoreContinuation: true,
		KeyValueDelimiters: "=", ChildSectionDelimiter: "\x00", AllowNonUniqueSections: true}, text)
	if err != nil {
		fs.add(file, 0, Unclear, fmt.Sprintf("the file reads two ways: %v", err), "write plain key = value lines")
		return
	}
	theirs := lib.Sections()[1:] // behind the one without a name
	for i, s := range sections {
		if i >= len(theirs) || strings.Join(strings.Fields(theirs[i].Name()), " ") != s.title() {
			fs.add(file, s.line, Unclear, fmt.Sprintf("section [%s] reads two ways", s.title()), "write its name without quotes or comments")
			return
		}
		keys := theirs[i].Keys()
		for j, e := range s.entries {
			if j >= len(keys) || keys[j].Name() != e.key || keys[j].Value() != e.text {
				fs.add(file, e.line, Unclear, fmt.Sprintf("key %s reads two ways", quote(e.key)),
					"write name and value without quotes, and a comment on a line of its own")
				return
			}
		}
	}
}
