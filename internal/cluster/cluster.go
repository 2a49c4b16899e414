// Package cluster keeps the controllers' membership, elects their leader and
// holds the epoch: who is entitled to command workers, under which token.
//
// One unleased key holds the epoch: its token, the leader, the members, and
// which member owns each team. Each change of it is a compare-and-set
// that raises the token; workers drop whatever bears a lower token, so tokens
// are what fences an old leader. The leader's leased key only decides when
// another may try.
package cluster

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"log/slog"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"heronwick/internal/cluster/peerpb"
	"heronwick/internal/state"
	"heronwick/wire"
)

// Keys of the state service that this package owns.
const (
	prefix    = "cluster/"
	epochKey  = prefix + "epoch"
	leaderKey = prefix + "leader"
)

const (
	beatEvery = time.Second
	watchFor  = 4 * time.Second // a refused controller's open watch stays silent: look elsewhere soon
	// shunFor keeps out a member that could not reach its workers.
	shunFor = 15 * time.Second
)

// patience is how long this controller waits for the others. One that is short of
// processor time falls silent for seconds when work comes at once; were it taken
// for dead, taking over from it would be the next such work, and so on.
type patience struct {
	// leaderTTL is how long a silent leader keeps the others waiting. Renewing
	// four times within it rides out a lost request.
	leaderTTL   time.Duration
	beatTimeout time.Duration
	peerOKFor   time.Duration // a peer counts as heard from
	deadAfter   time.Duration // when a member that does not answer loses its share
}

func newPatience(slowness float64) patience {
	times := func(d time.Duration) time.Duration { return time.Duration(float64(d) * max(1, slowness)) }
	return patience{leaderTTL: times(3 * time.Second), beatTimeout: times(time.Second),
		peerOKFor: times(3 * beatEvery), deadAfter: times(2500 * time.Millisecond)}
}

// Epoch says who commands workers, and under which token.
type Epoch struct {
	Token       uint64 `json:"token"`
	Leader      string `json:"leader"`
	Incarnation uint64 `json:"incarnation"`
	// Members are the controllers with a share.
	Members map[string]Member `json:"members"`
	// Teams says which member owns each team. A job whose team is not listed
	// belongs to the member that its id hashes to.
	Teams map[string]string `json:"teams"`
}

// Member is a controller with a share. One that comes back, as the same
// incarnation or another, has another Since and owns nothing of what it had.
type Member struct {
	Incarnation uint64 `json:"incarnation"`
	Since       uint64 `json:"since"` // token of the epoch in which it joined
}

// OwnerOf returns the member that owns a job.
func (e *Epoch) OwnerOf(team, job string) string {
	if node, ok := e.Teams[team]; ok {
		return node
	}
	best, highest := "", uint64(0)
	for node := range e.Members {
		h := fnv.New64a()
		_, _ = h.Write([]byte(node + "/" + job))
		if sum := h.Sum64(); best == "" || sum > highest || sum == highest && node < best {
			best, highest = node, sum
		}
	}
	return best
}

type leaderRecord struct {
	Node        string `json:"node"`
	Incarnation uint64 `json:"incarnation"`
}

// Peer is what this controller knows of another.
type peer struct {
	node        string
	client      Beater
	lastSeen    time.Time // when its last answer came
	incarnation uint64
	token       uint64 // highest epoch token it has said it knows
	stateOK     bool
	workers     uint32
	vouched     time.Time // when it was asked and knew of no newer epoch than ours
	status      *peerpb.Status
	shunned     time.Time // no member before then
	outbox      outbox
}

// Beater is the part of a peer's interface that this package calls.
type Beater interface {
	Beat(ctx context.Context, mine *peerpb.Status) (*peerpb.Status, error)
	Tell(ctx context.Context, req *peerpb.TellRequest) (*peerpb.TellReply, error)
}

