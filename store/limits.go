package store

import (
	"sync"
	"time"

	"cedardoor/config"
	"cedardoor/wire"
)

// raiseInterval is how long a limit that refused transactions have shown applies before a higher one is
// tried.
const raiseInterval = 10 * time.Minute

// ConditionsPerOperation is how many conditions a transaction may have for each operation that the
// service allows.
const ConditionsPerOperation = 4

// limits are the limits that the service is believed to have. They begin as in the settings. The service
// may lower them at any time: to those that the settings announce, or to others, which only refused
// transactions show.
type limits struct {
	configured config.State

	mu        sync.Mutex // guards the fields below
	current   config.State
	txnOps    learnedLimit
	maxValue  learnedLimit
	announced bool // whether the announced limits apply
}

// learnedLimit is a limit that refused transactions have shown; zero if none.
type learnedLimit struct {
	value   int
	raiseAt time.Time
}

func newLimits(state config.State) *limits { return &limits{configured: state, current: state} }

// rates returns the limits as configured or announced.
func (l *limits) rates() config.State {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.current
}

// adoptAnnounced applies the announced limits if a refused transaction shows that they may be in force:
// it is within the present ones and beyond those. It reports whether it did.
func (l *limits) adoptAnnounced(txn *wire.Txn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	next := l.configured.Lowered()
	if l.announced || l.configured.Next == nil || !exceeds(txn, next) {
		return false
	}
	l.announced, l.current = true, next
	return true
}

// exceeds reports whether a transaction is beyond limits.
func exceeds(txn *wire.Txn, state config.State) bool {
	if len(txn.Operations) > state.TxnOps || len(txn.Conditions) > ConditionsPerOperation*state.TxnOps {
		return true
	}
	for _, operation := range txn.Operations {
		if operation.Set != "" && ValueSize(operation.Value) > state.ValueBytes() {
			return true
		}
	}
	return false
}

// apply returns the limit that applies now. A learned one is doubled after raiseInterval, until it
// reaches the believed one.
func (l *learnedLimit) apply(believed int, now time.Time) int {
	if l.value == 0 || l.value >= believed {
		return believed
	}
	if now.After(l.raiseAt) {
		l.value, l.raiseAt = 2*l.value, now.Add(raiseInterval)
	}
	return min(l.value, believed)
}

// lower sets the limit if it is lower than the one that applies.
func (l *learnedLimit) lower(value, believed int, now time.Time) {
	if value < l.apply(believed, now) {
		l.value, l.raiseAt = value, now.Add(raiseInterval)
	}
}

// TxnOps returns how many operations a transaction may hold. It may have four times as many conditions.
func (c *Client) TxnOps() int {
	l := c.budget.limits
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.txnOps.apply(l.current.TxnOps, time.Now())
}

// MaxValueBytes returns how large a value may be in the JSON form.
func (c *Client) MaxValueBytes() int {
	l := c.budget.limits
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.maxValue.apply(l.current.ValueBytes(), time.Now())
}

// LowerLimits notes limits that refused transactions have shown; zero for those that are unchanged.
func (c *Client) LowerLimits(txnOps, valueBytes int) {
	l := c.budget.limits
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if txnOps > 0 {
		l.txnOps.lower(txnOps, l.current.TxnOps, now)
	}
	if valueBytes > 0 {
		l.maxValue.lower(valueBytes, l.current.ValueBytes(), now)
	}
}
