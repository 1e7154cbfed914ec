// Package sexpr reads the files that people write: S-expressions with the place of every word, so that an error
// can say where, what was found and what was wanted. It does no I/O and knows no file's meaning.
//
//	; a comment runs to the end of its line
//	(group counter (instances n1 n2) (settle 2s) (label "front row"))
//
// A word is a run of characters other than space, brackets, quotes and semicolons. Text stands in double quotes,
// where \" \\ \n and \t are escapes.
package sexpr

import (
	"errors"
	"fmt"
	"strings"
	"unicode/utf8"
)

// What a file may hold at the most; beyond it Parse gives an error and keeps nothing.
const (
	MostBytes = 1 << 20
	MostDepth = 32
	MostNodes = 200_000
	MostText  = 4 << 10
)

// Kind is what a node is.
type Kind int

// The kinds.
const (
	List Kind = iota
	Word
	Text
)

func (k Kind) String() string { return [...]string{"a list", "a word", "text"}[k] }

// Place is where something stands; both count from 1, columns in characters.
type Place struct{ Line, Column int }

// Node is a list, a word or text.
type Node struct {
	Place
	Kind  Kind
	Value string // of a word or text
	Items []Node // of a list
}

// Error is one thing that is wrong, and where.
type Error struct {
	File string
	Place
	Field string // the path to it, such as fleet.group.settle; may be empty
	What  string
}

func (e *Error) Error() string {
	field := ""
	if e.Field != "" {
		field = e.Field + ": "
	}
	return fmt.Sprintf("%s:%d:%d: %s%s", e.File, e.Line, e.Column, field, e.What)
}

// Parse reads all of src; file is its name in errors. The error is an *Error.
func Parse(file string, src []byte) ([]Node, error) {
	p := parser{file: file, src: src, at: Place{1, 1}}
	if len(src) > MostBytes {
		return nil, p.fail(p.at, "%d bytes, at most %d can be read", len(src), MostBytes)
	}
	nodes, err := p.list(0, Place{})
	if err != nil {
		return nil, err
	}
	return nodes, nil
}

type parser struct {
	file  string
	src   []byte
	next  int
	at    Place
	nodes int
}

func (p *parser) fail(at Place, format string, args ...any) error {
	return &Error{File: p.file, Place: at, What: fmt.Sprintf(format, args...)}
}

// peek tells the next character; size is 0 at the end.
func (p *parser) peek() (r rune, size int) {
	if p.next >= len(p.src) {
		return 0, 0
	}
	return utf8.DecodeRune(p.src[p.next:])
}

func (p *parser) step(r rune, size int) {
	p.next += size
	if p.at.Column++; r == '\n' {
		p.at = Place{p.at.Line + 1, 1}
	}
}

// list reads nodes up to the closing bracket, or at depth 0 to the end.
func (p *parser) list(depth int, opened Place) (nodes []Node, err error) {
	for {
		r, size := p.peek()
		start := p.at
		switch {
		case size == 0 && depth == 0:
			return nodes, nil
		case size == 0:
			return nil, p.fail(start, "the file ends within the list that began at %d:%d", opened.Line, opened.Column)
		case r == ')' && depth == 0:
			return nil, p.fail(start, "a closing bracket without an opening one")
		case r == ')':
			p.step(r, size)
			return nodes, nil
		case r == ' ' || r == '\t' || r == '\n' || r == '\r':
			p.step(r, size)
			continue
		case r == ';':
			for ; size > 0 && r != '\n'; r, size = p.peek() {
				p.step(r, size)
			}
			continue
		}
		if p.nodes++; p.nodes > MostNodes {
			return nil, p.fail(start, "more than %d words and lists", MostNodes)
		}
		n := Node{Place: start}
		switch r {
		case '(':
			if depth >= MostDepth {
				return nil, p.fail(start, "lists more than %d deep", MostDepth)
			}
			p.step(r, size)
			n.Items, err = p.list(depth+1, start)
		case '"':
			n.Kind = Text
			n.Value, err = p.text()
		default:
			n.Kind = Word
			n.Value, err = p.word()
		}
		if err != nil {
			return nil, err
		}
		nodes = append(nodes, n)
	}
}

func (p *parser) word() (string, error) {
	start, from := p.at, p.next
	for r, size := p.peek(); size > 0 && !strings.ContainsRune(" \t\r\n()\";", r); r, size = p.peek() {
		if r < ' ' || r == 0x7f || r == utf8.RuneError && size == 1 {
			return "", p.fail(p.at, "a character that can't stand in a word: %q", p.src[p.next])
		}
		p.step(r, size)
	}
	if p.next-from > MostText {
		return "", p.fail(start, "a word of %d bytes, at most %d can be read", p.next-from, MostText)
	}
	return string(p.src[from:p.next]), nil
}

var escapes = map[rune]rune{'"': '"', '\\': '\\', 'n': '\n', 't': '\t'}

func (p *parser) text() (string, error) {
	start := p.at
	p.step('"', 1)
	var b strings.Builder
	for {
		r, size := p.peek()
		switch {
		case size == 0:
			return "", p.fail(p.at, "the file ends within the text that began at %d:%d", start.Line, start.Column)
		case r == '\n':
			return "", p.fail(p.at, "the line ends within the text that began at %d:%d", start.Line, start.Column)
		case r == utf8.RuneError && size == 1 || r < ' ' && r != '\t' || r == 0x7f:
			return "", p.fail(p.at, "a character that can't stand in text: %q", p.src[p.next])
		}
		at := p.at
		p.step(r, size)
		if r == '"' {
			return b.String(), nil
		}
		if r == '\\' {
			c, size := p.peek()
			if r = escapes[c]; r == 0 {
				return "", p.fail(at, `\%c is no escape; \" \\ \n \t are`, c)
			}
			p.step(c, size)
		}
		if b.WriteRune(r); b.Len() > MostText {
			return "", p.fail(start, "text of more than %d bytes", MostText)
		}
	}
}

// Quote writes text so that Parse reads it back; a plain word stays one.
func Quote(s string) string {
	plain := s != "" && utf8.ValidString(s) && !strings.ContainsFunc(s, func(r rune) bool {
		return r <= ' ' || r == 0x7f || strings.ContainsRune(`()";`, r)
	})
	if plain {
		return s
	}
	return quoted(s)
}

func quoted(s string) string {
	return `"` + strings.NewReplacer(`"`, `\"`, `\`, `\\`, "\n", `\n`, "\t", `\t`).Replace(s) + `"`
}

// String writes the node on one line.
func (n Node) String() string {
	switch n.Kind {
	case Word:
		return n.Value
	case Text:
		return quoted(n.Value)
	}
	parts := make([]string, len(n.Items))
	for i, item := range n.Items {
		parts[i] = item.String()
	}
	return "(" + strings.Join(parts, " ") + ")"
}

// Errors gathers what is wrong with a file, so that all of it is told at once.
type Errors struct {
	File string
	list []error
}

// mostErrors: more than this says nothing more.
const mostErrors = 20

// Add notes an error at a place.
func (e *Errors) Add(at Place, field, format string, args ...any) {
	if len(e.list) < mostErrors {
		e.list = append(e.list, &Error{e.File, at, field, fmt.Sprintf(format, args...)})
	}
}

// Err is nil if nothing is wrong.
func (e *Errors) Err() error { return errors.Join(e.list...) }