// Options are what a Cluster needs.
type Options struct {
	Node   string
	Client *state.Client
	Route  *state.Route
	Peers  map[string]Beater
	// LeaseFor is the workers' lease; the permission to answer their reports
	// without a fresh confirmation of the epoch is a quarter of it.
	LeaseFor time.Duration
	// CancelIn is by when a cancelled job's tasks must be gone.
	CancelIn      time.Duration
	Cancellations Cancellations
	// Slowness is how many times longer than usual the controllers may be busy.
	Slowness float64
	// Share runs while this controller is a member; its context ends when it
	// no longer is.
	Share func(ctx context.Context, t *Tenure) error
	// Status fills in what the peers are told of the share.
	Status func(*peerpb.Status)
	// Changed is called, in no lock, when the epoch or an owner has changed.
	Changed func()
	// Weights tells how much work each team has.
	Weights func() map[string]float64
	// Progress is told to the peers, for display, and taken from the leader.
	Progress   func() []*peerpb.Progress
	OnProgress func([]*peerpb.Progress)
	Log        *slog.Logger
}

// Cluster is this controller's view of the deployment.
type Cluster struct {
	opts        Options
	incarnation uint64
	begun       time.Time
	patience    patience
	permission  time.Duration
	inTime      bool          // after a permission a lease lapses within CancelIn
	changed     chan struct{} // poked when the epoch or the leader key changes

	mu            sync.Mutex
	epoch         Epoch
	version       uint64 // of the epoch key
	known         bool   // the epoch was read in this incarnation
	leaderVersion uint64 // of the leader key; 0: nobody holds it
	leader        leaderRecord
	revision      uint64
	lease         uint64
	resigned      time.Time // when this leader asked the others to take over
	lapsed        bool      // a member without permission, as logged
	confirmed     time.Time // when the last proof that the epoch is current was asked for, cancellations included
	caughtUp      time.Time // when the store last showed all cancellations
	peers         map[string]*peer
	fence         fence
	proven        []proof
	owners        map[string]Owner    // by machine
	transfers     map[string]transfer // by key
	written       uint64              // transfers written
	workersHeard  map[string]time.Time
	stopShare     context.CancelFunc
	sharing       chan struct{} // closed when the current Share has returned
}

// fence collects, for the current epoch, the proof that nobody answers
// workers under an older one.
type fence struct {
	acked      map[string]bool // peers that know this epoch
	majorityAt time.Time
	allAt      time.Time
}

// proof: since at, nobody answers workers under an epoch older than token.
type proof struct {
	token uint64
	at    time.Time
}

// New makes a Cluster; Run starts it.
func New(opts Options) *Cluster {
	c := &Cluster{
		opts:         opts,
		incarnation:  rand.Uint64(),
		begun:        time.Now(),
		patience:     newPatience(opts.Slowness),
		changed:      make(chan struct{}, 1),
		peers:        map[string]*peer{},
		workersHeard: map[string]time.Time{},
		owners:       map[string]Owner{},
		transfers:    map[string]transfer{},
	}
	if c.permission, c.inTime = permissionFor(opts.LeaseFor, opts.CancelIn); !c.inTime {
		opts.Log.Warn("cancel_s leaves too little time for a lease to lapse: cancellations are confirmed only once every controller knows them",
			"lease", opts.LeaseFor, "cancel_in", opts.CancelIn, "needed", opts.LeaseFor+lapseSlack(opts.LeaseFor)+leastPermission)
	}
	for node, client := range opts.Peers {
		c.peers[node] = &peer{node: node, client: client}
	}
	return c
}

// leastPermission is as long as a permission must be at least: a few beats.
const leastPermission = 2500 * time.Millisecond

// lapseSlack is how much later than a lease after its last renewal a worker
// has surely ended its tasks: its clock drifts, and it looks now and then.
func lapseSlack(lease time.Duration) time.Duration { return lease/1000 + 500*time.Millisecond }

// permissionFor is how long a controller may answer workers on one proof: a
// quarter of a lease, and no longer than leaves time for a lease to lapse
// after it before a cancelled job's tasks must be gone. inTime is false if the
// settings leave no such time.
func permissionFor(lease, cancelIn time.Duration) (permission time.Duration, inTime bool) {
	permission = lease / 4
	room := cancelIn - lease - lapseSlack(lease)
	if room < min(permission, leastPermission) {
		return min(permission, leastPermission), false
	}
	return min(permission, room), true
}

