package quota

import (
	"fmt"
	"slices"

	"milletbarrow/internal/backend/quota"
	"milletbarrow/internal/cluster/coldstart"
)

// Bounds of a ledger, whatever it is told.
const (
	keptGrants = 6      // unconfirmed, of one life; older ones are counted into the next
	keptTurns  = 8      // ended turns of one name, so that a call that comes late does not take again
	mostLives  = 50_000 // lives of backends; a further one is granted nothing
	mostOut    = 50_000 // names that hold a unit of a count
)

// Grant is one that its holder may still act on.
type Grant struct {
	Epoch  uint64 `json:"epoch"`
	Floor  int64  `json:"floor"`
	Extra  int64  `json:"extra"`
	Lease  Micros `json:"lease_us"` // of the terms by which it was granted
	Margin Micros `json:"margin_us"`
}

// Held is what one life has of one rate.
type Held struct {
	Grants []Grant `json:"grants,omitempty"` // oldest first; the holder is known to have none older than the first
	Drawn  int64   `json:"drawn"`
	Denied int64   `json:"denied"`
	Want   int64   `json:"want"`            // above the floor, smoothed
	Target int64   `json:"target"`          // of the latest division
	Quiet  bool    `json:"quiet,omitempty"` // it has not asked for a lease: no division counts on it
}

// floor and extra are the most that the holder may act on now.
func (h *Held) floor() (most int64) {
	for _, g := range h.Grants {
		most = max(most, g.Floor)
	}
	return most
}

func (h *Held) extra() (most int64) {
	for _, g := range h.Grants {
		most = max(most, g.Extra)
	}
	return most
}

// Life is one process that draws.
type Life struct {
	Name   string           `json:"name"`
	Life   string           `json:"life"`
	Host   string           `json:"host"`
	Number uint64           `json:"number"` // of its latest ask
	Clock  Micros           `json:"clock_us"`
	Asked  uint64           `json:"asked"` // the ledger's serial at that ask
	Held   map[string]*Held `json:"held"`  // by budget
}

// Out is a unit of a count that a name holds.
type Out struct {
	Budget string `json:"budget"`
	Name   string `json:"name"`
	Host   string `json:"host"`
	Turn   string `json:"turn"` // what it was taken for
	Epoch  uint64 `json:"epoch"`
}

// Ledger is the one truth about the division. Its fields are for what writes it down; only Apply changes them.
type Ledger struct {
	Serial uint64                      `json:"serial"` // epochs are its values
	Terms  Terms                       `json:"terms"`
	Lives  map[string]*Life            `json:"lives"` // by name and life
	Counts map[string]map[string]Out   `json:"counts"`
	Ended  map[string][]string         `json:"ended"`           // by budget and name, the latest turns
	Rises  map[string]*coldstart.State `json:"rises,omitempty"` // by count: who of a rise may hold a unit of it
	Forgot uint64                      `json:"forgot"`          // how often a holder knew of an epoch that this ledger does not

	sums map[string]*sum            // by rate; made anew from the rest
	of   map[string][]string        // keys of lives, by name
	at   map[string]map[string]bool // and by host
}

// sum is what of a rate may be in force.
type sum struct {
	told    map[string]int64 // by backend: its floor as some process may act on it
	floors  int64            // set aside: told or to be told
	inForce int64            // told floors and extras
	extras  int64
	names   []string // that may draw, in order
}

// NewLedger is an empty one.
func NewLedger() *Ledger {
	l := &Ledger{Lives: map[string]*Life{}, Counts: map[string]map[string]Out{}, Ended: map[string][]string{}, Rises: map[string]*coldstart.State{}}
	l.Restored()
	return l
}

// Restored has a ledger that was read back count its sums.
func (l *Ledger) Restored() {
	l.sums, l.of, l.at = map[string]*sum{}, map[string][]string{}, map[string]map[string]bool{}
	for _, s := range l.Rises {
		s.Restored()
	}
	for _, key := range sortedKeys(l.Lives) {
		life := l.Lives[key]
		l.of[life.Name] = append(l.of[life.Name], key)
		l.move(key, life, life.Host)
	}
	budgets := map[string]bool{}
	for i := range l.Terms.Budgets {
		budgets[l.Terms.Budgets[i].Name] = l.Terms.Budgets[i].Kind == Rate
	}
	for _, life := range l.Lives {
		for b := range life.Held {
			budgets[b] = true
		}
	}
	for b, rate := range budgets {
		if rate {
			l.count(b)
		}
	}
}

