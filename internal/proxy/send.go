package proxy

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cuminwing/cuminwing/internal/adapter/targetconn"
	"github.com/cuminwing/cuminwing/internal/gatewayconfig"
	"github.com/cuminwing/cuminwing/internal/placement"
)

// result is the outcome of one attempt.
type result uint8

const (
	// resultDelivered means that the complete response was delivered.
	resultDelivered result = iota
	// resultNotSent means that no target can have received the complete
	// request.
	resultNotSent
	// resultCanceledUnsent means that the caller disconnected or the deadline
	// passed before anything was sent.
	resultCanceledUnsent
	// resultRefused means that the target states that it did not run the
	// request.
	resultRefused
	// resultMisdirected means that the address now belongs to another target.
	resultMisdirected
	// resultOtherWeights means that the engine does not run the expected
	// weights.
	resultOtherWeights
	// resultFailed means that the target returned an error response.
	resultFailed
	// resultBroken means that the connection broke, that the target did not
	// respond, or that the response is unusable.
	resultBroken
	// resultCanceledSent means that the caller disconnected or the deadline
	// passed after the request may have been sent.
	resultCanceledSent
	// resultSilent means that this VM ended the attempt, to try another target, because the
	// target had not responded for far longer than expected.
	resultSilent
	// resultWithdrawn means that the target must not get the request any more, and that
	// nothing was sent.
	resultWithdrawn
	// resultNoDescriptor means that this VM has too many connections to open one to the target.
	resultNoDescriptor
)

func (r result) String() string {
	return [...]string{"done", "not sent", "cancelled", "refused", "moved", "stale", "failed", "broken", "gone", "silent", "withdrawn", "no descriptor"}[r]
}

func (r result) mayHaveRun() bool {
	return r == resultFailed || r == resultBroken || r == resultCanceledSent || r == resultSilent
}

func (r result) placement() placement.Result {
	return [...]placement.Result{
		placement.Completed, placement.Unreachable, placement.Unused, placement.Rejected, placement.Misdirected, placement.Canceled,
		placement.Failed, placement.Failed, placement.Abandoned, placement.Silent, placement.Unused, placement.Unused,
	}[r]
}

const (
	// maxIdleOnce is the longest idle time of a pooled connection for a request
	// that runs at most once. An unresponsive target is then detected while a
	// new connection is opened, when the request can still go to another
	// target.
	maxIdleOnce = 500 * time.Millisecond
	// maxIdleRetryable applies to all other requests.
	maxIdleRetryable = time.Minute
	// maxStrayResponses and maxInterimResponses limit how many responses to other
	// requests, and how many interim ones, are read from a connection in search of
	// the one to this request.
	maxStrayResponses   = 4
	maxInterimResponses = 16
)

// send sends the request to one target and delivers the response.
func (c *call) send(ctx context.Context, choice *placement.Choice) result {
	if !c.Placer.MaySend(choice) {
		return c.withdrawn()
	}
	maxIdle := maxIdleOnce
	if c.route.Retryable() {
		maxIdle = maxIdleRetryable
	}
	conn, err := c.Pool.Get(ctx, choice.Target.Address, c.request.ID, maxIdle)
	if err != nil {
		c.reason = err.Error()
		if ctx.Err() != nil {
			return resultCanceledUnsent
		}
		if errors.Is(err, targetconn.ErrNoDescriptor) {
			return resultNoDescriptor
		}
		return resultNotSent
	}
	pooled := false
	defer func() {
		if !pooled {
			conn.ReleaseHead()
		}
	}()
	if c.comesTooLate() {
		_ = conn.Close()
		c.reason = "the shutdown came before the request was sent"
		return resultCanceledUnsent
	}
	// The connection may have taken long.
	if !c.Placer.MaySend(choice) {
		_ = conn.Close()
		return c.withdrawn()
	}
	s := &exchange{call: c, conn: conn, choice: choice, context: ctx, began: time.Now()}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	result := s.roundTrip()
	// If it has begun, the close may take effect at any later time.
	closing := !stop()
	if closing && result != resultDelivered {
		result = resultCanceledSent
	}
	if result == resultCanceledSent || result == resultSilent {
		s.observeWait(false)
	}
	if closing || s.reusableAfter == nil || !s.bodyWritten() {
		_ = conn.Close()
		return result
	}
	if result != resultDelivered {
		conn.RecordUnfinished(c.request.ID)
	}
	// Another request may use the connection from now on.
	pooled = true
	c.Pool.Put(conn, s.reusableAfter)
	return result
}

// withdrawn takes back an attempt whose choice was withdrawn before anything was sent. The next
// one takes its place, and the retry that was taken for it.
func (c *call) withdrawn() result {
	c.reason = "the choice of the target was withdrawn before the request was sent"
	c.attempts--
	c.retryTaken = c.attempts > 0
	return resultWithdrawn
}

// exchange is one request and its response on one connection.
type exchange struct {
	*call
	conn    *targetconn.Conn
	choice  *placement.Choice
	context context.Context
	// bodyDone is closed once a body that is written concurrently has ended, with bodyErr;
	// nil if the body was written before.
	bodyDone chan struct{}
	bodyErr  error
	// reusableAfter is the response after which the connection can be reused;
	// nil if it cannot be.
	reusableAfter *http.Response
	// stall ends the attempt if it makes no progress and another target can serve the
	// request.
	stall *stallTimer
	// began is when the attempt began, and waitObserved is set once its wait is recorded.
	began        time.Time
	waitObserved bool
	// lastEventAt is when the latest event arrived, and writtenBefore the writeTime then.
	lastEventAt   time.Time
	writtenBefore time.Duration
}

func (s *exchange) roundTrip() result {
	s.stall = s.newStallTimer(func() { _ = s.conn.Close() })
	defer func() { s.reserved = s.stall.stop() }()
	head := s.requestHead()
	if err := s.write(head); err != nil {
		s.reason = err.Error()
		return s.writeFailure(err)
	}
	resp, meta, err := s.readResponse()
	if err != nil {
		return s.endBroken(err.Error())
	}
	s.choice.NotRun = meta.OtherWeights || meta.Misdirected || meta.NotRun || resp.StatusCode >= http.StatusBadRequest
	s.Placer.RecordFirstByte(s.choice)
	if !meta.Misdirected {
		// A notice of another target at the same address says nothing about the chosen one.
		s.Placer.RecordNotice(s.choice, meta.Notice)
		s.logIgnored(meta.Ignored)
	}
	switch {
	case meta.OtherWeights:
		s.Placer.SetWeights(s.choice, meta.Weights)
		return s.discard(resp, resultOtherWeights)
	case meta.Misdirected:
		return s.discard(resp, resultMisdirected)
	case meta.NotRun, s.hasNoCopy(resp.StatusCode):
		return s.discard(resp, resultRefused)
	}
	s.observeWait(true)
	if s.route.Kind == gatewayconfig.RunStream && resp.StatusCode == http.StatusOK {
		return s.forwardStream(resp, meta)
	}
	s.stall.stop()
	return s.forwardBuffered(resp, meta)
}

// endBroken returns the result of an attempt whose connection broke, or was closed because the
// attempt made no progress.
func (s *exchange) endBroken(reason string) result {
	switch {
	case s.stall.stop() == nil:
		s.reason = reason
		return resultBroken
	case s.firstEventAt.IsZero():
		s.reason = "target was silent for " + s.stall.limit.String()
		return resultSilent
	}
	s.reason = "stream made no progress for " + s.stall.limit.String()
	return resultBroken
}