// Run takes part in the cluster until ctx ends.
func (c *Cluster) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return c.watch(ctx) })
	g.Go(func() error { return c.stand(ctx) })
	g.Go(func() error { return c.tidyUp(ctx) })
	for _, p := range c.peers {
		g.Go(func() error { return c.beat(ctx, p) })
	}
	return g.Wait()
}

// Division returns the epoch, and the condition that fences what is decided
// under it.
func (c *Cluster) Division() (Epoch, wire.Condition) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.epoch, wire.Condition{Key: epochKey, Version: c.version}
}

// Current returns the epoch and whether this controller leads it and is a
// member of it. The epoch's maps must not be changed.
func (c *Cluster) Current() (epoch Epoch, leading, member bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.epoch, c.leadsLocked(), c.memberLocked()
}

// Token returns the token under which this controller commands.
func (c *Cluster) Token() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.epoch.Token
}

func (c *Cluster) leadsLocked() bool {
	return c.known && c.epoch.Leader == c.opts.Node && c.epoch.Incarnation == c.incarnation
}

func (c *Cluster) memberLocked() bool {
	return c.known && c.epoch.Members[c.opts.Node].Incarnation == c.incarnation
}

// Permitted tells whether this controller may answer workers' reports now: it
// is a member, and proof that its epoch is current was asked for a short while
// ago. Without the bound, a controller cut off from everything but some
// workers would renew their leases for ever, and nobody could ever count them
// as lapsed.
func (c *Cluster) Permitted() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.permittedLocked()
}

func (c *Cluster) permittedLocked() bool {
	return c.memberLocked() && time.Since(c.confirmed) < c.permission
}

// Tenure is the cluster as seen by the share of one membership. A share whose
// membership is over may take long to end, and meanwhile its controller may be
// a member again, under a newer token: what the old share knows is no more.
type Tenure struct {
	*Cluster
	since uint64
}

// Permit tells whether the share of this tenure may answer workers' reports and
// command them now, and under which token: both as of the same moment.
func (t *Tenure) Permit() (token uint64, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.epoch.Token, t.permittedLocked() && t.epoch.Members[t.opts.Node].Since == t.since
}

// Fenced returns since when surely no controller has answered a worker under
// an epoch older than token, if that is proven. See docs/design.md, "Fencing".
func (c *Cluster) Fenced(token uint64) (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.noteFenceLocked()
	for _, p := range c.proven {
		if p.token >= token {
			return p.at, true
		}
	}
	return time.Time{}, false
}

// Home returns the node to which a worker should report: its machine's owner,
// else the leader, or "" if that one is not known to be alive. owned tells
// whether its machine has an owner that is a member.
func (c *Cluster) Home(machine string) (node string, owned bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.known {
		return "", false
	}
	if o, ok := c.owners[machine]; ok && c.validLocked(o) {
		return o.Node, true
	}
	if c.leaderVersion == 0 || c.leader.Node != c.epoch.Leader || c.leader.Incarnation != c.epoch.Incarnation {
		return "", false
	}
	return c.epoch.Leader, false
}

// HeardWorker notes that a worker reported here although another leads.
func (c *Cluster) HeardWorker(machine string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.workersHeard[machine] = time.Now()
}

// WorkersElsewhere is the largest number of workers that lately came to one
// peer instead of the leader.
func (c *Cluster) WorkersElsewhere() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	most := 0
	for _, p := range c.peers {
		if time.Since(p.lastSeen) < c.patience.peerOKFor {
			most = max(most, int(p.workers))
		}
	}
	return most
}

// StatePeers returns the peers that lately reached the state service.
func (c *Cluster) StatePeers() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var nodes []string
	for _, p := range c.peers {
		if p.stateOK && time.Since(p.lastSeen) < c.patience.peerOKFor {
			nodes = append(nodes, p.node)
		}
	}
	return nodes
}

// PeersAlive counts the peers heard from lately.
func (c *Cluster) PeersAlive() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.peersAliveLocked()
}

func (c *Cluster) peersAliveLocked() int {
	n := 0
	for _, p := range c.peers {
		if time.Since(p.lastSeen) < c.patience.peerOKFor {
			n++
		}
	}
	return n
}