// count makes the sum of one rate.
func (l *Ledger) count(budget string) {
	s := &sum{told: map[string]int64{}}
	for _, life := range l.Lives {
		if h := life.Held[budget]; h != nil {
			s.told[life.Name] = max(s.told[life.Name], h.floor())
			s.extras += h.extra()
		}
	}
	s.inForce = s.extras
	for _, f := range s.told {
		s.inForce += f
		s.floors += f
	}
	if b := l.Terms.Find(budget); b != nil {
		s.names = sortedKeys(b.Floors)
		for name, f := range b.Floors {
			s.floors += max(f, s.told[name]) - s.told[name]
		}
	}
	l.sums[budget] = s
}

// move has a life stand at a host.
func (l *Ledger) move(key string, life *Life, host string) {
	delete(l.at[life.Host], key)
	if l.at[host] == nil {
		l.at[host] = map[string]bool{}
	}
	l.at[host][key] = true
	life.Host = host
}

// change replaces a life's grants of a budget and keeps the sums.
func (l *Ledger) change(budget string, life *Life, h *Held, grants []Grant) {
	s := l.sums[budget]
	extra, want := h.extra(), int64(0)
	if b := l.Terms.Find(budget); b != nil {
		want = b.Floors[life.Name]
	}
	before := s.told[life.Name]
	h.Grants = grants
	after := int64(0)
	for _, key := range l.of[life.Name] {
		if other := l.Lives[key].Held[budget]; other != nil {
			after = max(after, other.floor())
		}
	}
	if after == 0 {
		delete(s.told, life.Name)
	} else {
		s.told[life.Name] = after
	}
	s.floors += max(want, after) - max(want, before)
	s.extras += h.extra() - extra
	s.inForce += h.extra() - extra + after - before
}

// Command is one entry of what is replicated.
type Command struct {
	Terms  *Terms   `json:"terms,omitempty"`
	Renew  *Renew   `json:"renew,omitempty"`
	Lapse  []Lapse  `json:"lapse,omitempty"`
	Gone   *Gone    `json:"gone,omitempty"`
	Take   *Take    `json:"take,omitempty"`
	Give   *Give    `json:"give,omitempty"`
	Off    *Off     `json:"write_off,omitempty"`
	Rise   *Rise    `json:"rise,omitempty"`
	Rested []Rested `json:"rested,omitempty"` // rests of rises that the leader has counted
	Divide bool     `json:"divide,omitempty"` // it is time to divide anew; the leader's clock says so
	Hold   bool     `json:"hold,omitempty"`   // nothing may grow now: grants that this ledger never knew may be in force
	By     string   `json:"by,omitempty"`
	Only   []string `json:"only,omitempty"` // divide these budgets alone
}

// Renew brings the asks of one host's backends.
type Renew struct {
	Host string               `json:"host"`
	Asks []quota.LeaseRequest `json:"asks"`
}

// Lapse ends grants of a life whose lease is surely over, up to an epoch.
type Lapse struct {
	Budget string `json:"budget"`
	Key    string `json:"key"`
	Epoch  uint64 `json:"epoch"`
}

// Gone tells that processes have ended: whoever says so has seen it, on their own host.
type Gone struct {
	Host  string   `json:"host"`
	Lives []string `json:"lives"` // keys
}

// Take asks for a unit of a count; asked again for the same turn it changes nothing.
type Take struct {
	Budget string `json:"budget"`
	Name   string `json:"name"`
	Host   string `json:"host"`
	Turn   string `json:"turn"`

	End *coldstart.End `json:"end,omitempty"` // of a unit given back: how a start came out
}

// Give gives a unit back.
type Give = Take

// Off is an operator's word that what a name has is in force no more: its host is lost for good.
type Off struct {
	Name string `json:"name"`
	By   string `json:"by"`
}

// Note is a line for the history.
type Note struct {
	Budget string `json:"budget"`
	Name   string `json:"name,omitempty"`
	Event  string `json:"event"`
	Cause  string `json:"cause,omitempty"`
}

// Result is what came of a command.
type Result struct {
	Serial  uint64                `json:"serial"`
	Answers []quota.LeaseResponse `json:"answers,omitempty"`
	No      string                `json:"no,omitempty"` // why it was not taken
	Notes   []Note                `json:"notes,omitempty"`
	Lives   []string              `json:"lives,omitempty"` // of a renewal: the keys of all that this host has
	Out     []Out                 `json:"out,omitempty"`   // and the units that it holds, with their budgets
}

