package targetstate

import (
	"testing"
	"time"
)

// simulation is a group of targets, the clock, and requests in flight.
type simulation struct {
	now     time.Time
	group   *Group
	targets []*Target
}

func newSimulation(targets int) *simulation {
	s := &simulation{now: time.Unix(1000, 0), group: NewGroup(func() float64 { return 0.5 })}
	for range targets {
		s.targets = append(s.targets, NewTarget(s.group))
	}
	s.group.SetTargets(s.targets)
	return s
}

func (s *simulation) advance(d time.Duration) { s.now = s.now.Add(d) }

// request returns a request with nominal work of 50 ms.
func request(priority int) Work {
	return Work{Class: "r", Priority: priority, WorkMS: 49, RoundTripMS: 1, Known: true}
}

func (s *simulation) send(t *Target, w Work) *Attempt {
	s.group.Review(s.now)
	a := t.Send(s.now, w, t.Expect(s.now, w))
	t.AddBacklog(s.now, w.Priority, w.WorkMS)
	return a
}

// answer lets a target answer a request after the given time.
func (s *simulation) answer(t *Target, w Work, after time.Duration) {
	a := s.send(t, w)
	s.advance(after)
	t.Answered(s.now, a)
	t.End(s.now, a, Completed)
}

// answerAll lets the listed targets answer one request each.
func (s *simulation) answerAll(targets ...*Target) {
	for _, t := range targets {
		s.answer(t, request(0), 50*time.Millisecond)
	}
}

// swallow sends a request to a target that gives no answer until the caller leaves, while
// other targets answer.
func (s *simulation) swallow(t *Target, others ...*Target) {
	a := s.send(t, request(0))
	for range 10 {
		s.answerAll(others...)
	}
	s.group.Review(s.now)
	t.End(s.now, a, Abandoned)
}

// Guards against a target that swallows requests, looks idle and draws more of them.
func TestTargetThatSwallowsRequestsIsSuspectedAndThenEjected(t *testing.T) {
	s := newSimulation(4)
	bad, others := s.targets[0], s.targets[1:]
	s.answerAll(s.targets...)
	a := s.send(bad, request(0))
	for range 4 {
		s.answerAll(others...)
	}
	s.group.Review(s.now)
	if !bad.Suspected(s.now) || bad.FailureRate(s.now) < suspectedFailureRate {
		t.Errorf("after %v without an answer the target is not suspected", s.now.Sub(a.sentAt))
	}
	bad.End(s.now, a, Abandoned)
	if bad.Usable(s.now) {
		t.Error("the target that has swallowed a request is still used")
	}
}

// Guards against an older request that counts as queued although later ones of the same
// priority were answered, and against one that counts as swallowed because more urgent
// ones were.
func TestOnlyRequestsThatAreNotMoreUrgentOvertake(t *testing.T) {
	for _, c := range []struct {
		later     int
		overtaken bool
	}{{0, false}, {1, true}, {2, true}} {
		s := newSimulation(3)
		s.answerAll(s.targets...)
		a := s.send(s.targets[0], request(1))
		s.advance(time.Millisecond)
		for range 6 {
			s.answer(s.targets[0], request(c.later), 100*time.Millisecond)
			s.answerAll(s.targets[1:]...)
		}
		s.group.Review(s.now)
		if a.Overtaken() != c.overtaken || a.Suspected() != c.overtaken {
			t.Errorf("answers of priority %d: overtaken %v, suspected %v, want %v", c.later, a.Overtaken(), a.Suspected(), c.overtaken)
		}
	}
}

// Guards against a sound target that falls silent for a second and stays avoided.
func TestAnswerEndsASuspicion(t *testing.T) {
	s := newSimulation(4)
	paused, others := s.targets[0], s.targets[1:]
	s.answerAll(s.targets...)
	a := s.send(paused, request(0))
	for range 7 {
		s.answerAll(others...)
	}
	s.group.Review(s.now)
	if !paused.Suspected(s.now) {
		t.Fatal("the silent target is not suspected")
	}
	paused.Answered(s.now, a)
	paused.End(s.now, a, Completed)
	if paused.Suspected(s.now) || !paused.Usable(s.now) || paused.FailureRate(s.now) > 0 {
		t.Error("the target is still avoided after its answer")
	}
}

