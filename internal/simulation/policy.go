package simulation

import (
	"slices"

	"milletbarrow/admission"
	"milletbarrow/internal/backend/degradation"
)

// Policy is the subject of an experiment: the decisions of the hosts, and optionally those of the edge nodes.
type Policy struct {
	Name        string
	New         func(config admission.Config, seed uint64) Decider
	Degradation *degradation.Policy // graceful degradation in front of New's Decider; nil: none
	Balance     *Balance            // overrides the scenario's balancing policy; nil: it does not
	Throttles   bool                // nodes throttle on the client side
	QuotaSource QuotaSource         // how hosts get their shares of the tenants' quotas
	KnowsWork   bool                // the expected work of a request is its true work
	Description string              // one line, for lists; part of the keys of stored results
	Source      string              // origin of the algorithm
}

// balance returns the balancing policy that the nodes use.
func (p *Policy) balance(s *Scenario) Balance {
	if p.Balance != nil {
		return *p.Balance
	}
	return s.Nodes.Balance
}

// throttles reports whether nodes throttle on the client side.
func (p *Policy) throttles(s *Scenario) bool { return p.Throttles || s.Nodes.Throttles }

// Module is the name of the policy that uses admission.Backend, unchanged.
const Module = "milletbarrow"

// Policies returns all policies: the module first, then the baselines for comparison, and the oracle. Their
// descriptions are part of the keys of stored results and must not change.
func Policies() []Policy {
	module := Policy{
		Name:        Module,
		Description: "the module, unchanged",
		New:         func(config admission.Config, seed uint64) Decider { return admission.New(config, seed) },
		Source:      "docs/design.md",
	}
	return slices.Concat([]Policy{module}, hostPolicies(), nodePolicies(), []Policy{oraclePolicy()})
}

// hostPolicies returns the baselines that differ in the decisions of the hosts.
func hostPolicies() []Policy {
	return []Policy{
		{
			Name:        "pool",
			New:         threadPool(),
			Description: "a run a core, and a line of four a core, in turn",
			Source:      "a plain thread pool",
		},
		{
			Name:        "none",
			New:         newPool(func(p *pool) { p.concurrency, p.queueLimit = 1<<30, 0 }),
			Description: "all that comes is run at once",
			Source:      "no admission",
		},
		{
			Name:        "fixed",
			New:         newPool(func(p *pool) { p.concurrency, p.queueLimit = 4*p.config.Cores, 0 }),
			Description: "four runs a core, no line",
			Source:      "a fixed limit of concurrency",
		},
		{
			Name:        "aimd",
			New:         newPool(func(p *pool) { p.concurrency, p.queueLimit, p.adapt = 4*p.config.Cores, 0, adaptAIMD }),
			Description: "a limit that grows by one a round of successes and falls by a tenth when one is late",
			Source:      "Jacobson, Congestion Avoidance and Control, 1988; as a limit of concurrency",
		},
		{
			Name:        "gradient",
			New:         newPool(func(p *pool) { p.concurrency, p.queueLimit, p.adapt = 4*p.config.Cores, 0, adaptGradient }),
			Description: "a limit that follows the long-term by the present time of a run, with room for a root of itself",
			Source:      "the gradient limit, Performance Under Load, Netflix Technology Blog, 2018",
		},
		{
			Name:        "codel",
			New:         newPool(func(p *pool) { p.queueLimit, p.targetDelay = 64*p.config.Cores, 100*Millisecond }),
			Description: "newest first once the line has not been empty for 100 ms; what waited longer than allowed is turned away",
			Source:      "Nichols and Jacobson, Controlling Queue Delay, 2012; adaptive LIFO, Maurer, Fail at Scale, 2015",
		},
	}
}

// nodePolicies returns the baselines that differ in the decisions of the edge nodes. Their hosts are plain thread
// pools.
func nodePolicies() []Policy {
	twoChoices := TwoChoices
	leastLoad := LeastLoad
	return []Policy{
		{
			Name:        "client",
			New:         threadPool(),
			Throttles:   true,
			Description: "pool, and nodes that throttle by the share accepted of late",
			Source:      "Handling Overload, Site Reliability Engineering, 2016",
		},
		{
			Name:        "two-choices",
			New:         threadPool(),
			Balance:     &twoChoices,
			Description: "pool, and nodes that take the emptier of two hosts",
			Source:      "Mitzenmacher, The Power of Two Choices in Randomized Load Balancing, 1996",
		},
		{
			Name:        "least-load",
			New:         threadPool(),
			Balance:     &leastLoad,
			Description: "pool, and nodes that weigh what they have open by how long it takes",
			Source:      "weighted least load",
		},
	}
}

// oraclePolicy returns the policy that knows the true load and work, as an upper bound for comparison.
func oraclePolicy() Policy {
	balance := Oracle
	return Policy{
		Name:        "oracle",
		Balance:     &balance,
		KnowsWork:   true,
		Description: "sees each host's true work 0.1 s late, and the work of what comes; by value for its work",
		New:         newPool(func(p *pool) { p.queueLimit, p.byValue = 1<<20, true }),
		Source:      "not realizable: an upper bound for the other policies",
	}
}

// threadPool returns the constructor of a plain thread pool with a short queue.
func threadPool() func(admission.Config, uint64) Decider { return newPool(func(*pool) {}) }

// PolicyNamed returns the policy with a name. The error is an *UnknownPolicyError.
func PolicyNamed(name string) (*Policy, error) {
	all := Policies()
	if i := slices.IndexFunc(all, func(p Policy) bool { return p.Name == name }); i >= 0 {
		return &all[i], nil
	}
	var names []string
	for _, p := range all {
		names = append(names, p.Name)
	}
	return nil, &UnknownPolicyError{Name: name, Known: names}
}