// Key names a life.
func Key(name, life string) string { return name + " " + life }

// Apply takes a command in. It is the same on every copy of a ledger: nothing but the command and the ledger decides.
func (l *Ledger) Apply(c Command) (r Result) {
	l.Serial++
	r.Serial = l.Serial
	if c.Terms != nil {
		l.terms(c.Terms, &r)
	}
	for _, p := range c.Lapse {
		l.lapse(p, &r)
	}
	if c.Divide { // what is over can be given at once
		l.divide(&r)
	}
	if c.Gone != nil {
		l.gone(c.Gone, &r)
	}
	if c.Renew != nil {
		l.renew(c.Renew, c.Hold, &r)
	}
	if c.Take != nil {
		l.take(c.Take, &r)
	}
	if c.Give != nil {
		l.give(c.Give, &r)
	}
	if c.Off != nil {
		l.off(c.Off, &r)
	}
	if c.Rise != nil {
		l.rise(c.Rise, &r)
	}
	for _, w := range c.Rested {
		if s := l.Rises[w.Budget]; s != nil && s.ID == w.ID {
			s.Rested(w.Number)
		}
	}
	return r
}

func (l *Ledger) terms(t *Terms, r *Result) {
	switch {
	case t.Version < l.Terms.Version:
		r.No = fmt.Sprintf("version: %d is older than %d, which is in force", t.Version, l.Terms.Version)
		return
	case t.Version == l.Terms.Version && !t.Same(&l.Terms):
		r.No = fmt.Sprintf("version: %d is in force with other content; give the new one a higher number", t.Version)
		return
	case t.Version == l.Terms.Version:
		return
	}
	for i := range t.Budgets {
		b := &t.Budgets[i]
		if field, err := b.Check(); err != nil {
			r.No = fmt.Sprintf("budget %s: %s: %v", b.Name, field, err)
			return
		}
	}
	for i := range t.Budgets {
		b, was := &t.Budgets[i], l.Terms.Find(t.Budgets[i].Name)
		switch {
		case was == nil:
			r.Notes = append(r.Notes, Note{Budget: b.Name, Event: "budget", Cause: fmt.Sprintf("new, %s of %d", b.Kind, b.Whole)})
		case was.Whole != b.Whole:
			r.Notes = append(r.Notes, Note{Budget: b.Name, Event: "budget", Cause: fmt.Sprintf("whole from %d to %d", was.Whole, b.Whole)})
		}
	}
	l.Terms = *t
	l.Restored()
	l.divide(r)
}

// current is the life of a name that asked last; older ones are given nothing more.
func (l *Ledger) current(name string) (key string) {
	if of := l.of[name]; len(of) == 1 {
		return of[0]
	}
	asked := uint64(0)
	for _, k := range l.of[name] {
		if life := l.Lives[k]; life.Asked >= asked {
			key, asked = k, life.Asked
		}
	}
	return key
}

// divide sets targets anew. Grants follow as holders ask.
func (l *Ledger) divide(r *Result) {
	for i := range l.Terms.Budgets {
		b := &l.Terms.Budgets[i]
		if b.Kind != Rate {
			continue
		}
		var held []*Held
		var claims []Claim
		var names []string
		for _, name := range l.sums[b.Name].names {
			latest := l.current(name)
			for _, key := range l.of[name] {
				h := l.Lives[key].Held[b.Name]
				if h == nil {
					continue
				}
				if key != latest || h.Quiet {
					h.Target = 0
					continue
				}
				c := Claim{Want: -1, Weight: 1, Held: h.Target}
				if b.Divide == Demand {
					c.Want = h.Want + (h.Want+7)/8 // some room, but nothing for who asks for nothing
				}
				if w := b.Weight[name]; w > 0 && b.Divide == Capacity {
					c.Weight = w
				}
				held, claims, names = append(held, h), append(claims, c), append(names, name)
			}
		}
		pool := b.Whole - l.sums[b.Name].floors
		if plants.floors {
			pool = b.Whole
		}
		parts := Fair(pool, b.Step, claims)
		if b.Divide == Demand {
			parts = Steady(pool, b.Step, claims, parts)
		}
		moved, most, who := int64(0), int64(0), ""
		for i, h := range held {
			by := max(parts[i]-h.Target, h.Target-parts[i])
			if moved += by; by > most {
				most, who = by, names[i]
			}
			h.Target = parts[i]
		}
		if moved > 0 {
			r.Notes = append(r.Notes, Note{Budget: b.Name, Event: "division", Cause: fmt.Sprintf("%d units moved among %d, most at %s (%d)", moved, len(held), who, most)})
		}
	}
}

