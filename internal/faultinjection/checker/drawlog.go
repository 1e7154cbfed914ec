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

// Process is the content of one process's draw log.
type Process struct {
	Name  string // of the backend
	First int64  // time of the clock entry, microseconds; 0: the log has none
	Last  int64  // time of the last entry, microseconds; counts as the end of the process
	PPM   int64  // rate of its lease clock above that of the machine's clock, parts per million; negative: slower

	grants map[string][]grant // by quota, in order of time
	draws  map[string][]draw  // by quota, in order of time
}

// grant is a process's part of a quota, in force from a time until the next grant or the end of the process.
type grant struct {
	at    int64  // microseconds
	epoch uint64 // of the holder, as the process wrote it
	floor int64  // units per second granted without a lease
	extra int64  // units per second granted until the lease expires
	lease int64  // remaining lease time by the process's lease clock, microseconds; 0: expired
}

// draw is the number of units that a process drew between two times.
type draw struct {
	from  int64 // microseconds
	to    int64 // microseconds
	units int64
}

// LineError reports an invalid line of a draw log.
type LineError struct {
	Process string // name of the backend
	Line    int    // from 1
	Err     error
}

// Error names the process, the line and the cause.
func (e *LineError) Error() string { return fmt.Sprintf("%s: line %d: %v", e.Process, e.Line, e.Err) }

// Unwrap returns the cause.
func (e *LineError) Unwrap() error { return e.Err }

// EntryError reports a line with an unknown kind of entry or the wrong number of words.
type EntryError struct {
	Text string // the line
}

// Error quotes the line.
func (e *EntryError) Error() string {
	return fmt.Sprintf("%q is not a draw log entry: expected clock, here, have or drew with its fields", e.Text)
}

// OrderError reports an entry that is earlier than the entry before it.
type OrderError struct {
	Previous int64 // time of the entry before, microseconds
	Time     int64 // microseconds
}

// Error names both times.
func (e *OrderError) Error() string {
	return fmt.Sprintf("entry time %d us is before the previous entry's %d us", e.Time, e.Previous)
}

// Read reads one process's draw log. It ignores a last line without a newline, which a killed process leaves behind.
// It returns a *LineError for an invalid line.
func Read(name string, log io.Reader) (*Process, error) {
	p := &Process{
		Name:   name,
		grants: map[string][]grant{},
		draws:  map[string][]draw{},
	}
	reader := bufio.NewReader(log)
	for lineNumber := 1; ; lineNumber++ {
		line, err := reader.ReadString('\n')
		if errors.Is(err, io.EOF) {
			return p, nil
		}
		if err != nil {
			return nil, fmt.Errorf("draw log of %s: line %d: %w", name, lineNumber, err)
		}
		if err := p.addEntry(strings.Fields(line)); err != nil {
			return nil, &LineError{Process: name, Line: lineNumber, Err: err}
		}
	}
}

// ReadAll reads all draw logs of a directory, whose files are named BACKEND.PID. It omits processes without a clock
// entry.
func ReadAll(dir string) (all []*Process, err error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, fmt.Errorf("draw logs: %w", err)
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
	file, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("draw log: %w", err)
	}
	defer func() { _ = file.Close() }()
	name, _, _ := strings.Cut(filepath.Base(path), ".")
	return Read(name, file)
}

// Kinds of entries: the first word of a line.
const (
	clockEntry = "clock" // clock TIME PPM: the process started
	aliveEntry = "here"  // here TIME: the process is running
	grantEntry = "have"  // have TIME QUOTA EPOCH FLOOR EXTRA LEASE: the process holds a grant
	drawEntry  = "drew"  // drew FROM TIME QUOTA UNITS: the process drew units since FROM
)

// Numbers of words of an entry, its kind included.
const (
	clockWords = 3
	aliveWords = 2
	grantWords = 7
	drawWords  = 5
)

// addEntry adds one line, split into words, to the process.
func (p *Process) addEntry(words []string) error {
	at, err := p.parseEntry(words)
	if err != nil {
		return err
	}
	if at < p.Last {
		return &OrderError{Previous: p.Last, Time: at}
	}
	p.Last = at
	return nil
}

// parseEntry adds the content of an entry to the process and returns the entry's time.
func (p *Process) parseEntry(words []string) (at int64, err error) {
	kind := ""
	if len(words) > 0 {
		kind = words[0]
	}
	switch {
	case kind == clockEntry && len(words) == clockWords:
		return p.addClock(words)
	case kind == aliveEntry && len(words) == aliveWords:
		return parseNumber(words[1])
	case kind == grantEntry && len(words) == grantWords:
		return p.addGrant(words)
	case kind == drawEntry && len(words) == drawWords:
		return p.addDraw(words)
	}
	return 0, &EntryError{Text: strings.Join(words, " ")}
}

func (p *Process) addClock(words []string) (at int64, err error) {
	numbers, err := parseNumbers(words[1:]...)
	if err != nil {
		return 0, err
	}
	p.First = numbers[0]
	p.PPM = numbers[1]
	return p.First, nil
}

func (p *Process) addGrant(words []string) (at int64, err error) {
	numbers, err := parseNumbers(words[1], words[3], words[4], words[5], words[6])
	if err != nil {
		return 0, err
	}
	quota := words[2]
	g := grant{
		at:    numbers[0],
		epoch: uint64(numbers[1]),
		floor: numbers[2],
		extra: numbers[3],
		lease: numbers[4],
	}
	p.grants[quota] = append(p.grants[quota], g)
	return g.at, nil
}

func (p *Process) addDraw(words []string) (at int64, err error) {
	numbers, err := parseNumbers(words[1], words[2], words[4])
	if err != nil {
		return 0, err
	}
	quota := words[3]
	d := draw{
		from:  numbers[0],
		to:    numbers[1],
		units: numbers[2],
	}
	p.draws[quota] = append(p.draws[quota], d)
	return d.to, nil
}

func parseNumbers(words ...string) ([]int64, error) {
	numbers := make([]int64, 0, len(words))
	for _, word := range words {
		number, err := parseNumber(word)
		if err != nil {
			return nil, err
		}
		numbers = append(numbers, number)
	}
	return numbers, nil
}

func parseNumber(word string) (int64, error) {
	number, err := strconv.ParseInt(word, 10, 64)
	if err != nil {
		return 0, fmt.Errorf("expected a whole number: %w", err)
	}
	return number, nil
}