// Lonely tells whether this controller has long been cut off from all others
// and is no member: for longer than it takes to lead if they have ended.
func (c *Cluster) Lonely() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	lonelyAfter := c.patience.leaderTTL + 5*time.Second
	for _, p := range c.peers {
		if time.Since(p.lastSeen) < lonelyAfter {
			return false
		}
	}
	return len(c.peers) > 0 && !c.memberLocked() && time.Since(c.begun) > lonelyAfter
}

// Peers returns what the peers that were heard from lately say of themselves.
func (c *Cluster) Peers() []*peerpb.Status {
	c.mu.Lock()
	defer c.mu.Unlock()
	var all []*peerpb.Status
	for _, p := range c.peers {
		if time.Since(p.lastSeen) < c.patience.peerOKFor {
			all = append(all, p.status)
		}
	}
	return all
}

// HandleBeat answers a peer's beat.
func (c *Cluster) HandleBeat(theirs *peerpb.Status) *peerpb.Status {
	c.mu.Lock()
	if p := c.peers[theirs.Node]; p != nil {
		c.notePeerLocked(p, theirs)
	}
	newer := theirs.Token > c.epoch.Token
	c.mu.Unlock()
	if newer {
		c.poke()
	}
	if len(theirs.Progress) > 0 && c.opts.OnProgress != nil {
		c.opts.OnProgress(theirs.Progress)
	}
	return c.status(theirs.JobsRevision)
}

// notePeerLocked takes what a peer says of itself.
func (c *Cluster) notePeerLocked(p *peer, theirs *peerpb.Status) {
	p.lastSeen, p.status = time.Now(), theirs
	p.incarnation, p.token, p.stateOK, p.workers = theirs.Incarnation, theirs.Token, theirs.StateOk, theirs.WorkersHeard
	c.noteAckLocked(p)
}

// status says how this controller is, and names the cancellations that it knows
// after a revision.
func (c *Cluster) status(after uint64) *peerpb.Status {
	s := &peerpb.Status{Node: c.opts.Node, Incarnation: c.incarnation,
		StateOk: c.opts.Route.DirectOK(2 * time.Second)}
	c.opts.Status(s)
	known := c.opts.Cancellations.Known(after)
	s.JobsRead, s.JobsRevision, s.JobsBase, s.Cancelled = known.Read, known.Revision, known.Base, toPeer(known.Named)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.known {
		s.Token = c.epoch.Token
	}
	now := time.Now()
	for machine, at := range c.workersHeard {
		if now.Sub(at) > 5*time.Second {
			delete(c.workersHeard, machine)
		}
	}
	s.WorkersHeard = uint32(len(c.workersHeard))
	return s
}

// noteAckLocked counts a peer that knows the current epoch: it will neither
// answer workers under an older one nor vouch for one.
func (c *Cluster) noteAckLocked(p *peer) {
	if !c.memberLocked() || p.token < c.epoch.Token {
		return
	}
	if c.fence.acked == nil {
		c.fence.acked = map[string]bool{}
	}
	c.fence.acked[p.node] = true
	c.noteFenceLocked()
}

func (c *Cluster) noteFenceLocked() {
	if !c.memberLocked() || len(c.proven) > 0 && c.proven[len(c.proven)-1].token >= c.epoch.Token {
		return
	}
	now := time.Now()
	if c.fence.majorityAt.IsZero() && 2*(len(c.fence.acked)+1) > len(c.peers)+1 {
		c.fence.majorityAt = now
	}
	if c.fence.allAt.IsZero() && len(c.fence.acked) == len(c.peers) {
		c.fence.allAt = now
	}
	at := c.fence.allAt
	if !c.fence.majorityAt.IsZero() {
		// Clocks of two machines drift apart by up to 0.05%.
		bound := c.fence.majorityAt.Add(c.permission + c.permission/1000)
		if at.IsZero() || bound.Before(at) {
			at = bound
		}
	}
	if at.IsZero() || now.Before(at) {
		return
	}
	// Proof for this epoch is proof for all older ones; a few are kept so
	// that a machine taken under an older epoch keeps its earlier date.
	c.proven = append(c.proven, proof{token: c.epoch.Token, at: at})
	if len(c.proven) > 64 {
		c.proven = c.proven[1:]
	}
}