func (l *Ledger) renew(c *Renew, hold bool, r *Result) {
	for i := range c.Asks {
		r.Answers = append(r.Answers, l.answer(c.Host, &c.Asks[i], hold, r))
	}
	r.Lives = sortedKeys(l.at[c.Host])
	for _, b := range sortedKeys(l.Counts) {
		for _, name := range sortedKeys(l.Counts[b]) {
			if o := l.Counts[b][name]; o.Host == c.Host {
				r.Out = append(r.Out, o)
			}
		}
	}
}

// answer grants one ask what the division leaves it, as far as that is free.
func (l *Ledger) answer(host string, q *quota.LeaseRequest, hold bool, r *Result) quota.LeaseResponse {
	a := quota.LeaseResponse{Name: q.Name, Incarnation: q.Incarnation, Number: q.Number}
	key := Key(q.Name, q.Incarnation)
	life := l.Lives[key]
	if life != nil && q.Number <= life.Number {
		a.Refusal = fmt.Sprintf("ask %d is old: %d was heard", q.Number, life.Number)
		return a
	}
	for _, k := range l.of[q.Name] { // a floor is one process's; of extras too each is counted until it is over
		if other := l.Lives[k]; k != key && l.anyFloor(other) {
			a.Refusal = fmt.Sprintf("%s has its floor as %s at %s: that one has to end there, or be written off", q.Name, other.Life, other.Host)
			return a
		}
	}
	for _, k := range q.Usage {
		if k.Epoch > l.Serial { // this ledger granted it and does not know: it was set back
			r.Notes = append(r.Notes, Note{Budget: k.Budget, Name: q.Name, Event: "ledger is older than its grants",
				Cause: fmt.Sprintf("epoch %d is held, %d is the latest here", k.Epoch, l.Serial)})
			l.Serial = k.Epoch + 1
			l.Forgot++
			a.Refusal = "the ledger was set back and waits until all is over that it may have granted"
			return a
		}
	}
	if life == nil {
		if len(l.Lives) >= mostLives {
			a.Refusal = fmt.Sprintf("%d lives are known already", mostLives)
			return a
		}
		life = &Life{Name: q.Name, Life: q.Incarnation, Host: host, Held: map[string]*Held{}}
		l.Lives[key] = life
		l.of[q.Name] = append(l.of[q.Name], key)
	}
	span := q.Clock - life.Clock
	first := life.Number == 0
	l.move(key, life, host)
	life.Number, life.Clock, life.Asked = q.Number, q.Clock, l.Serial
	for _, k := range q.Usage {
		b := l.Terms.Find(k.Budget)
		if b == nil || b.Kind != Rate {
			continue
		}
		if _, named := b.Floors[q.Name]; !named {
			continue
		}
		h := life.Held[b.Name]
		if h == nil {
			h = &Held{Drawn: k.Drawn, Denied: k.Denied}
			life.Held[b.Name] = h
		}
		confirmed := slices.DeleteFunc(slices.Clone(h.Grants), func(g Grant) bool { return g.Epoch < k.Epoch })
		l.change(b.Name, life, h, confirmed)
		if !first {
			want := learn(h.Want+b.Floors[q.Name], h.floor()+h.extra(), b.Whole, k.Drawn-h.Drawn, k.Denied-h.Denied, span)
			h.Want = max(0, want-b.Floors[q.Name])
		}
		h.Drawn, h.Denied, h.Quiet = k.Drawn, k.Denied, false
		if first { // until the next division
			h.Target = max(h.Target, min(b.Step, l.free(b, h)))
		}
		a.Grants = append(a.Grants, l.grant(b, life, h, hold))
	}
	return a
}

func (l *Ledger) anyFloor(life *Life) bool {
	for _, b := range life.Held {
		if b.floor() > 0 {
			return true
		}
	}
	return false
}

// free is what a life may have above its floor while all others keep what they may act on.
func (l *Ledger) free(b *Budget, h *Held) int64 {
	s := l.sums[b.Name]
	floors := s.floors
	if plants.floors {
		floors = 0
	}
	return max(0, b.Whole-floors-(s.extras-h.extra()))
}

