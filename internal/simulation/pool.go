package simulation

import (
	"math"
	"slices"

	"milletbarrow/admission"
	"milletbarrow/monotime"
)

// newPool returns the constructor of a baseline that is a thread pool. It runs one request per core and queues four per
// core, unless configure changes that.
func newPool(configure func(*pool)) func(admission.Config, uint64) Decider {
	return func(config admission.Config, _ uint64) Decider {
		p := &pool{config: config, runsByID: map[string]*pooledRun{}, drainingAt: never, stopAt: never}
		p.tick = max(min(20*Millisecond, config.AnswerSlack/3), Millisecond)
		p.concurrency, p.queueLimit = config.Cores, 4*config.Cores
		configure(p)
		return p
	}
}

// Parameters of the baselines.
const (
	overloadedDelayFactor = 20 // divisor of targetDelay while the queue does not empty
	shortTermWeight       = 0.1
	longTermWeight        = 0.002
	gradientTolerance     = 1.5 // factor by which runs may take longer before the limit falls
	minGradient           = 0.5
	gradientSmoothing     = 0.2
)

// never is a time after the end of any simulation.
const never = monotime.Micros(1 << 60)

// pool is the common part of the baselines that decide on hosts. It keeps the four rules as the module does, because a
// comparison with a policy that breaks them would be meaningless.
type pool struct {
	config                  admission.Config
	concurrency, queueLimit int // limits of running and len(queue)
	adapt                   func(p *pool, now monotime.Micros, duration monotime.Micros, late bool)
	targetDelay             monotime.Micros // target of controlled delay (CoDel); 0: the queue is FIFO
	byValue                 bool            // the queue is ordered by priority per work
	runsByID                map[string]*pooledRun
	queue                   []*pooledRun
	runs                    []*pooledRun
	running                 int
	tick                    monotime.Micros
	drainingAt, stopAt      monotime.Micros
	queueEmptyAt            monotime.Micros // last time at which the queue was empty
	longTerm, shortTerm     float64         // moving averages of the duration of runs, in microseconds
	estimate                float64         // the concurrency limit before rounding
	successes               int
}

// pooledRun is a request in a pool, queued or running.
type pooledRun struct {
	id                          string
	arrivedAt, dueAt, startedAt monotime.Micros
	objectiveAt                 monotime.Micros
	valueDensity                float64
	work                        monotime.Micros
	running, answered           bool
}

// Decide implements Decider.
func (p *pool) Decide(now monotime.Micros, ev admission.Event, out []admission.Action) []admission.Action {
	switch e := ev.(type) {
	case admission.Opened:
		p.queueEmptyAt = now
		return append(out, admission.Wake{At: now + p.tick, Token: 1})
	case admission.Reading:
		return append(p.startNext(now, p.expire(now, out)), admission.Wake{At: now + p.tick, Token: 1})
	case admission.DrainNotice:
		p.drainingAt, p.stopAt = now, now+e.Left
		return p.expire(now, append(out, admission.SetHealth{}))
	case admission.Arrived:
		out = p.arrive(now, e, out)
	case admission.Finished:
		if j := p.runsByID[e.ID]; j != nil {
			p.remove(j)
			if p.adapt != nil && e.Outcome == admission.OK {
				p.adapt(p, now, now-j.startedAt, now > j.objectiveAt)
			}
		}
	case admission.CallerGone:
		if j := p.runsByID[e.ID]; j != nil {
			j.answered = true
			if !j.running {
				p.remove(j)
			}
		}
	case admission.NeedsCall:
		if j := p.runsByID[e.ID]; j != nil && !j.answered {
			return append(out, admission.Call{ID: e.ID, Timeout: max(1000, min(j.dueAt, p.lastAnswerAt())-now)})
		}
	case admission.CallReturned:
		if j := p.runsByID[e.ID]; j != nil && e.Outcome != admission.OK && !j.answered {
			j.answered = true
			return append(out, admission.Fail{ID: e.ID})
		}
	}
	return p.startNext(now, out)
}

// lastAnswerAt returns the time at which the last answers are sent before the process exits.
func (p *pool) lastAnswerAt() monotime.Micros { return p.stopAt - 3*p.tick }