// noteVouchLocked confirms the epoch as of the latest time at which a
// majority, this controller included, knew of no newer one. A peer that has
// not read the epoch since it started does not count: it may have forgotten a
// newer one.
func (c *Cluster) noteVouchLocked() {
	if !c.memberLocked() {
		return
	}
	var times []time.Time
	for _, p := range c.peers {
		times = append(times, p.vouched)
	}
	needed := (len(c.peers) + 1) / 2 // besides this controller
	if needed == 0 {
		return
	}
	slices.SortFunc(times, func(a, b time.Time) int { return b.Compare(a) })
	if at := times[needed-1]; at.After(c.confirmed) {
		c.confirmed = at
	}
}

// beat exchanges status with one peer, again and again. The answers of a
// majority that know no newer epoch also confirm ours: in an outage of the
// state service that is what keeps workers' leases.
func (c *Cluster) beat(ctx context.Context, p *peer) error {
	tick := time.NewTicker(beatEvery)
	defer tick.Stop()
	for {
		mine := c.status(math.MaxUint64)
		if c.opts.Progress != nil {
			mine.Progress = c.opts.Progress()
		}
		sent := time.Now()
		bctx, cancel := context.WithTimeout(ctx, c.patience.beatTimeout)
		theirs, err := p.client.Beat(bctx, mine)
		cancel()
		if err == nil {
			c.opts.Cancellations.Learn(fromPeer(theirs.Cancelled))
			// What the peer cannot name, since it started or forgot, must be
			// known here already: else its word says nothing of cancellations.
			named := mine.JobsRead && theirs.JobsRead && theirs.JobsBase <= mine.JobsRevision
			c.mu.Lock()
			c.notePeerLocked(p, theirs)
			if named && theirs.Token > 0 && theirs.Token <= c.epoch.Token {
				p.vouched = sent
				c.noteVouchLocked()
			}
			newer := theirs.Token > c.epoch.Token
			c.mu.Unlock()
			if newer {
				c.poke()
			}
			if mine.JobsRead && theirs.JobsBase > mine.JobsRevision {
				if err := c.opts.Cancellations.CatchUp(ctx, theirs.JobsBase); err != nil {
					c.opts.Log.Debug("reading what a peer cannot name failed", "peer", p.node, "err", err)
				}
			}
		} else {
			c.opts.Log.Debug("beat failed", "peer", p.node, "err", err)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
	}
}

func (c *Cluster) poke() {
	select {
	case c.changed <- struct{}{}:
	default:
	}
}

// refresh reads the epoch, the leader key and the transfers, perhaps before the
// watch brings them.
func (c *Cluster) refresh(ctx context.Context) error {
	sent := time.Now()
	items, revision, err := c.opts.Client.List(ctx, state.Urgent, prefix)
	if err != nil {
		return err
	}
	caughtUp := c.opts.Cancellations.CatchUp(ctx, revision) == nil
	if c.takeList(sent, items, revision, caughtUp) {
		c.opts.Changed()
	}
	return nil
}

// takeList takes what a list that was asked for at sent has shown, or returns
// false if more recent news has been taken since.
func (c *Cluster) takeList(sent time.Time, items []wire.Item, revision uint64, caughtUp bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if revision < c.revision {
		return false
	}
	c.revision, c.known = revision, true
	c.leaderVersion, c.leader = 0, leaderRecord{}
	newer := c.transfers
	c.owners, c.transfers = map[string]Owner{}, map[string]transfer{}
	for _, item := range items {
		c.takeLocked(item.Key, item.Value, item.Version)
	}
	// What was written while the list was on its way is not in it, and the
	// watch may bring it late: a machine given a moment ago was nobody's, so
	// taken again, and two controllers answered its worker (ran_twice).
	for key, t := range newer {
		if t.version > revision {
			c.addTransferLocked(key, t)
		}
	}
	if caughtUp {
		c.caughtUp = sent
		if c.memberLocked() && sent.After(c.confirmed) {
			c.confirmed = sent
		}
	}
	return true
}

func (c *Cluster) takeLocked(key string, value json.RawMessage, version uint64) {
	switch key {
	case epochKey:
		var e Epoch
		if err := json.Unmarshal(value, &e); err != nil || e.Token < c.epoch.Token {
			return
		}
		if e.Token > c.epoch.Token {
			c.opts.Log.Info("epoch", "token", e.Token, "leader", e.Leader)
		}
		c.setEpochLocked(e, version)
	case leaderKey:
		var l leaderRecord
		if json.Unmarshal(value, &l) == nil {
			c.leader, c.leaderVersion = l, version
		}
	default:
		c.takeOwnerLocked(key, value, version)
	}
}

// setEpochLocked takes a newer epoch and ends the share if this controller is
// no member any more.
func (c *Cluster) setEpochLocked(e Epoch, version uint64) {
	was, since := c.memberLocked(), c.epoch.Members[c.opts.Node].Since
	if e.Token > c.epoch.Token {
		// What peers said of the old epoch proves nothing about this one: a
		// member stays permitted for what it has confirmed before, since
		// nobody may answer its workers without its share.
		c.fence = fence{}
		if !was || e.Members[c.opts.Node].Since != since {
			c.confirmed = time.Time{}
		}
		for _, p := range c.peers {
			p.vouched = time.Time{}
		}
	}
	c.epoch, c.version, c.known = e, version, true
	for _, p := range c.peers {
		c.noteAckLocked(p)
	}
	if was && c.epoch.Members[c.opts.Node].Since != since && c.stopShare != nil {
		c.opts.Log.Info("share ends: its membership is over", "token", e.Token, "leader", e.Leader)
		c.stopShare()
		c.stopShare = nil
	}
}

// watch follows the epoch and the leader key.
func (c *Cluster) watch(ctx context.Context) error {
	fresh := false
	for ctx.Err() == nil {
		if !fresh {
			if err := c.refresh(ctx); err != nil {
				c.opts.Log.Debug("reading the epoch failed", "err", err)
				sleep(ctx, 200*time.Millisecond+rand.N(200*time.Millisecond))
				continue
			}
			fresh = true
			c.poke()
		}
		c.mu.Lock()
		after := c.revision
		c.mu.Unlock()
		events, err := c.opts.Client.Watch(ctx, prefix, after, watchFor)
		if err != nil {
			fresh = false
			sleep(ctx, 100*time.Millisecond+rand.N(200*time.Millisecond))
			continue
		}
		c.mu.Lock()
		if events.Revision > c.revision {
			c.revision = events.Revision
			for _, e := range events.Events {
				if e.Put != "" {
					c.takeLocked(e.Put, e.Value, e.Version)
				} else if e.Delete == leaderKey {
					c.leaderVersion, c.leader = 0, leaderRecord{}
				} else {
					c.dropOwnerLocked(e.Delete)
				}
			}
		}
		c.mu.Unlock()
		if len(events.Events) > 0 {
			c.poke()
			c.opts.Changed()
		}
	}
	return nil
}

// stand runs for leader when nobody leads, and keeps leading.
func (c *Cluster) stand(ctx context.Context) error {
	tick := time.NewTicker(min(c.patience.leaderTTL, c.permission) / 4)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-c.changed:
		case <-tick.C:
		}
		c.mu.Lock()
		known, leading := c.known, c.leadsLocked()
		free := c.leaderVersion == 0
		// A restarted leader takes its own place back at once.
		mine := c.leader.Node == c.opts.Node && c.leader.Incarnation != c.incarnation
		newer := false
		for _, p := range c.peers {
			newer = newer || p.token > c.epoch.Token
		}
		c.mu.Unlock()
		switch {
		case !known:
		case newer:
			if err := c.refresh(ctx); err != nil {
				c.opts.Log.Debug("reading the epoch failed", "err", err)
			}
		case leading:
			c.keep(ctx)
			c.manage(ctx)
		case free || mine:
			// Whoever comes first wins; jitter makes a tie rare.
			sleep(ctx, rand.N(100*time.Millisecond))
			c.claim(ctx)
		}
		c.mu.Lock()
		if c.memberLocked() && c.stopShare == nil {
			var shareCtx context.Context
			shareCtx, c.stopShare = context.WithCancel(ctx)
			previous := c.sharing
			c.sharing = make(chan struct{})
			go c.share(shareCtx, &Tenure{c, c.epoch.Members[c.opts.Node].Since}, previous, c.sharing)
		}
		c.noteFenceLocked()
		c.logPermissionLocked()
		c.mu.Unlock()
	}
}

