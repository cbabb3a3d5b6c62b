package edge

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/cuminwing/cuminwing/internal/pause"
)

const (
	// joinInterval is the time between two rounds of join requests. A round does not
	// wait for the requests of the one before, which may wait for a lost packet.
	joinInterval = 200 * time.Millisecond
	// leaderlessJoinRounds is the number of rounds for which a member must know no
	// leader before it asks. Usually it only waits for the end of an election.
	leaderlessJoinRounds = 5
	// seedReloadRounds is the number of rounds after which a replica that is still not a
	// member reads the seeds from the settings again.
	seedReloadRounds = 10
	// joinTimeout limits one join request.
	joinTimeout = time.Second
	// maxJoinCandidates limits the number of addresses that are asked.
	maxJoinCandidates = 16
)

// joiner requests membership of the control log. The leader adds the replica as a
// learner, and makes it a voter once it has caught up.
type joiner struct {
	core *Core
	// leaderlessRounds is the number of rounds in succession in which this replica,
	// though a member, knew no leader.
	leaderlessRounds int
	// requests counts the requests in flight.
	requests sync.WaitGroup

	mu sync.Mutex
	// candidates are the addresses to ask, the latest known members first.
	candidates []string
}

// join requests membership of the control log whenever this replica is not a
// member or knows no leader.
func (c *Core) join(ctx context.Context) {
	j := &joiner{core: c, candidates: c.settings.seedPeerAddresses()}
	defer j.requests.Wait()
	for round := 0; ; round++ {
		if j.due() {
			j.askAll(ctx)
		}
		if !pause.For(ctx, joinInterval) {
			return
		}
		if round%seedReloadRounds == seedReloadRounds-1 && !c.isMember() {
			j.addCandidates(c.settings.reloadSeedPeerAddresses(c.logger))
		}
	}
}

// due reports whether this replica has to ask in this round.
func (j *joiner) due() bool {
	status := j.core.replica.Status()
	switch {
	case status.Failure != nil || j.core.isStopping():
		// A member that stops may have handed over its vote.
		return false
	case !j.core.isMember():
		return true
	case status.Leader != "":
		j.leaderlessRounds = 0
		return false
	}
	// The replica may have been replaced while it was down.
	j.leaderlessRounds++
	return j.leaderlessRounds%leaderlessJoinRounds == 0
}

// askAll sends a join request to each candidate.
func (j *joiner) askAll(ctx context.Context) {
	j.addCandidates(j.core.coreAddresses())
	j.mu.Lock()
	candidates := append([]string(nil), j.candidates...)
	j.mu.Unlock()
	for _, peer := range candidates {
		if peer != j.core.settings.selfPeerAddress() {
			j.requests.Go(func() { j.ask(ctx, peer) })
		}
	}
}

// ask sends a join request to a member, and remembers the members that it knows.
func (j *joiner) ask(ctx context.Context, peer string) {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	c := j.core
	request := joinRequest{ID: c.replica.Status().ID, Address: c.settings.selfPeerAddress()}
	var response joinResponse
	if err := postJSON(ctx, c.client, "http://"+peer+joinPath, request, &response); err != nil {
		c.logger.Info("join request failed", zap.String("asked", peer), zap.Error(err))
		return
	}
	known := response.Core
	if response.Leader != "" {
		known = append([]string{response.Leader}, known...)
	}
	j.addCandidates(known)
}

// addCandidates puts addresses in front of those known so far.
func (j *joiner) addCandidates(addresses []string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	candidates := dedupe(append(append([]string(nil), addresses...), j.candidates...))
	j.candidates = candidates[:min(len(candidates), maxJoinCandidates)]
}

// dedupe removes repeated strings in place and keeps the order.
func dedupe(list []string) []string {
	seen := make(map[string]bool)
	kept := list[:0]
	for _, s := range list {
		if !seen[s] {
			seen[s] = true
			kept = append(kept, s)
		}
	}
	return kept
}