// Guards against targets that are ejected because the link or this process has failed.
func TestSilenceOfAllEjectsNone(t *testing.T) {
	s := newSimulation(5)
	s.answerAll(s.targets...)
	var attempts []*Attempt
	for _, target := range s.targets {
		attempts = append(attempts, s.send(target, request(0)))
	}
	s.advance(3 * time.Second)
	s.group.Review(s.now)
	for i, target := range s.targets {
		target.End(s.now, attempts[i], Abandoned)
		if target.Suspected(s.now) || !target.Usable(s.now) {
			t.Errorf("target %d is ejected although all were silent", i)
		}
	}
}

// Guards against ejections that take a service down, by own observations and by those of
// other processes.
func TestFewerThanHalfOfTheTargetsAreEjected(t *testing.T) {
	for name, eject := range map[string]func(s *simulation, target *Target){
		"own":  func(s *simulation, target *Target) { s.swallow(target, s.targets[6:]...) },
		"peer": func(s *simulation, target *Target) { target.Apply(s.now, Ejected, 1) },
	} {
		s := newSimulation(8)
		s.answerAll(s.targets...)
		ejected := 0
		for _, target := range s.targets[:6] {
			eject(s, target)
		}
		for _, target := range s.targets {
			if target.Ejected(s.now) {
				ejected++
			}
		}
		if ejected != 3 {
			t.Errorf("%s: %d of 8 targets are ejected, want 3", name, ejected)
		}
	}
}

// Guards against an ejection that does not grow, has no bound or never ends, and against
// more than one request at a time to a target that is tried.
func TestEjectionGrowsIsBoundedAndEndsWithTrials(t *testing.T) {
	s := newSimulation(4)
	bad, others := s.targets[0], s.targets[1:]
	s.answerAll(s.targets...)
	var times []time.Duration
	for range 7 {
		s.swallow(bad, others...)
		times = append(times, bad.own.until.Sub(s.now))
		s.now = bad.own.nextTrial
		s.answerAll(others...)
	}
	for i, want := range []time.Duration{1, 2, 4, 8, 16, 16, 16} {
		if times[i] != want*time.Second {
			t.Fatalf("ejections last %v, want 1, 2, 4, 8 and then 16 s", times)
		}
	}
	trial := s.send(bad, request(0))
	if bad.Usable(s.now) {
		t.Error("two requests at once try the target")
	}
	bad.Answered(s.now, trial)
	for range 2*maxEjectionLevel - 2 {
		if !bad.Usable(s.now) || !bad.Ejected(s.now) {
			t.Fatal("the target cannot be tried, or counts as sound too early")
		}
		s.answerAll(bad)
	}
	if bad.Ejected(s.now) {
		t.Error("the target is still ejected after all trials")
	}
}

// Guards against many processes that each try a returning target at the same time, and
// against a trial of another process that does not count.
func TestTrialsOfOtherProcessesCount(t *testing.T) {
	s := newSimulation(4)
	bad := s.targets[0]
	bad.Apply(s.now, Ejected, 2)
	s.now = bad.peer.nextTrial
	bad.RecordPeerRequest(s.now)
	if bad.Usable(s.now) {
		t.Error("the target is tried while another process tries it")
	}
	for range 3 {
		bad.Apply(s.now, TrialAnswered, 0)
	}
	if bad.Ejected(s.now) {
		t.Error("the target is still ejected after three answers to other processes")
	}
}

// Guards against targets that are blamed because a caller leaves early, or because the
// requests of a class are never answered.
func TestEarlyEndsAndUnansweredClassesBlameNobody(t *testing.T) {
	s := newSimulation(3)
	target := s.targets[0]
	s.answerAll(s.targets...)
	a := s.send(target, request(0))
	s.advance(20 * time.Millisecond)
	target.End(s.now, a, Abandoned)
	before := target.Expect(s.now, request(0)).MS
	odd := request(0)
	odd.Class = "never answered"
	a = s.send(target, odd)
	for range 10 {
		s.answerAll(s.targets[1:]...)
	}
	s.group.Review(s.now)
	target.End(s.now, a, Abandoned)
	if after := target.Expect(s.now, request(0)).MS; !target.Usable(s.now) || after > before+1 || target.FailureRate(s.now) > 0 {
		t.Errorf("the target is blamed: usable %v, expected %v ms after %v ms", target.Usable(s.now), after, before)
	}
}

