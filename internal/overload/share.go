package overload

import (
	"math"
	"time"
)

// Targets serve urgent requests first, so that the others wait longer and are refused first. Among
// requests of one priority the rank decides. But no workspace and no class is starved: one that
// gets less than a part of the average share may wait longer.

const (
	// shareHalfLife is the half-life of the requests that count for the shares.
	shareHalfLife = 4 * time.Second
	// starvedRatio is the part of the share of all requests below which a group is starved.
	starvedRatio = 0.5
	// minOffered is the number of requests from which the share of a group is known.
	minOffered = 4
	// rankStep is the ratio of the waits that two successive ranks may have. The difference
	// is the room that is kept for the lower rank.
	rankStep = 0.8
	// recentUse is how long after its latest request a rank counts.
	recentUse = 2 * time.Second
	// maxWorkspaces limits the workspaces that are tracked.
	maxWorkspaces = 4096
)

// share counts the requests of a group, decayed as of at.
type share struct {
	offered, admitted float64
	at                time.Time
	// wait is the wait that the requests of the group may have.
	wait time.Duration
}

func (s *share) record(now time.Time, admitted bool) {
	factor := halved(now.Sub(s.at), shareHalfLife)
	s.offered, s.admitted, s.at = s.offered*factor+1, s.admitted*factor, now
	if admitted {
		s.admitted++
	}
}

// shares are the shares of the requests of a service that are admitted.
type shares struct {
	all        share
	workspaces map[string]*share
	classes    map[class]*share
}

func (s *shares) record(now time.Time, r Request, admitted bool) {
	if s.classes == nil || len(s.workspaces) > maxWorkspaces {
		s.workspaces, s.classes = make(map[string]*share), make(map[class]*share)
	}
	if s.workspaces[r.Workspace] == nil {
		s.workspaces[r.Workspace] = &share{}
	}
	if s.classes[r.class()] == nil {
		s.classes[r.class()] = &share{}
	}
	s.all.record(now, admitted)
	s.workspaces[r.Workspace].record(now, admitted)
	s.classes[r.class()].record(now, admitted)
	s.classes[r.class()].wait = allowedWait(r)
}

// starves reports whether a group gets less than its part of the average share.
func (s *shares) starves(g *share) bool {
	return g != nil && g.offered >= minOffered && g.admitted*s.all.offered < starvedRatio*s.all.admitted*g.offered
}

func (s *service) starves(r Request) bool {
	return s.shares.starves(s.shares.workspaces[r.Workspace]) || s.shares.starves(s.shares.classes[r.class()])
}

// waitLimit returns the longest wait with which a request is admitted to a standing queue.
func (s *service) waitLimit(now time.Time, r Request) time.Duration {
	limit := allowedWait(r)
	if s.starves(r) {
		return r.Objective
	}
	for c, g := range s.shares.classes {
		if c.priority == r.Priority && c.rank < r.Rank && now.Sub(g.at) < recentUse {
			limit = min(limit, time.Duration(rankStep*float64(g.wait)))
		}
	}
	return limit
}

func halved(age, halfLife time.Duration) float64 {
	return math.Exp2(-float64(age) / float64(halfLife))
}
