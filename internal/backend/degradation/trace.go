package degradation

import (
	"bufio"
	"fmt"
	"io"
	"strconv"
	"strings"
)

// Reading is one line of recorded signals.
type Reading struct {
	At      Micros
	Signals Signals
}

// MaxTraceReadings of one trace; a longer one is refused.
const MaxTraceReadings = 2_000_000

// WriteReading appends one line: the time in microseconds, then the signals that are known as name=value.
func WriteReading(w io.Writer, r Reading) error {
	var b strings.Builder
	b.WriteString(strconv.FormatInt(int64(r.At), 10))
	for s, v := range r.Signals {
		if v == v { // not missing
			fmt.Fprintf(&b, " %s=%s", Signal(s), strconv.FormatFloat(v, 'g', 6, 64))
		}
	}
	b.WriteByte('\n')
	_, err := io.WriteString(w, b.String())
	return err
}

// ReadTrace reads such lines; times must rise. Signals that a line leaves out are missing there.
func ReadTrace(file string, in io.Reader) (all []Reading, err error) {
	lines := bufio.NewScanner(in)
	for n := 1; lines.Scan(); n++ {
		words := strings.Fields(lines.Text())
		if len(words) == 0 || strings.HasPrefix(words[0], ";") {
			continue
		}
		fail := func(format string, args ...any) error {
			return fmt.Errorf("%s:%d: %s", file, n, fmt.Sprintf(format, args...))
		}
		at, err := strconv.ParseInt(words[0], 10, 64)
		if err != nil || at < 0 || len(all) > 0 && Micros(at) <= all[len(all)-1].At {
			return nil, fail("time: %q is no number of microseconds above that of the line before", words[0])
		}
		r := Reading{At: Micros(at)}
		for s := range r.Signals {
			r.Signals[s] = Missing
		}
		for _, w := range words[1:] {
			name, text, _ := strings.Cut(w, "=")
			v, err := strconv.ParseFloat(text, 64)
			s := signalByName(name)
			if s < 0 || err != nil || !(v >= 0 && v <= 1e9) {
				return nil, fail("%q is no signal with a value from 0 up; there are %s", w, strings.Join(signalNames[:], ", "))
			}
			r.Signals[s] = v
		}
		if all = append(all, r); len(all) > MaxTraceReadings {
			return nil, fail("more than %d readings", MaxTraceReadings)
		}
	}
	return all, lines.Err()
}

func signalByName(name string) int {
	for s, n := range signalNames {
		if n == name {
			return s
		}
	}
	return -1
}

// ReplayPoint is what a replay shows at one reading.
type ReplayPoint struct {
	At       Micros
	Level    int
	Depth    float64
	Smoothed Signals
}

// Replay plays a trace through a ladder.
func Replay(l *Policy, trace []Reading) (points []ReplayPoint, changes []Change) {
	m := NewController(l)
	for _, r := range trace {
		if c, changed := m.Update(r.At, r.Signals); changed {
			changes = append(changes, c)
		}
		points = append(points, ReplayPoint{r.At, m.Level(), m.Depth(r.At), m.Smoothed()})
	}
	return points, changes
}

// String names the signals that are known.
func (s Signals) String() string {
	var known []string
	for n, v := range s {
		if v == v {
			known = append(known, fmt.Sprintf("%s=%.3g", Signal(n), v))
		}
	}
	return strings.Join(known, " ")
}

// String writes a change as its log line has it.
func (c Change) String() string {
	return fmt.Sprintf("%d to %d, collapse %t, %s; %v", c.From, c.To, c.Collapse, c.Cause, c.Signals)
}
