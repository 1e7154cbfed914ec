package sexpr

import (
	"strings"
	"unicode/utf8"
)

// Kind is the syntactic kind of a node.
type Kind int

// Kinds of nodes.
const (
	List Kind = iota
	Word
	Text
)

// String returns the kind with an article, for use in error texts.
func (k Kind) String() string { return [...]string{"a list", "a word", "text"}[k] }

// Place is a position in a file.
type Place struct {
	// Line counts from 1.
	Line int
	// Column counts characters from 1.
	Column int
}

// Node is a list, a word or a quoted text, with the position of its first character.
type Node struct {
	Place
	Kind Kind
	// Value is the content of a word or text, without quotes and escapes.
	Value string
	// Items are the nodes of a list.
	Items []Node
}

// hasName reports whether the node is a list that begins with a word.
func (n Node) hasName() bool { return n.Kind == List && len(n.Items) > 0 && n.Items[0].Kind == Word }

// String formats the node on one line, in the syntax that Parse reads.
func (n Node) String() string {
	switch n.Kind {
	case Word:
		return n.Value
	case Text:
		return quoted(n.Value)
	default:
		return listString(n.Items)
	}
}

// listString formats a list of nodes.
func listString(items []Node) string {
	parts := make([]string, len(items))
	for i, item := range items {
		parts[i] = item.String()
	}
	return "(" + strings.Join(parts, " ") + ")"
}

// Quote formats a string as a word if it is a valid word, otherwise as a quoted text.
func Quote(s string) string {
	if isWord(s) {
		return s
	}
	return quoted(s)
}

// isWord reports whether Parse reads a string as one word.
func isWord(s string) bool {
	return s != "" && utf8.ValidString(s) && !strings.ContainsFunc(s, func(r rune) bool {
		return r <= ' ' || r == deleteCharacter || strings.ContainsRune(`()";`, r)
	})
}

// quoted formats a string as a quoted text.
func quoted(s string) string {
	return `"` + strings.NewReplacer(`"`, `\"`, `\`, `\\`, "\n", `\n`, "\t", `\t`).Replace(s) + `"`
}