// logPermissionLocked tells an operator when this controller, a member, begins
// or ends to answer no worker.
func (c *Cluster) logPermissionLocked() {
	lapsed := c.memberLocked() && !c.confirmed.IsZero() && !c.permittedLocked()
	if lapsed == c.lapsed {
		return
	}
	c.lapsed = lapsed
	if lapsed {
		c.opts.Log.Warn("permission lapsed: no worker is answered until the state service or a majority vouches again",
			"token", c.epoch.Token, "since", time.Since(c.confirmed), "peers_heard", c.peersAliveLocked())
	} else {
		c.opts.Log.Info("permitted again, or no member any more", "token", c.epoch.Token)
	}
}

func (c *Cluster) share(ctx context.Context, t *Tenure, previous, done chan struct{}) {
	defer close(done)
	if previous != nil {
		<-previous
	}
	c.opts.Log.Info("share begins")
	if err := c.opts.Share(ctx, t); err != nil && ctx.Err() == nil {
		c.opts.Log.Error("share failed", "err", err)
	}
}

// keep renews the leader's lease and confirms that the epoch is current.
func (c *Cluster) keep(ctx context.Context) {
	c.mu.Lock()
	lease, version := c.lease, c.version
	c.mu.Unlock()
	sent := time.Now()
	revision, err := c.opts.Client.Txn(ctx, state.Urgent, wire.Txn{If: []wire.Condition{{Key: epochKey, Version: version}}})
	var conflict *state.Conflict
	switch {
	case err == nil:
		c.confirm(ctx, sent, revision)
	case errors.As(err, &conflict):
		if err := c.refresh(ctx); err != nil {
			c.opts.Log.Debug("reading the epoch failed", "err", err)
		}
		return
	default:
		c.opts.Log.Debug("confirming the epoch failed", "err", err)
		return
	}
	c.mu.Lock()
	resigned := time.Since(c.resigned) < 2*c.patience.leaderTTL
	keyless := c.leaderVersion == 0 && !resigned
	c.mu.Unlock()
	if err := c.opts.Client.Renew(ctx, lease); (errors.Is(err, state.ErrNotFound) || keyless) && !resigned {
		c.opts.Log.Info("leader lease ended, taking it again")
		c.claimLease(ctx)
	}
}

