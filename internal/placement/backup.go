package placement

import (
	"slices"
	"time"

	"github.com/cuminwing/cuminwing/internal/occupancy"
)

// An engine can copy the memory of a run to another engine while the run grows. If the first
// engine fails, the run continues at the second one. This file chooses the engine that gets the
// copy, and counts the memory that the copy takes there.

const (
	// maxBackupOccupation is the largest part of the memory of an engine that may be occupied
	// with a copy. Copies use spare memory: beyond this, they would make requests wait.
	maxBackupOccupation = 0.5
	// maxTransferShare limits the time to send the prompt, as a fraction of the objective. A
	// copy that takes longer would rarely be complete in time, and its transfers compete with
	// fetches for the link.
	maxTransferShare = 0.25
	// backupProbes limits the engines that are considered for a copy, so that the work does
	// not grow with their number, and backupChoices is the number of suitable ones among
	// which the least occupied is taken. Two are enough to spread copies evenly.
	backupProbes  = 16
	backupChoices = 2
	// backupStride is the distance of the engines considered in the list of the service. It
	// is a prime, so that they differ, and large, because neighbors are often of one zone.
	backupStride = 10007
	// copyPriority is the priority with which copies occupy memory: no request displaces
	// them.
	copyPriority = 0
)

// Backup is the engine that gets a copy of a run.
type Backup struct {
	// Target is the engine as it was when the copy was requested.
	Target   Target
	member   *member
	tokens   float64
	occupied occupancy.Handle
}

// placeBackup chooses the engine that gets a copy of the run of a choice, if one is suitable.
func (p *Placer) placeBackup(s *service, c *Choice, req *Request, now time.Time) {
	source := c.member
	if !req.Backup || c.FromCopy || !source.Backups || source.Weights == 0 {
		return
	}
	all, _ := req.size()
	output := float64(req.OutputTokens)
	if output == 0 {
		output = source.profile.durations.Output(req.Priority)
	}
	tokens := blocked(all) + outputOccupancy*output
	destination := p.backupDestination(s, source, req, tokens, now)
	if destination == nil {
		return
	}
	end := now.Add(c.Expected)
	if c.stay != nil {
		end = end.Add(source.lasting(c.stay.lasts))
	}
	s.profile.copyTokens += tokens
	c.Backup = &Backup{
		Target: destination.Target, member: destination, tokens: tokens,
		occupied: destination.tracker().AddOwn(now, end, copyPriority, occupancy.Amount{Tokens: tokens}),
	}
}

// backupDestination returns the engine that gets a copy of the given size of a run at source;
// nil if none of those considered is suitable. Engines in the zone of the source come first.
func (p *Placer) backupDestination(s *service, source *member, req *Request, tokens float64, now time.Time) *member {
	var best *member
	least, found := 0.0, 0
	n := len(s.members)
	expected := tokens + p.unseenCopies(s, source.Region)
	first := int(p.random() * float64(n))
	for k := range min(n, backupProbes) {
		m := s.members[(first+k*backupStride)%n]
		if !p.canHoldCopy(m, source, req, now) {
			continue
		}
		occupation := m.occupationWith(expected, now)
		if occupation > maxBackupOccupation {
			continue
		}
		near, bestNear := m.Zone == source.Zone, best != nil && best.Zone == source.Zone
		if best == nil || near && !bestNear || near == bestNear && occupation < least {
			best, least = m, occupation
		}
		if near {
			found++
		}
		if found == backupChoices {
			break
		}
	}
	return best
}

// canHoldCopy reports whether m may get a copy of a run at source, apart from the memory.
func (p *Placer) canHoldCopy(m, source *member, req *Request, now time.Time) bool {
	_, known := m.capacity()
	if m == source || !known || !m.Backups || m.Terminating || m.Cohort != source.Cohort || m.Weights != source.Weights ||
		m.Region != source.Region || ineligible(m, req, false) != NotExcluded {
		return false
	}
	if all, _ := req.size(); req.Objective > 0 {
		transfer := float64(all) * fetchMSPerToken(m, source)
		if transfer > maxTransferShare*float64(req.Objective)/float64(time.Millisecond) {
			return false
		}
	}
	reason, _ := m.admission.check(now, p.fleet())
	return reason == Admitted && !m.state.Ejected(now) && !m.state.Suspected(now)
}

// occupationWith returns the part of the memory that is expected to be occupied with a copy.
func (m *member) occupationWith(tokens float64, now time.Time) float64 {
	if m.occupancy != nil {
		tokens += m.occupancy.Used(now).Tokens
	}
	return tokens / float64(m.CacheTokens)
}

// countCopyEngines counts the engines that can keep copies.
func (s *service) countCopyEngines() {
	s.copyEngines = make(map[string]int)
	for _, m := range s.members {
		if m.Backups {
			s.copyEngines[m.Region]++
		}
	}
}

// unseenCopies returns the memory that copies of the other VMs are expected to take at each
// engine of a region. Hints do not name copies, because an entry for each would add too many
// bytes. VMs are assumed to have as many copies as this one, spread evenly.
func (p *Placer) unseenCopies(s *service, region string) float64 {
	f, engines := p.fleet(), s.copyEngines[region]
	if f.visible == f.fronts {
		// The other VMs may be in any region.
		engines = 0
		for _, n := range s.copyEngines {
			engines += n
		}
	}
	return s.profile.copyTokens * float64(f.visible-1) / float64(max(engines, 1))
}

// releaseBackup records that the run of a choice has ended. Its engine discards the copy if the
// run was successful, and one of a run that has not begun is empty. Any other copy is kept for
// some time.
func (c *Choice) releaseBackup(result Result, now time.Time) {
	b := c.Backup
	if b == nil {
		return
	}
	b.member.occupancy.Release(now, &b.occupied)
	profile := b.member.profile
	profile.copyTokens = max(profile.copyTokens-b.tokens, 0)
	switch result {
	case Failed, Abandoned, Silent:
		b.member.occupancy.Pin(now, 0, now.Add(b.Target.CopyKept), b.tokens)
	}
}

// Continue returns a choice of the engine that has the copy of a run; nil if the run has no copy,
// or its engine cannot be used. Done must have been called for the first choice.
func (p *Placer) Continue(first *Choice, req Request) *Choice {
	p.mu.Lock()
	defer p.mu.Unlock()
	b, s := first.Backup, p.services[req.Service]
	if b == nil || s == nil || !slices.Contains(s.members, b.member) {
		return nil
	}
	m, now := b.member, p.Clock()
	if ineligible(m, &req, false) != NotExcluded || m.Terminating || m.Weights != b.Target.Weights || p.admits(m, now) != Admitted {
		return nil
	}
	all, _ := req.size()
	c := &Choice{
		Target: m.Target, FromCopy: true, CachedTokens: all, Limited: m.admission.limited, member: m, slowdown: m.state.Slowdown(now),
		// How much of the prompt the copy lacks is not known.
		workMS: prefillStepMS, insertedTokens: float64(all - m.cachedTokens(&req)),
	}
	c.expectation = m.state.Expect(now, p.work(c, &req))
	c.Expected = time.Duration(c.expectation.MS * float64(time.Millisecond))
	p.recordChoice(s, c, &req, now)
	return c
}