// grant gives a life its part. What is in force never grows past the whole: a lower whole, or a floor that was raised,
// is reached as others confirm that they have less.
func (l *Ledger) grant(b *Budget, life *Life, h *Held, hold bool) quota.Grant {
	s := l.sums[b.Name]
	now := h.extra()
	extra := min(h.Target, max(now, l.free(b, h)))
	if hold {
		extra = min(extra, now)
	}
	floor := b.Floors[life.Name]
	if told := s.told[life.Name]; floor > told {
		rest := s.inForce - told + max(0, extra-now)
		floor = max(told, min(floor, b.Whole-rest))
		if hold {
			floor = told
		}
	}
	g := Grant{Epoch: l.Serial, Floor: floor, Extra: extra, Lease: b.Lease, Margin: b.Margin}
	grants := append(slices.Clone(h.Grants), g)
	for len(grants) > keptGrants { // counted into the next: never less than may be in force
		g, next := &grants[0], &grants[1]
		next.Floor, next.Extra, next.Lease = max(g.Floor, next.Floor), max(g.Extra, next.Extra), max(g.Lease, next.Lease)
		next.Margin = max(g.Margin, next.Margin)
		grants = grants[1:]
	}
	l.change(b.Name, life, h, grants)
	return quota.Grant{Budget: b.Name, Epoch: g.Epoch, Floor: g.Floor, Extra: g.Extra, Lease: b.Lease}
}

// lapse ends the extras of grants up to an epoch. Floors have no lease.
func (l *Ledger) lapse(p Lapse, r *Result) {
	life := l.Lives[p.Key]
	if life == nil || life.Held[p.Budget] == nil {
		return
	}
	defer l.forget(p.Key)
	h := life.Held[p.Budget]
	grants := slices.Clone(h.Grants)
	lost := int64(0)
	for i := range grants {
		if grants[i].Epoch <= p.Epoch {
			lost = max(lost, grants[i].Extra)
			grants[i].Extra = 0
		}
	}
	l.change(p.Budget, life, h, grants)
	if n := len(grants); n > 0 && grants[n-1].Epoch <= p.Epoch {
		h.Want, h.Target, h.Quiet = 0, 0, true
		if lost == 0 {
			return
		}
		r.Notes = append(r.Notes, Note{Budget: p.Budget, Name: life.Name, Event: "share over", Cause: fmt.Sprintf("%d units a second: the lease of epoch %d has run out", lost, p.Epoch)})
	}
}

// forget lets go of a life that has nothing and is not its name's latest.
func (l *Ledger) forget(key string) {
	life := l.Lives[key]
	if life == nil || l.current(life.Name) == key {
		return
	}
	for _, h := range life.Held {
		if h.floor()+h.extra() > 0 {
			return
		}
	}
	l.remove(key)
}

func (l *Ledger) remove(key string) {
	name := l.Lives[key].Name
	delete(l.at[l.Lives[key].Host], key)
	delete(l.Lives, key)
	if l.of[name] = slices.DeleteFunc(l.of[name], func(k string) bool { return k == key }); len(l.of[name]) == 0 {
		delete(l.of, name)
	}
}

// end takes all from a life.
func (l *Ledger) end(key, cause string, r *Result) {
	life := l.Lives[key]
	for _, b := range sortedKeys(life.Held) {
		if h := life.Held[b]; h.floor()+h.extra() > 0 {
			r.Notes = append(r.Notes, Note{Budget: b, Name: life.Name, Event: "share over", Cause: fmt.Sprintf("%d units a second: %s", h.extra(), cause)})
			l.change(b, life, h, nil)
		}
	}
	l.remove(key)
}

func (l *Ledger) gone(c *Gone, r *Result) {
	for _, key := range c.Lives {
		if life := l.Lives[key]; life != nil && life.Host == c.Host {
			l.end(key, "its process has ended", r)
		}
	}
}

func (l *Ledger) take(c *Take, r *Result) {
	b := l.Terms.Find(c.Budget)
	if b == nil || b.Kind != Count {
		r.No = fmt.Sprintf("budget: %q is no count of version %d", c.Budget, l.Terms.Version)
		return
	}
	out := l.Counts[c.Budget]
	if out == nil {
		out = map[string]Out{}
		l.Counts[c.Budget] = out
	}
	o, has := out[c.Name]
	switch {
	case has && o.Turn == c.Turn && o.Host == c.Host:
	case has:
		r.No = fmt.Sprintf("%s holds one already, for %s at %s", c.Name, o.Turn, o.Host)
	case slices.Contains(l.Ended[c.Budget+" "+c.Name], c.Turn):
		r.No = fmt.Sprintf("turn: %q of %s has ended", c.Turn, c.Name)
	case int64(len(out)) >= b.Whole-b.Aside || len(out) >= mostOut || len(l.Ended) >= mostOut:
		r.No = fmt.Sprintf("all %d are held", b.Whole-b.Aside)
	case !l.mayRise(c, r):
	default:
		out[c.Name] = Out{c.Budget, c.Name, c.Host, c.Turn, l.Serial}
	}
}

