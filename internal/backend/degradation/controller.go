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
	policy       *Policy
	smoothed     Signals
	lastUpdate   Micros // of the last step; 0: none
	level        int
	enteredAt    []Micros   // since when each level has been in force, on its own or under a stronger one
	changedAt    []Micros   // when each level was last entered or left; never: 0 and not yet
	entrySince   [][]Micros // for each level: since when each term of its entry holds; 0: it does not
	exitSince    [][]Micros // and each term of its exit
	leavingSince Micros     // since when the level is being left; 0: it is not
	noExitBefore Micros     // no probe before
	backoff      Micros     // the latest pause after a probe that was taken back, or after a relapse
	recoveredAt  Micros     // the last recovery; 0: none
	override     levelOverride
}

type levelOverride struct {
	level      int
	until      Micros
	by         string
	allowAbove bool // the automatic level may go above it
}

// NewController begins at full service. A cold host, or one that has just come back, knows nothing of the others: it
// begins there, its signals are missing until they are measured, and its own gate keeps it from harm meanwhile.
func NewController(l *Policy) *Controller {
	m := &Controller{policy: l, changedAt: make([]Micros, len(l.Levels)+1), enteredAt: make([]Micros, len(l.Levels)+1)}
	for s := range m.smoothed {
		m.smoothed[s] = Missing
	}
	for _, v := range l.Levels {
		m.entrySince = append(m.entrySince, make([]Micros, len(v.Enter.Terms)))
		m.exitSince = append(m.exitSince, make([]Micros, len(v.Exit.Terms)))
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
func (m *Controller) Smoothed() Signals { return m.smoothed }

// Depth is how much of the present level's sheds is in force, 0 to 1; milder levels are in force whole.
func (m *Controller) Depth(now Micros) float64 {
	if m.leavingSince == 0 || m.policy.RecoveryRamp == 0 {
		return 1
	}
	return min(1, max(0, 1-float64(now-m.leavingSince)/float64(m.policy.RecoveryRamp)))
}

// maxGap: signals that do not come for so long are missing. A clock that jumps ahead looks the same, and one that
// goes back stops everything until it is where it was.
const maxGap Micros = 2_000_000

// Update takes a reading in and tells whether the level changes.
func (m *Controller) Update(now Micros, s Signals) (c Change, changes bool) {
	if m.lastUpdate != 0 && now <= m.lastUpdate {
		return c, false
	}
	m.smooth(now, s)
	m.trackTerms(now)
	if m.override.until != 0 && now >= m.override.until {
		m.override = levelOverride{}
	}
	if m.override.until != 0 {
		if to := m.override.level; to != m.level && !(m.override.allowAbove && m.level > to) {
			return m.change(now, to, "held by "+m.override.by, false), true
		}
		if !m.override.allowAbove {
			return c, false
		}
	}
	if to, cause := m.worstEntered(); to > m.level {
		if m.changeAllowed(now, to) {
			return m.change(now, to, cause, false), true
		}
		if to > m.level+1 || m.isCollapse() {
			return m.change(now, to, cause, true), true
		}
	}
	return m.recover(now)
}

// smooth smooths the signals. What was missing begins with what comes; what does not come is missing at once.
func (m *Controller) smooth(now Micros, s Signals) {
	gap := now - m.lastUpdate
	for i := range s {
		over := float64(m.policy.Smoothing[i])
		switch {
		case math.IsNaN(s[i]):
			m.smoothed[i] = Missing
		case math.IsNaN(m.smoothed[i]) || over == 0 || m.lastUpdate == 0 || gap > maxGap:
			m.smoothed[i] = s[i]
		default:
			m.smoothed[i] += (s[i] - m.smoothed[i]) * (1 - math.Exp(-float64(gap)/over))
		}
	}
	if m.lastUpdate != 0 && gap > maxGap { // nothing is known of the time between: spans begin anew
		for n := range m.entrySince {
			clear(m.entrySince[n])
			clear(m.exitSince[n])
		}
	}
	m.lastUpdate = now
}

// trackTerms notes since when each term holds. A missing signal breaks the span of an exit, and keeps that of an entry
// from beginning.
func (m *Controller) trackTerms(now Micros) {
	for n, v := range m.policy.Levels {
		for i, t := range v.Enter.Terms {
			trackSince(&m.entrySince[n][i], now, m.smoothed[t.Signal] >= t.Value)
		}
		for i, t := range v.Exit.Terms {
			trackSince(&m.exitSince[n][i], now, m.smoothed[t.Signal] < t.Value)
		}
	}
}

func trackSince(since *Micros, now Micros, holds bool) {
	if !holds {
		*since = 0
	} else if *since == 0 {
		*since = now
	}
}

// conditionMet tells whether a condition is met, and by which of its terms.
func (m *Controller) conditionMet(c Condition, since []Micros) (string, bool) {
	var by []string
	for i, t := range c.Terms {
		if since[i] != 0 && m.lastUpdate-since[i] >= t.For {
			by = append(by, fmt.Sprintf("%s %.3g", t.Signal, m.smoothed[t.Signal]))
		}
	}
	if c.Any && len(by) > 0 || len(by) == len(c.Terms) {
		return strings.Join(by, ", "), true
	}
	return "", false
}

// worstEntered is the highest level whose entry is met.
func (m *Controller) worstEntered() (to int, cause string) {
	for n := len(m.policy.Levels) - 1; n >= m.level; n-- {
		if by, ok := m.conditionMet(m.policy.Levels[n].Enter, m.entrySince[n]); ok {
			return n + 1, by
		}
	}
	return m.level, ""
}

// isCollapse: the next level's entry is met by half as much again as it asks for. Then the budget of changes does
// not hold a step back that is needed now.
func (m *Controller) isCollapse() bool {
	if m.level == len(m.policy.Levels) {
		return false
	}
	for _, t := range m.policy.Levels[m.level].Enter.Terms {
		if m.smoothed[t.Signal] >= 1.5*t.Value && t.Value > 0 {
			return true
		}
	}
	return false
}

// changeAllowed tells whether the budget allows a change between the present level and another: none of the levels that it
// enters or leaves has changed within Every, and the present one has been in force for its stay. Time under a stronger
// level counts: after a recovery the steps follow each other as fast as their exits and ramps allow.
func (m *Controller) changeAllowed(now Micros, to int) bool {
	for n := min(m.level, to) + 1; n <= max(m.level, to); n++ {
		if at := m.changedAt[n]; at != 0 && now-at < m.policy.ChangeInterval {
			return false
		}
	}
	return to > m.level || now-m.enteredAt[m.level] >= m.policy.Levels[m.level-1].MinDuration
}

// recover leaves the level bit by bit once its exit is met, and takes that back at once where it hurts.
func (m *Controller) recover(now Micros) (c Change, changes bool) {
	if m.level == 0 || m.override.until != 0 && m.level <= m.override.level {
		m.leavingSince = 0
		return c, false
	}
	v := m.policy.Levels[m.level-1]
	if m.leavingSince != 0 {
		if m.worsens(v) {
			m.leavingSince = 0
			m.extendBackoff(now)
			return c, false
		}
		if now-m.leavingSince >= m.policy.RecoveryRamp {
			return m.change(now, m.level-1, "recovered: "+m.exitSignals(v), false), true
		}
		return c, false
	}
	if _, ok := m.conditionMet(v.Exit, m.exitSince[m.level-1]); ok && now >= m.noExitBefore && m.changeAllowed(now, m.level-1) {
		m.leavingSince = now
		if m.policy.RecoveryRamp == 0 {
			return m.change(now, m.level-1, "recovered: "+m.exitSignals(v), false), true
		}
	}
	return c, false
}

// extendBackoff puts the next probe off, each time for twice as long, up to eight budgets of changes.
func (m *Controller) extendBackoff(now Micros) {
	m.backoff = min(max(2*m.backoff, m.policy.ChangeInterval), 8*m.policy.ChangeInterval)
	m.noExitBefore = now + m.backoff
}

// worsens: while the level is being left, a signal by which it is entered has risen half way back to its entry, or is
// not known any more.
func (m *Controller) worsens(v Level) bool {
	for _, t := range v.Exit.Terms {
		in, both := v.Enter.threshold(t.Signal)
		if both && !(m.smoothed[t.Signal] < (in+t.Value)/2) {
			return true
		}
	}
	return false
}

func (m *Controller) exitSignals(v Level) string {
	var by []string
	for _, t := range v.Exit.Terms {
		by = append(by, fmt.Sprintf("%s %.3g", t.Signal, m.smoothed[t.Signal]))
	}
	return strings.Join(by, ", ")
}

func (m *Controller) change(now Micros, to int, cause string, collapse bool) Change {
	c := Change{At: now, From: m.level, To: to, Cause: cause, Collapse: collapse, Signals: m.smoothed}
	for n := min(m.level, to) + 1; n <= max(m.level, to); n++ {
		m.changedAt[n] = now
	}
	for n := m.level + 1; n <= to; n++ {
		m.enteredAt[n] = now
	}
	relapse := to > m.level && m.recoveredAt != 0 && now-m.recoveredAt < 2*m.policy.ChangeInterval
	if to < m.level {
		m.recoveredAt = now
	} else if !relapse {
		m.backoff = 0
	}
	m.level, m.leavingSince, m.noExitBefore = to, 0, now
	if relapse { // a collapse may enter it again at once, but it is not left again so soon
		m.extendBackoff(now)
	}
	return c
}

// Override holds a level until then, at most Pins from now. above lets the automatic one go above it. A pin ends by
// itself, is not written down, and a new one replaces the old.
func (m *Controller) Override(now Micros, level int, until Micros, by string, above bool) error {
	switch {
	case level < 0 || level > len(m.policy.Levels):
		return fmt.Errorf("level: %d is not from 0 to %d", level, len(m.policy.Levels))
	case until <= now || until-now > m.policy.MaxOverride:
		return fmt.Errorf("until: not within the next %d s", m.policy.MaxOverride/1_000_000)
	}
	m.override = levelOverride{level: level, until: until, by: by, allowAbove: above}
	return nil
}

// ClearOverride lets the signals decide again.
func (m *Controller) ClearOverride() { m.override = levelOverride{} }

// WithPolicy takes another ladder in while a level is in force: the level of the same name goes on with its time and
// budget; where there is none, the one that is nearest from below.
func (m *Controller) WithPolicy(l *Policy) *Controller {
	n := NewController(l)
	n.smoothed, n.lastUpdate, n.noExitBefore, n.backoff = m.smoothed, m.lastUpdate, m.noExitBefore, m.backoff
	for old := m.level; old > 0 && n.level == 0; old-- {
		for i, v := range l.Levels {
			if v.Name == m.policy.LevelName(old) {
				n.level = i + 1
			}
		}
	}
	for i, v := range l.Levels {
		for old, was := range m.policy.Levels {
			if was.Name == v.Name {
				n.changedAt[i+1], n.enteredAt[i+1] = m.changedAt[old+1], m.enteredAt[old+1]
			}
		}
	}
	return n
}