// arrive queues or rejects a request.
func (p *pool) arrive(now monotime.Micros, a admission.Arrived, out []admission.Action) []admission.Action {
	op := &p.config.Operations[a.Operation]
	if now-a.QueueTime > p.drainingAt+p.config.DrainGrace || now >= p.lastAnswerAt() || a.ShedFor > 0 {
		return append(out, admission.Throttle{ID: a.ID})
	}
	if p.running >= p.concurrency && len(p.queue) >= p.queueLimit && !p.byValue {
		return append(out, admission.Throttle{ID: a.ID})
	}
	j := &pooledRun{id: a.ID, arrivedAt: now - a.QueueTime, dueAt: now + a.TimeLeft, work: a.ExpectedWork}
	j.objectiveAt = min(j.dueAt, j.arrivedAt+op.Objective)
	j.valueDensity = (a.Priority + 0.01) / float64(max(a.ExpectedWork, 1000))
	p.runsByID[a.ID] = j
	p.runs = append(p.runs, j)
	p.queue = append(p.queue, j)
	return out
}

// remove removes a request from the pool.
func (p *pool) remove(j *pooledRun) {
	delete(p.runsByID, j.id)
	same := func(o *pooledRun) bool { return o == j }
	p.runs = slices.DeleteFunc(p.runs, same)
	if j.running {
		p.running--
	} else {
		p.queue = slices.DeleteFunc(p.queue, same)
	}
}

// startNext starts queued requests up to the concurrency limit: in order of arrival, newest first under controlled
// delay while the queue does not empty, or by value.
func (p *pool) startNext(now monotime.Micros, out []admission.Action) []admission.Action {
	for p.running < p.concurrency && len(p.queue) > 0 {
		k := 0
		switch {
		case p.byValue:
			for i, j := range p.queue {
				if j.valueDensity > p.queue[k].valueDensity {
					k = i
				}
			}
		case p.targetDelay > 0 && now-p.queueEmptyAt > p.targetDelay:
			k = len(p.queue) - 1
		}
		j := p.queue[k]
		if p.byValue && now+j.work > j.objectiveAt || now+p.tick >= j.dueAt {
			p.remove(j)
			out = append(out, admission.Throttle{ID: j.id})
			continue
		}
		p.queue = slices.Delete(p.queue, k, k+1)
		j.running, j.startedAt = true, now
		p.running++
		out = append(out, admission.Start{ID: j.id})
	}
	if len(p.queue) == 0 {
		p.queueEmptyAt = now
	}
	return out
}

// expire answers requests whose deadline is near. Under controlled delay it also rejects requests that have waited for
// targetDelay, or for a twentieth of it while the queue does not empty.
func (p *pool) expire(now monotime.Micros, out []admission.Action) []admission.Action {
	for _, j := range slices.Clone(p.runs) {
		allowed := p.targetDelay
		if now-p.queueEmptyAt > p.targetDelay {
			allowed = p.targetDelay / overloadedDelayFactor
		}
		expired := now+p.tick >= min(j.dueAt, p.lastAnswerAt())
		switch {
		case j.answered:
		case j.running && expired:
			j.answered = true
			out = append(out, admission.Fail{ID: j.id})
		case !j.running && (expired || p.targetDelay > 0 && now-j.arrivedAt > allowed ||
			p.byValue && now+j.work > j.objectiveAt):
			p.remove(j)
			out = append(out, admission.Throttle{ID: j.id})
		}
	}
	return out
}

// maxConcurrency returns the upper bound of an adaptive limit: 80% of the number of runs beyond which a host slows
// down.
func (p *pool) maxConcurrency() float64 {
	return 0.8 * p.config.CollapseMultiple * float64(p.config.Cores)
}

// adaptAIMD adapts the concurrency limit by additive increase and multiplicative decrease.
func adaptAIMD(p *pool, _, _ monotime.Micros, late bool) {
	if late {
		p.concurrency = max(p.config.Cores, p.concurrency*9/10)
		p.successes = 0
	} else if p.successes++; p.successes >= p.concurrency && p.running >= p.concurrency/2 {
		p.concurrency, p.successes = min(p.concurrency+1, int(p.maxConcurrency())), 0
	}
}

// adaptGradient adapts the concurrency limit by the ratio of the long-term to the recent duration of runs.
func adaptGradient(p *pool, _, duration monotime.Micros, _ bool) {
	x := float64(duration)
	if p.longTerm == 0 {
		p.longTerm, p.shortTerm, p.estimate = x, x, float64(p.concurrency)
	}
	p.shortTerm += (x - p.shortTerm) * shortTermWeight
	p.longTerm += (x - p.longTerm) * longTermWeight
	if p.longTerm > 2*p.shortTerm { // speeds up recovery from a long overload
		p.longTerm *= 0.95
	}
	gradient := max(minGradient, min(1, gradientTolerance*p.longTerm/p.shortTerm))
	if p.running >= p.concurrency/2 {
		p.estimate = p.estimate*(1-gradientSmoothing) + gradientSmoothing*(p.estimate*gradient+math.Sqrt(p.estimate))
	}
	p.concurrency = int(max(float64(p.config.Cores), min(p.estimate, p.maxConcurrency())))
}