// Guards against a uniform slowdown that is not known after a few requests, counts as
// silence, or is not forgotten.
func TestUniformSlowdownIsKnownAndForgotten(t *testing.T) {
	s := newSimulation(5)
	s.answerAll(s.targets...)
	for range 2 {
		var attempts []*Attempt
		for _, target := range s.targets {
			attempts = append(attempts, s.send(target, request(0)))
		}
		s.advance(300 * time.Millisecond)
		s.group.Review(s.now)
		for i, target := range s.targets {
			target.Answered(s.now, attempts[i])
			target.End(s.now, attempts[i], Completed)
		}
	}
	s.advance(reviewInterval)
	s.group.Review(s.now)
	for _, target := range s.targets {
		if e := target.Expect(s.now, request(0)).MS; e < 150 || e > 600 || target.Suspected(s.now) {
			t.Errorf("after two requests each at 300 ms, %v ms are expected, suspected %v", e, target.Suspected(s.now))
		}
	}
	for range 8 {
		s.answerAll(s.targets...)
	}
	s.group.Review(s.now)
	for _, target := range s.targets {
		if e := target.Expect(s.now, request(0)).MS; e > 100 {
			t.Errorf("%v ms are expected 2 s after the targets have become fast", e)
		}
	}
}

// Guards against a newcomer that is expected to be served at once by a target that has
// let an earlier request wait for longer than expected.
func TestUnansweredRequestIsALowerBoundOfTheWait(t *testing.T) {
	s := newSimulation(2)
	a := s.send(s.targets[0], request(1))
	s.advance(time.Second)
	s.group.Review(s.now)
	if e := s.targets[0].Expect(s.now, request(1)).MS; e < 1000 {
		t.Errorf("%v ms are expected behind a request that waits for 1 s", e)
	}
	if e := s.targets[0].Expect(s.now, request(0)).MS; e > 100 {
		t.Errorf("%v ms are expected of a more urgent request", e)
	}
	s.targets[0].End(s.now, a, Abandoned)
	if e := s.targets[0].Expect(s.now, request(1)).MS; e > 100 {
		t.Errorf("%v ms are expected although nothing is known of requests of this class", e)
	}
}

// Guards against an urgent request that is expected to wait for work that is done after it,
// and against backlog that an answer has shown to be done.
func TestBacklogIsKeptByPriority(t *testing.T) {
	s := newSimulation(1)
	target := s.targets[0]
	first := s.send(target, request(1))
	target.AddBacklog(s.now, 1, 500)
	s.advance(time.Millisecond)
	if urgent, normal := target.Backlog(s.now, 0), target.Backlog(s.now, 1); urgent != 0 || normal < 500 {
		t.Errorf("backlog of %v and %v ms, want 0 and 548", urgent, normal)
	}
	second := s.send(target, request(1))
	target.Answered(s.now, first)
	if left := target.Backlog(s.now, 1); left < 500 {
		t.Errorf("the answer to the first request removes what was sent after it: %v ms are left", left)
	}
	target.Answered(s.now, second)
	if left := target.Backlog(s.now, 1); left > 49 {
		t.Errorf("%v ms are left although the last request was answered", left)
	}
}

// Guards against refusals that rely on an expectation which recent responses contradict or
// do not reach, or which only responses to requests of another priority support.
func TestExpectationIsCertainOnlyWithRecentResponses(t *testing.T) {
	const long = 1000.0
	s := newSimulation(1)
	target := s.group.targets[0]
	if target.Certain(s.now, 0, long) {
		t.Error("an expectation is certain without any response")
	}
	for range 4 {
		s.group.calibration[0].recordAnswer(s.now, 900, 900)
	}
	if !target.Certain(s.now, 0, long) || target.Certain(s.now, 0, 10*long) {
		t.Error("four responses after 900 ms do not support 1 s, or support 10 s")
	}
	if target.Certain(s.now, 1, long) {
		t.Error("responses to more urgent requests support an expectation")
	}
	s.group.calibration[0].recordAnswer(s.now, 3000, 0)
	if target.Certain(s.now, 0, long) {
		t.Error("an expectation is certain although a response contradicts it")
	}
	s.advance(time.Minute)
	if target.Certain(s.now, 0, long) {
		t.Error("an expectation is certain a minute after the last response")
	}
}

