package quota

// Classes of requests by the priority of their route. When a team asks for more than it has, a
// collector reserves from less urgent requests what the more urgent ones are expected to need:
// their demand of reserveTime and one token more, at most half of the bucket. The least urgent
// class that asks gets at least a tenth of the refill. Without requests of a more urgent class
// nothing is reserved.

import (
	"math"
	"time"
)

const (
	// Classes is the number of classes. Priorities of Classes - 1 and above share the last one.
	Classes = 4
	// classLifetime is the time after a request for which its class counts as one that asks.
	classLifetime = 2 * time.Second
	// reserveTime is the time of the demand of more urgent classes for which tokens are
	// reserved.
	reserveTime = 500 * time.Millisecond
	// smallBucket is the bucket, in tokens, below which tokens are reserved only for a while
	// after some were lacking in all failure domains. A reserve of whole tokens in such buckets
	// would make less urgent requests borrow all the time.
	smallBucket = 4
	// tinyBucket is the bucket, in tokens, below which nothing is reserved. Urgent requests
	// borrow from collectors whose own requests are less urgent.
	tinyBucket = 2
	// leastShare is the part of the refill that the least urgent class gets at least.
	leastShare = 0.1
)

// classOf returns the class of a priority.
func classOf(priority int) int { return max(0, min(priority, Classes-1)) }

// byClass returns the wanted tokens by class. A holder that does not tell the classes counts as
// most urgent.
func (w Want) byClass() (out [Classes]int) {
	left := w.Tokens
	for class, n := range w.Classes {
		n = max(0, min(n, left))
		out[classOf(class)] += n
		left -= n
	}
	out[0] += left
	return out
}

// countDemand records what a holder wants. Wants that were unserved before and are repeated do
// not count as new demand.
func (a *account) countDemand(now time.Time, holder string, w Want) {
	a.decayDemand(now)
	before := a.wants[holder]
	if now.Sub(before.at) > wantLifetime {
		before = classWants{}
	}
	wants := classWants{at: now, tokens: w.byClass(), waiting: w.Waiting}
	for class, n := range wants.tokens {
		if n > 0 {
			a.seenAt[class] = now
			a.demand[class] += float64(max(0, n-before.tokens[class])) / collectorDemandTime.Seconds()
		}
	}
	a.wants[holder] = wants
}

func (a *account) decayDemand(now time.Time) {
	d := now.Sub(a.demandAt)
	if d <= 0 {
		return
	}
	a.demandAt = now
	f := math.Exp(-d.Seconds() / collectorDemandTime.Seconds())
	for class := range a.demand {
		a.demand[class] *= f
	}
	a.granted *= f
}

// totalDemand returns the number of tokens that the holders want in a second.
func (a *account) totalDemand(now time.Time) float64 {
	a.decayDemand(now)
	sum := 0.0
	for _, d := range a.demand {
		sum += d
	}
	return sum
}

// reserved returns the number of tokens that requests of a class must leave for more urgent
// ones.
func (a *account) reserved(now time.Time, class int) float64 {
	if a.burst < tinyBucket || a.burst < smallBucket && now.Sub(a.scarceAt) >= classLifetime {
		return 0
	}
	a.decayDemand(now)
	need := 0.0
	for urgent := range class {
		if now.Sub(a.seenAt[urgent]) < classLifetime {
			need += a.demand[urgent]*reserveTime.Seconds() + 1
		}
	}
	return min(need, a.burst/2)
}

// leastUrgent returns the least urgent class that asks.
func (a *account) leastUrgent(now time.Time) int {
	for class := Classes - 1; class > 0; class-- {
		if now.Sub(a.seenAt[class]) < classLifetime {
			return class
		}
	}
	return 0
}

// mostUrgent returns the most urgent class with unserved wants.
func (a *account) mostUrgent(now time.Time) int {
	wants, _ := a.totalWants(now)
	for class, n := range wants {
		if n > 0 {
			return class
		}
	}
	return a.leastUrgent(now)
}
