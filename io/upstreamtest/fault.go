package upstreamtest

// Faults can be injected and removed while the group runs. A partition behaves like TCP
// on a network that drops packets: nothing arrives, no connection is closed, and what was
// sent is delivered after the partition has ended.

import (
	"net"
	"sync"
	"time"
)

// Client describes a connection to the match function of Partition.
type Client struct {
	// Addr is the client's address.
	Addr net.Addr
	// Params are the startup parameters.
	Params map[string]string
}

// timing holds the configured durations of an upstream.
type timing struct{ lag, exec, open, latency, response time.Duration }

// faults holds the injected faults of an upstream.
type faults struct {
	mu               sync.Mutex
	changed          chan struct{} // closed and replaced at each change of the faults
	timing           timing
	paused           bool
	crashed          bool
	refuse           bool               // new connections are reset
	partitioned      func(Client) bool  // selects the clients that cannot reach the upstream; nil for none
	partitionedPeers map[*Upstream]bool // the upstreams without replication from or to this one
	responsesToLose  int                // number of responses to writes still to lose
	mute             bool               // a lost response leaves the connection open and silent
	swapsLeft        int                // number of pairs of responses still to swap
	held             *heldResponse      // the first response of a pair, waiting for the second
}

// heldResponse is a response of a connection that is not sent yet.
type heldResponse struct {
	conn *conn
	data []byte
}

// update changes the faults and wakes the goroutines that wait for a change.
func (f *faults) update(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
	close(f.changed)
	f.changed = make(chan struct{})
}

// timings returns the configured durations.
func (f *faults) timings() timing {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.timing
}

// stopped reports whether the upstream is paused or crashed and so does not replicate.
func (f *faults) stopped() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.paused || f.crashed
}

// refusesConnections reports whether new connections are reset.
func (f *faults) refusesConnections() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.refuse || f.crashed
}

// blocksClient reports whether the packets from and to a client are held back. It also
// returns a channel that is closed at the next change of the faults.
func (f *faults) blocksClient(c *Client) (bool, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.paused || f.partitioned != nil && f.partitioned(*c), f.changed
}

// loseNextResponse reports whether the response to the current write is to be lost, and
// counts the loss. mute leaves the connection open and silent.
func (f *faults) loseNextResponse() (lost, mute bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.responsesToLose == 0 {
		return false, false
	}
	f.responsesToLose--
	return true, f.mute
}

// swapResponse exchanges the responses of two connections while swaps remain. It
// returns the responses to send now: none for the first connection of a pair, both for
// the second.
func (f *faults) swapResponse(c *conn, b []byte) []heldResponse {
	f.mu.Lock()
	defer f.mu.Unlock()
	h := f.held
	switch {
	case f.swapsLeft == 0 || h != nil && h.conn == c:
		return []heldResponse{{c, b}}
	case h == nil:
		f.held = &heldResponse{c, b}
		return nil
	}
	f.held = nil
	f.swapsLeft--
	return []heldResponse{{h.conn, b}, {c, h.data}}
}

// Crash resets all connections, rolls back all open transactions and refuses new
// connections until Restart. The log is kept.
func (u *Upstream) Crash() {
	u.faults.update(func() { u.faults.crashed = true })
	u.mu.Lock()
	defer u.mu.Unlock()
	u.abortTransactions()
	for c := range u.conns {
		c.kill()
	}
}

// Restart ends a crash. The upstream keeps its log, fenced term and role.
func (u *Upstream) Restart() { u.faults.update(func() { u.faults.crashed = false }) }

// Pause suspends the upstream until Resume: it neither reads, responds nor replicates.
func (u *Upstream) Pause() { u.faults.update(func() { u.faults.paused = true }) }

// Resume ends a pause.
func (u *Upstream) Resume() { u.faults.update(func() { u.faults.paused = false }) }

// Partition holds back the packets of the clients that match selects; nil ends the
// partition. match must not call the upstream.
func (u *Upstream) Partition(match func(Client) bool) {
	u.faults.update(func() { u.faults.partitioned = match })
}

// PartitionAll holds back the packets of every client.
func (u *Upstream) PartitionAll() { u.Partition(func(Client) bool { return true }) }

// PartitionPeers stops replication between the upstream and the given ones in both
// directions. Without arguments it ends that partition.
func (u *Upstream) PartitionPeers(peers ...*Upstream) {
	u.faults.update(func() {
		u.faults.partitionedPeers = map[*Upstream]bool{}
		for _, p := range peers {
			u.faults.partitionedPeers[p] = true
		}
	})
}

// Isolate partitions the upstream from all clients and all other upstreams.
func (u *Upstream) Isolate() {
	u.PartitionAll()
	u.PartitionPeers(u.group.upstreams...)
}

// HealPartitions ends every partition that was set on this upstream.
func (u *Upstream) HealPartitions() {
	u.Partition(nil)
	u.PartitionPeers()
}

// RefuseConnections sets whether new connections are reset as soon as they are
// accepted.
func (u *Upstream) RefuseConnections(on bool) { u.faults.update(func() { u.faults.refuse = on }) }

// SetLag sets the minimum age at which the upstream replicates an entry of its primary.
func (u *Upstream) SetLag(d time.Duration) { u.faults.update(func() { u.faults.timing.lag = d }) }

// SetExecTime sets how long a statement executes.
func (u *Upstream) SetExecTime(d time.Duration) { u.faults.update(func() { u.faults.timing.exec = d }) }

// SetOpenTime sets how long opening a connection takes.
func (u *Upstream) SetOpenTime(d time.Duration) { u.faults.update(func() { u.faults.timing.open = d }) }

// SetLatency sets the one-way network latency. Requests are not delayed; each response
// is delayed by twice the latency, which gives the same round-trip time.
func (u *Upstream) SetLatency(d time.Duration) {
	u.faults.update(func() { u.faults.timing.latency = d })
}

// DelayResponses sets a delay of every response in addition to the latency.
func (u *Upstream) DelayResponses(d time.Duration) {
	u.faults.update(func() { u.faults.timing.response = d })
}

// LoseResponses drops the responses to the next n committed writes. The connection is
// closed, or with mute stays open and silent.
func (u *Upstream) LoseResponses(n int, mute bool) {
	u.faults.update(func() { u.faults.responsesToLose, u.faults.mute = n, mute })
}

// SwapResponses exchanges the responses of the next n pairs of connections: each client
// receives the response to the other's request. The first response of a pair is held
// back until another connection responds. 0 ends the fault and sends a response that is
// held back.
func (u *Upstream) SwapResponses(n int) {
	var h *heldResponse
	u.faults.update(func() {
		u.faults.swapsLeft = n
		if n == 0 {
			h, u.faults.held = u.faults.held, nil
		}
	})
	if h != nil {
		h.conn.enqueue(h.data)
	}
}