// Guards against an overload in which no expectation is ever certain, because callers leave before
// the expected time has passed.
func TestUnansweredRequestsMakeExpectationsCertain(t *testing.T) {
	work := Work{Class: "c", WorkMS: 20, Known: true}
	for name, wait := range map[string]func(s *simulation, target *Target){
		"callers that have left": func(s *simulation, target *Target) {
			for range 4 {
				a := s.send(target, work)
				a.expectation.MS = 5000
				s.advance(500 * time.Millisecond)
				target.End(s.now, a, Abandoned)
			}
		},
		"requests that wait": func(s *simulation, target *Target) {
			for range 3 {
				s.send(target, work).expectation.MS = 5000
			}
			s.advance(600 * time.Millisecond)
		},
	} {
		s := newSimulation(1)
		target := s.group.targets[0]
		s.answer(target, work, 10*time.Millisecond)
		if wait(s, target); !target.Certain(s.now, 0, 1000) || target.Certain(s.now, 0, 6000) {
			t.Errorf("%s: 1 s is certain: %v, 6 s: %v; want only the former", name, target.Certain(s.now, 0, 1000), target.Certain(s.now, 0, 6000))
		}
	}
}

// Guards against reports with impossible values, and against a flood of reports that
// outweighs what a process observes itself.
func TestReportsOfOtherProcessesAreBounded(t *testing.T) {
	s := newSimulation(4)
	target := s.targets[0]
	for _, value := range []float64{-1, 0, 99} {
		target.Apply(s.now, Ejected, value)
		target.Apply(s.now, Slow, value)
		target.Apply(s.now, Kind(200), value)
	}
	if target.Ejected(s.now) || target.Slowdown(s.now) != 1 {
		t.Error("a report with an impossible value counts")
	}
	for range 1000 {
		target.Apply(s.now, Slow, maxSlowdown)
	}
	if target.speed.nominalMS > peerSlownessMS {
		t.Errorf("1,000 reports at once count as %v ms of requests, want %v", target.speed.nominalMS, peerSlownessMS)
	}
}

// Guards against targets that are suspected of swallowing requests because the queues of
// slow targets differ.
func TestSilenceOfSlowTargetsAloneIsNoSuspicion(t *testing.T) {
	s := newSimulation(4)
	target, others := s.targets[0], s.targets[1:]
	for range 4 {
		for _, other := range others {
			s.answer(other, request(0), 600*time.Millisecond)
		}
	}
	queued, overtaken := s.send(target, request(0)), s.send(others[0], request(0))
	s.advance(time.Millisecond)
	for range 12 {
		for _, other := range others {
			s.answer(other, request(0), 300*time.Millisecond)
		}
	}
	s.group.Review(s.now)
	if queued.Suspected() || !overtaken.Suspected() {
		t.Errorf("queued request suspected: %v, want false; overtaken one: %v, want true", queued.Suspected(), overtaken.Suspected())
	}
}

// Guards against requests without known work that are suspected although others of their
// class take as long.
func TestWaitThatIsUsualForTheClassIsNoSuspicion(t *testing.T) {
	s := newSimulation(4)
	w := Work{Class: "plain", RoundTripMS: 1}
	for range 3 {
		for _, other := range s.targets[1:] {
			s.answer(other, w, 400*time.Millisecond)
		}
	}
	a := s.send(s.targets[0], w)
	for range 2 {
		s.answer(s.targets[1], w, 300*time.Millisecond)
		s.answer(s.targets[2], w, 50*time.Millisecond)
	}
	s.group.Review(s.now)
	if a.Suspected() {
		t.Errorf("a request is suspected after %v, others take 400 ms", s.now.Sub(a.sentAt))
	}
}

// Guards against waits of an overload that teach nothing because most requests of their
// class end without an answer.
func TestAbandonedWaitIsAnObservationIfMostOfItsClassAreUnanswered(t *testing.T) {
	s := newSimulation(3)
	target := s.targets[0]
	s.answerAll(target)
	for range 20 {
		a := s.send(target, request(0))
		target.endWait(a)
		s.group.recordSilence(s.now, a)
	}
	a := s.send(target, request(0))
	s.advance(2 * time.Second)
	target.End(s.now, a, Abandoned)
	if e := target.Expect(s.now, request(0)).MS; e < 500 {
		t.Errorf("%v ms are expected after a wait of 2 s without an answer", e)
	}
}

// Guards against estimates that outlast the state of a target while it gets no requests.
func TestEstimatesAreForgottenWithoutRequests(t *testing.T) {
	s := newSimulation(2)
	for range 5 {
		s.answer(s.targets[0], request(0), 500*time.Millisecond)
	}
	s.advance(5 * time.Second)
	s.group.Review(s.now)
	for i, target := range s.targets {
		if e := target.Expect(s.now, request(0)).MS; e > 100 {
			t.Errorf("%v ms are expected of target %d 5 s after the last request", e, i)
		}
	}
}
