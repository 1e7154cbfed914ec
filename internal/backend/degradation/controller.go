package degradation

import (
	"fmt"
	"math"
	"strings"
)

// Change is one change of the level, as it is logged and recorded.
type Change struct {
	At       Micros
	From, To int // 0 is full service, 1 the mildest level
	Cause    string
	Collapse bool // made sooner than the budget of changes allows
	Signals  Signals
}

// Controller moves along a ladder. It is not for use by several goroutines at once.
type Controller struct {
	l         *Policy
	smooth    Signals
	at        Micros // of the last step; 0: none
	level     int
	entered   []Micros   // since when each level has been in force, on its own or under a stronger one
	changed   []Micros   // when each level was last entered or left; never: 0 and not yet
	met       [][]Micros // for each level: since when each term of its entry holds; 0: it does not
	unmet     [][]Micros // and each term of its exit
	probe     Micros     // since when the level is being left; 0: it is not
	rest      Micros     // no probe before
	pause     Micros     // the latest pause after a probe that was taken back, or after a relapse
	recovered Micros     // the last recovery; 0: none
	pin       pin
}

type pin struct {
	level int
	until Micros
	by    string
	above bool // the automatic level may go above it
}

// NewController begins at full service. A cold host, or one that has just come back, knows nothing of the others: it
// begins there, its signals are missing until they are measured, and its own gate keeps it from harm meanwhile.
func NewController(l *Policy) *Controller {
	m := &Controller{l: l, changed: make([]Micros, len(l.Levels)+1), entered: make([]Micros, len(l.Levels)+1)}
	for s := range m.smooth {
		m.smooth[s] = Missing
	}
	for _, v := range l.Levels {
		m.met = append(m.met, make([]Micros, len(v.Enter.Terms)))
		m.unmet = append(m.unmet, make([]Micros, len(v.Exit.Terms)))
	}
	return m
}

// Level is the one in force, 0 for full service.
func (m *Controller) Level() int { return m.level }

// Name of a level.
func (l *Policy) LevelName(n int) string {
	if n == 0 {
		return "full"
	}
	return l.Levels[n-1].Name
}

// Smoothed are the signals as conditions see them.
func (m *Controller) Smoothed() Signals { return m.smooth }

// Depth is how much of the present level's sheds is in force, 0 to 1; milder levels are in force whole.
func (m *Controller) Depth(now Micros) float64 {
	if m.probe == 0 || m.l.RecoveryRamp == 0 {
		return 1
	}
	return min(1, max(0, 1-float64(now-m.probe)/float64(m.l.RecoveryRamp)))
}

// frozen: signals that do not come for so long are missing. A clock that jumps ahead looks the same, and one that
// goes back stops everything until it is where it was.
const frozen Micros = 2_000_000

// Update takes a reading in and tells whether the level changes.
func (m *Controller) Update(now Micros, s Signals) (c Change, changes bool) {
	if m.at != 0 && now <= m.at {
		return c, false
	}
	m.take(now, s)
	m.watch(now)
	if m.pin.until != 0 && now >= m.pin.until {
		m.pin = pin{}
	}
	if m.pin.until != 0 {
		if to := m.pin.level; to != m.level && !(m.pin.above && m.level > to) {
			return m.change(now, to, "held by "+m.pin.by, false), true
		}
		if !m.pin.above {
			return c, false
		}
	}
	if to, cause := m.worse(); to > m.level {
		if m.free(now, to) {
			return m.change(now, to, cause, false), true
		}
		if to > m.level+1 || m.collapsed() {
			return m.change(now, to, cause, true), true
		}
	}
	return m.better(now)
}

// take smooths the signals. What was missing begins with what comes; what does not come is missing at once.
func (m *Controller) take(now Micros, s Signals) {
	gap := now - m.at
	for i := range s {
		over := float64(m.l.Smoothing[i])
		switch {
		case math.IsNaN(s[i]):
			m.smooth[i] = Missing
		case math.IsNaN(m.smooth[i]) || over == 0 || m.at == 0 || gap > frozen:
			m.smooth[i] = s[i]
		default:
			m.smooth[i] += (s[i] - m.smooth[i]) * (1 - math.Exp(-float64(gap)/over))
		}
	}
	if m.at != 0 && gap > frozen { // nothing is known of the time between: spans begin anew
		for n := range m.met {
			clear(m.met[n])
			clear(m.unmet[n])
		}
	}
	m.at = now
}

// watch notes since when each term holds. A missing signal breaks the span of an exit, and keeps that of an entry
// from beginning.
func (m *Controller) watch(now Micros) {
	for n, v := range m.l.Levels {
		for i, t := range v.Enter.Terms {
			mark(&m.met[n][i], now, m.smooth[t.Signal] >= t.Value)
		}
		for i, t := range v.Exit.Terms {
			mark(&m.unmet[n][i], now, m.smooth[t.Signal] < t.Value)
		}
	}
}

func mark(since *Micros, now Micros, holds bool) {
	if !holds {
		*since = 0
	} else if *since == 0 {
		*since = now
	}
}

// holds tells whether a condition is met, and by which of its terms.
func (m *Controller) holds(c Condition, since []Micros) (string, bool) {
	var by []string
	for i, t := range c.Terms {
		if since[i] != 0 && m.at-since[i] >= t.For {
			by = append(by, fmt.Sprintf("%s %.3g", t.Signal, m.smooth[t.Signal]))
		}
	}
	if c.Any && len(by) > 0 || len(by) == len(c.Terms) {
		return strings.Join(by, ", "), true
	}
	return "", false
}