// confirm takes the store's word that the epoch was current. It stands for a
// permission only together with the cancellations, which its watch may be
// silent about; where the peers' word is fresh, that is not needed.
func (c *Cluster) confirm(ctx context.Context, sent time.Time, revision uint64) {
	c.mu.Lock()
	fresh := sent.Sub(c.confirmed) < c.permission/3
	c.mu.Unlock()
	if fresh {
		return
	}
	if err := c.opts.Cancellations.CatchUp(ctx, revision); err != nil {
		c.opts.Log.Debug("the epoch is current, but not what is known of jobs", "err", err)
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leadsLocked() && sent.After(c.confirmed) {
		c.confirmed = sent
	}
}

// claimLease takes the leader key again within the same epoch, if nobody else
// has claimed the epoch since.
func (c *Cluster) claimLease(ctx context.Context) {
	lease, err := c.opts.Client.Grant(ctx, c.patience.leaderTTL)
	if err != nil {
		return
	}
	c.mu.Lock()
	version, leaderVersion := c.version, c.leaderVersion
	c.mu.Unlock()
	record, _ := json.Marshal(leaderRecord{Node: c.opts.Node, Incarnation: c.incarnation})
	revision, err := c.opts.Client.Txn(ctx, state.Urgent, wire.Txn{
		If:   []wire.Condition{{Key: epochKey, Version: version}, {Key: leaderKey, Version: leaderVersion}},
		Then: []wire.Change{{Put: leaderKey, Value: record, Lease: lease}},
	})
	if err != nil {
		_ = c.refresh(ctx) // the next round decides on what it shows
		return
	}
	c.mu.Lock()
	c.lease, c.leader, c.leaderVersion = lease, leaderRecord{Node: c.opts.Node, Incarnation: c.incarnation}, revision
	c.mu.Unlock()
}

// claim starts a new epoch with this controller as its leader.
func (c *Cluster) claim(ctx context.Context) {
	if err := c.refresh(ctx); err != nil {
		return
	}
	c.mu.Lock()
	free := c.leaderVersion == 0 || c.leader.Node == c.opts.Node && c.leader.Incarnation != c.incarnation
	epoch, version, leaderVersion := c.epoch, c.version, c.leaderVersion
	c.mu.Unlock()
	if !free {
		return
	}
	lease, err := c.opts.Client.Grant(ctx, c.patience.leaderTTL)
	if err != nil {
		c.opts.Log.Debug("no lease", "err", err)
		return
	}
	next := epoch.next()
	delete(next.Members, epoch.Leader) // it is back as a member once it answers
	next.Leader, next.Incarnation = c.opts.Node, c.incarnation
	if next.Members[c.opts.Node].Incarnation != c.incarnation {
		next.Members[c.opts.Node] = Member{Incarnation: c.incarnation, Since: next.Token}
	}
	next.divide(c.opts.Weights())
	value, _ := json.Marshal(next)
	record, _ := json.Marshal(leaderRecord{Node: c.opts.Node, Incarnation: c.incarnation})
	revision, err := c.opts.Client.Txn(ctx, state.Urgent, wire.Txn{
		If: []wire.Condition{{Key: epochKey, Version: version}, {Key: leaderKey, Version: leaderVersion}},
		Then: []wire.Change{
			{Put: epochKey, Value: value},
			{Put: leaderKey, Value: record, Lease: lease},
		},
	})
	if err != nil {
		c.opts.Log.Debug("claim failed", "err", err)
		// After silence the claim may stand: reading tells, and if it is
		// carried out later still, the watch does.
		_ = c.refresh(ctx)
		c.mu.Lock()
		if c.leadsLocked() {
			c.lease = lease
		}
		c.mu.Unlock()
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lease = lease
	if next.Token > c.epoch.Token {
		c.setEpochLocked(next, revision)
	}
	c.leader, c.leaderVersion = leaderRecord{Node: c.opts.Node, Incarnation: c.incarnation}, revision
	if c.caughtUp.After(c.confirmed) {
		c.confirmed = c.caughtUp // not now: another may have claimed since, or a job been cancelled
	}
	c.opts.Log.Info("elected", "token", next.Token)
	c.poke()
}

// Raise raises the token and changes nothing else. Whatever
// was sent to workers under the old token is void once they have seen the
// new one.
func (c *Cluster) Raise(ctx context.Context) error {
	c.mu.Lock()
	epoch, version, member := c.epoch, c.version, c.memberLocked()
	c.mu.Unlock()
	if !member {
		return errors.New("not a member")
	}
	return c.change(ctx, epoch.next(), version)
}

// change makes next the epoch, if the current one still has the version.
func (c *Cluster) change(ctx context.Context, next Epoch, version uint64) error {
	value, err := json.Marshal(next)
	if err != nil {
		return fmt.Errorf("encoding the epoch: %w", err)
	}
	revision, err := c.opts.Client.Txn(ctx, state.Urgent, wire.Txn{
		If:   []wire.Condition{{Key: epochKey, Version: version}},
		Then: []wire.Change{{Put: epochKey, Value: value}},
	})
	if err != nil {
		return errors.Join(err, c.refresh(ctx))
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if next.Token > c.epoch.Token {
		c.setEpochLocked(next, revision)
	}
	c.poke()
	return nil
}

// Resign gives up leading, so that another controller takes over soon: this
// one cannot reach the workers while another can.
func (c *Cluster) Resign(ctx context.Context) {
	c.mu.Lock()
	version := c.leaderVersion
	leads := c.leadsLocked()
	if leads {
		c.resigned = time.Now()
	}
	c.mu.Unlock()
	if !leads {
		return
	}
	c.opts.Log.Info("resigning")
	_, err := c.opts.Client.Txn(ctx, state.Urgent, wire.Txn{
		If:   []wire.Condition{{Key: leaderKey, Version: version}},
		Then: []wire.Change{{Delete: leaderKey}},
	})
	if err != nil {
		c.opts.Log.Info("resigning failed", "err", err)
	}
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