func (l *Ledger) give(c *Give, r *Result) {
	if o, has := l.Counts[c.Budget][c.Name]; has && o.Turn == c.Turn && o.Host == c.Host {
		delete(l.Counts[c.Budget], c.Name)
		l.turned(c.Budget, c.Name, c.Turn)
	}
	l.roseOrNot(c, r)
}

func (l *Ledger) turned(budget, name, turn string) {
	key := budget + " " + name
	if l.Ended[key] = append(l.Ended[key], turn); len(l.Ended[key]) > keptTurns {
		l.Ended[key] = l.Ended[key][1:]
	}
}

func (l *Ledger) off(c *Off, r *Result) {
	known := false
	for _, key := range slices.Clone(l.of[c.Name]) {
		known = true
		l.end(key, "written off by "+c.By, r)
	}
	for _, b := range sortedKeys(l.Counts) {
		if o, has := l.Counts[b][c.Name]; has {
			known = true
			if s := l.Rises[b]; s != nil {
				s.Lost(c.Name)
			}
			delete(l.Counts[b], c.Name)
			l.turned(b, c.Name, o.Turn)
			r.Notes = append(r.Notes, Note{Budget: b, Name: c.Name, Event: "unit over", Cause: "written off by " + c.By})
		}
	}
	if !known {
		r.No = fmt.Sprintf("name: %q has nothing", c.Name)
	}
}

// Use is how one budget stands.
type Use struct {
	Budget  string   `json:"budget"`
	Kind    Kind     `json:"kind"`
	Whole   int64    `json:"whole"`
	Floors  int64    `json:"floors"`   // set aside
	InForce int64    `json:"in_force"` // that may be acted on now
	Holders []Holder `json:"holders,omitempty"`
}

// Holder is one line of it.
type Holder struct {
	Name   string `json:"name"`
	Life   string `json:"life,omitempty"`
	Host   string `json:"host"`
	Epoch  uint64 `json:"epoch"`
	Floor  int64  `json:"floor"`
	Extra  int64  `json:"extra"`
	Target int64  `json:"target"`
	Want   int64  `json:"want"`
	Drawn  int64  `json:"drawn"`
	Denied int64  `json:"denied"`
	Turn   string `json:"turn,omitempty"`
	Left   Micros `json:"left_us,omitempty"` // until the extra is surely over, if it is not renewed
}

// Uses tells how all budgets stand, by name.
func (l *Ledger) Uses() (all []Use) {
	for i := range l.Terms.Budgets {
		b := &l.Terms.Budgets[i]
		u := Use{Budget: b.Name, Kind: b.Kind, Whole: b.Whole}
		if b.Kind == Count {
			u.InForce = int64(len(l.Counts[b.Name]))
			for _, name := range sortedKeys(l.Counts[b.Name]) {
				o := l.Counts[b.Name][name]
				u.Holders = append(u.Holders, Holder{Name: name, Host: o.Host, Epoch: o.Epoch, Turn: o.Turn})
			}
		} else if s := l.sums[b.Name]; s != nil {
			u.Floors, u.InForce = s.floors, s.inForce
			for _, key := range sortedKeys(l.Lives) {
				life := l.Lives[key]
				h := life.Held[b.Name]
				if h == nil {
					continue
				}
				one := Holder{Name: life.Name, Life: life.Life, Host: life.Host, Floor: h.floor(), Extra: h.extra(), Target: h.Target, Want: h.Want, Drawn: h.Drawn, Denied: h.Denied}
				if n := len(h.Grants); n > 0 {
					one.Epoch = h.Grants[n-1].Epoch
				}
				u.Holders = append(u.Holders, one)
			}
		}
		all = append(all, u)
	}
	return all
}

// View is how all budgets stand, as the ledger's leader has it.
type View struct {
	Leader  string   `json:"leader"`
	Term    uint64   `json:"term"`
	Version uint64   `json:"version"`
	Members []string `json:"members"`
	Hold    bool     `json:"hold,omitempty"` // nothing grows now: grants may be in force that this ledger forgot
	Budgets []Use    `json:"budgets"`
	Rises   []Rising `json:"rises,omitempty"`
}