// worse is the highest level whose entry is met.
func (m *Controller) worse() (to int, cause string) {
	for n := len(m.l.Levels) - 1; n >= m.level; n-- {
		if by, ok := m.holds(m.l.Levels[n].Enter, m.met[n]); ok {
			return n + 1, by
		}
	}
	return m.level, ""
}

// collapsed: the next level's entry is met by half as much again as it asks for. Then the budget of changes does
// not hold a step back that is needed now.
func (m *Controller) collapsed() bool {
	if m.level == len(m.l.Levels) {
		return false
	}
	for _, t := range m.l.Levels[m.level].Enter.Terms {
		if m.smooth[t.Signal] >= 1.5*t.Value && t.Value > 0 {
			return true
		}
	}
	return false
}

// free tells whether the budget allows a change between the present level and another: none of the levels that it
// enters or leaves has changed within Every, and the present one has been in force for its stay. Time under a stronger
// level counts: after a recovery the steps follow each other as fast as their exits and ramps allow.
func (m *Controller) free(now Micros, to int) bool {
	for n := min(m.level, to) + 1; n <= max(m.level, to); n++ {
		if at := m.changed[n]; at != 0 && now-at < m.l.ChangeInterval {
			return false
		}
	}
	return to > m.level || now-m.entered[m.level] >= m.l.Levels[m.level-1].MinDuration
}

// better leaves the level bit by bit once its exit is met, and takes that back at once where it hurts.
func (m *Controller) better(now Micros) (c Change, changes bool) {
	if m.level == 0 || m.pin.until != 0 && m.level <= m.pin.level {
		m.probe = 0
		return c, false
	}
	v := m.l.Levels[m.level-1]
	if m.probe != 0 {
		if m.hurts(v) {
			m.probe = 0
			m.wait(now)
			return c, false
		}
		if now-m.probe >= m.l.RecoveryRamp {
			return m.change(now, m.level-1, "recovered: "+m.exitWords(v), false), true
		}
		return c, false
	}
	if _, ok := m.holds(v.Exit, m.unmet[m.level-1]); ok && now >= m.rest && m.free(now, m.level-1) {
		m.probe = now
		if m.l.RecoveryRamp == 0 {
			return m.change(now, m.level-1, "recovered: "+m.exitWords(v), false), true
		}
	}
	return c, false
}

// wait puts the next probe off, each time for twice as long, up to eight budgets of changes.
func (m *Controller) wait(now Micros) {
	m.pause = min(max(2*m.pause, m.l.ChangeInterval), 8*m.l.ChangeInterval)
	m.rest = now + m.pause
}

// hurts: while the level is being left, a signal by which it is entered has risen half way back to its entry, or is
// not known any more.
func (m *Controller) hurts(v Level) bool {
	for _, t := range v.Exit.Terms {
		in, both := v.Enter.value(t.Signal)
		if both && !(m.smooth[t.Signal] < (in+t.Value)/2) {
			return true
		}
	}
	return false
}

func (m *Controller) exitWords(v Level) string {
	var by []string
	for _, t := range v.Exit.Terms {
		by = append(by, fmt.Sprintf("%s %.3g", t.Signal, m.smooth[t.Signal]))
	}
	return strings.Join(by, ", ")
}

func (m *Controller) change(now Micros, to int, cause string, collapse bool) Change {
	c := Change{At: now, From: m.level, To: to, Cause: cause, Collapse: collapse, Signals: m.smooth}
	for n := min(m.level, to) + 1; n <= max(m.level, to); n++ {
		m.changed[n] = now
	}
	for n := m.level + 1; n <= to; n++ {
		m.entered[n] = now
	}
	relapse := to > m.level && m.recovered != 0 && now-m.recovered < 2*m.l.ChangeInterval
	if to < m.level {
		m.recovered = now
	} else if !relapse {
		m.pause = 0
	}
	m.level, m.probe, m.rest = to, 0, now
	if relapse { // a collapse may enter it again at once, but it is not left again so soon
		m.wait(now)
	}
	return c
}

// Override holds a level until then, at most Pins from now. above lets the automatic one go above it. A pin ends by
// itself, is not written down, and a new one replaces the old.
func (m *Controller) Override(now Micros, level int, until Micros, by string, above bool) error {
	switch {
	case level < 0 || level > len(m.l.Levels):
		return fmt.Errorf("level: %d is not from 0 to %d", level, len(m.l.Levels))
	case until <= now || until-now > m.l.MaxOverride:
		return fmt.Errorf("until: not within the next %d s", m.l.MaxOverride/1_000_000)
	}
	m.pin = pin{level: level, until: until, by: by, above: above}
	return nil
}

// ClearOverride lets the signals decide again.
func (m *Controller) ClearOverride() { m.pin = pin{} }

// WithPolicy takes another ladder in while a level is in force: the level of the same name goes on with its time and
// budget; where there is none, the one that is nearest from below.
func (m *Controller) WithPolicy(l *Policy) *Controller {
	n := NewController(l)
	n.smooth, n.at, n.rest, n.pause = m.smooth, m.at, m.rest, m.pause
	for old := m.level; old > 0 && n.level == 0; old-- {
		for i, v := range l.Levels {
			if v.Name == m.l.LevelName(old) {
				n.level = i + 1
			}
		}
	}
	for i, v := range l.Levels {
		for old, was := range m.l.Levels {
			if was.Name == v.Name {
				n.changed[i+1], n.entered[i+1] = m.changed[old+1], m.entered[old+1]
			}
		}
	}
	return n
}
