package checker

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strconv"
	"strings"
)

// Process is what one process wrote to its draw log.
type Process struct {
	Name  string // of the backend
	First int64  // time of the first entry; 0: it wrote none
	Last  int64  // time of the last entry; it is taken to have acted on nothing after it
	PPM   int64  // its lease clock ran faster than the machine's by so many parts per million

	grants map[string][]grant // by quota, in order of time
	draws  map[string][]draw  // by quota, in order of time
}

// grant is what a process may draw of a quota from a time on.
type grant struct {
	at    int64
	epoch uint64
	floor int64 // units a second, without a lease
	extra int64 // units a second, until the lease ends
	lease int64 // microseconds that are left of the lease, by the process's lease clock
}

// draw is how many units a process drew between two entries of its log.
type draw struct{ from, to, units int64 }

// LineError is a line of a draw log that cannot be used.
type LineError struct {
	Process string
	Line    int // from 1
	Err     error
}

func (e *LineError) Error() string { return fmt.Sprintf("%s: line %d: %v", e.Process, e.Line, e.Err) }

func (e *LineError) Unwrap() error { return e.Err }

// EntryError is a line whose words are no entry of a draw log.
type EntryError struct{ Text string }

func (e *EntryError) Error() string { return fmt.Sprintf("%q is no stamp", e.Text) }

// OrderError is an entry with a time before that of an earlier entry, in microseconds.
type OrderError struct{ Previous, Time int64 }

func (e *OrderError) Error() string {
	return fmt.Sprintf("time goes back from %d to %d", e.Previous, e.Time)
}

// Read reads one process's draw log. A last line without its end is left out: the process was killed while it wrote.
// The error is a *LineError, or that of the reader.
func Read(name string, from io.Reader) (*Process, error) {
	p := &Process{Name: name, grants: map[string][]grant{}, draws: map[string][]draw{}}
	in := bufio.NewReader(from)
	for n := 1; ; n++ {
		line, err := in.ReadString('\n')
		if errors.Is(err, io.EOF) {
			return p, nil
		}
		if err != nil {
			return nil, err
		}
		if err := p.addEntry(strings.Fields(line)); err != nil {
			return nil, &LineError{name, n, err}
		}
	}
}

// ReadAll reads a directory of draw logs; a file is named NAME.PID. Processes that wrote no entry are left out.
func ReadAll(dir string) (all []*Process, err error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, err
	}
	for _, entry := range entries {
		p, err := readFile(filepath.Join(dir, entry.Name()))
		if err != nil {
			return nil, err
		}
		if p.First > 0 {
			all = append(all, p)
		}
	}
	return all, nil
}

func readFile(path string) (*Process, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }()
	name, _, _ := strings.Cut(filepath.Base(path), ".")
	return Read(name, f)
}

// entryWords is how many words an entry of each kind has, the kind included.
var entryWords = map[string]int{"clock": 3, "here": 2, "have": 7, "drew": 5}

// addEntry takes one line into the process:
//
//	clock TIME PPM                          the process began
//	here TIME                               it runs
//	have TIME QUOTA EPOCH FLOOR EXTRA LEASE it holds a grant
//	drew FROM TIME QUOTA UNITS              it drew units since FROM
func (p *Process) addEntry(words []string) error {
	if len(words) == 0 || entryWords[words[0]] != len(words) {
		return &EntryError{strings.Join(words, " ")}
	}
	var at int64
	switch words[0] {
	case "clock":
		n, err := numbers(words[1:]...)
		if err != nil {
			return err
		}
		at = n[0]
		p.First, p.PPM = at, n[1]
	case "here":
		n, err := numbers(words[1])
		if err != nil {
			return err
		}
		at = n[0]
	case "have":
		n, err := numbers(words[1], words[3], words[4], words[5], words[6])
		if err != nil {
			return err
		}
		at = n[0]
		quota := words[2]
		p.grants[quota] = append(
			p.grants[quota],
			grant{at: at, epoch: uint64(n[1]), floor: n[2], extra: n[3], lease: n[4]},
		)
	case "drew":
		n, err := numbers(words[1], words[2], words[4])
		if err != nil {
			return err
		}
		at = n[1]
		quota := words[3]
		p.draws[quota] = append(p.draws[quota], draw{from: n[0], to: at, units: n[2]})
	}
	if at < p.Last {
		return &OrderError{p.Last, at}
	}
	p.Last = at
	return nil
}

// numbers reads words as decimal numbers; the error is that of the last word that is none.
func numbers(words ...string) (all []int64, err error) {
	for _, word := range words {
		number, wordErr := strconv.ParseInt(word, 10, 64)
		if wordErr != nil {
			err = wordErr
		}
		all = append(all, number)
	}
	return all, err
}
