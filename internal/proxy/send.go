package proxy

import (
	"bytes"
	"context"
	"net/http"
	"sort"
	"strconv"
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
	// concurrentBodyBytes is the size from which the body is written while the
	// response is read, because a target may respond before it has read the
	// complete body.
	concurrentBodyBytes = 8 << 10
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

// errIncompleteWrite marks write errors after which the target cannot have
// received the complete request.
var errIncompleteWrite = errors.New("request was only partly written")

// writeFailure returns the result of an attempt whose request could not be
// written.
func (s *exchange) writeFailure(err error) result {
	if errors.Is(err, errIncompleteWrite) {
		return resultNotSent
	}
	return resultBroken
}

// requestHead returns the request line and headers of the attempt.
func (s *exchange) requestHead() []byte {
	a := &Attempt{
		TargetID:    s.choice.Target.ID,
		Timeout:     max(time.Until(s.deadline)-deadlineMargin, time.Millisecond),
		Priority:    s.priority(),
		ResumeAfter: s.request.ResumeAfter,
	}
	if s.workspace != nil {
		a.Workspace = s.workspace.Name
	}
	s.setCacheFields(a)
	s.setBackupFields(a)
	if s.lastEventID >= 0 {
		a.ResumeAfter = strconv.FormatInt(s.lastEventID, 10)
	}
	var b bytes.Buffer
	b.WriteString(s.r.Method)
	b.WriteByte(' ')
	b.WriteString(s.requestURI())
	b.WriteString(" HTTP/1.1\r\nHost: ")
	b.WriteString(s.r.Host)
	b.WriteString("\r\n")
	writeHeaders(&b, s.Codec.EncodeAttempt(s.r.Header, a))
	if len(s.body) > 0 || s.r.Method != http.MethodGet && s.r.Method != http.MethodHead {
		b.WriteString("Content-Length: ")
		b.WriteString(strconv.Itoa(len(s.body)))
		b.WriteString("\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// setCacheFields sets which cached parts the engine may use. The scope contains
// the version of the weights that the engine must run, so everything cached
// under a scope was computed with these weights, wherever it is fetched from.
func (s *exchange) setCacheFields(a *Attempt) {
	if len(s.placementRequest.Parts) == 0 {
		return
	}
	a.Weights = s.choice.Target.Weights
	a.Scope = s.scope + "-" + strconv.FormatUint(a.Weights, 10)
	if a.Weights == 0 {
		return
	}
	a.SaveTo = s.choice.SaveTo
	if s.choice.FetchFrom != nil {
		a.FetchFrom = s.choice.FetchFrom.Address
	}
}

// requestURI returns the path and query exactly as the caller sent them.
func (c *call) requestURI() string {
	if uri := c.r.RequestURI; len(uri) > 0 && uri[0] == '/' {
		return uri
	}
	return c.r.URL.RequestURI()
}

// writeHeaders writes the headers in sorted order. Names and values contain no
// line breaks: the server that parsed them rejects those.
func writeHeaders(b *bytes.Buffer, h http.Header) {
	names := make([]string, 0, len(h))
	for name := range h {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		for _, value := range h[name] {
			b.WriteString(name)
			b.WriteString(": ")
			b.WriteString(value)
			b.WriteString("\r\n")
		}
	}
}

// write sends the request. A large body is sent while the response is read.
func (s *exchange) write(head []byte) error {
	if len(s.body) < concurrentBodyBytes {
		n, err := s.conn.Write(append(head, s.body...))
		if err != nil && n < len(head)+len(s.body) {
			return errors.Mark(err, errIncompleteWrite)
		}
		return err
	}
	if n, err := s.conn.Write(head); err != nil {
		if n < len(head) {
			err = errors.Mark(err, errIncompleteWrite)
		}
		return err
	}
	s.bodyDone = make(chan struct{})
	go func() {
		defer close(s.bodyDone)
		_, s.bodyErr = s.conn.Write(s.body)
	}()
	return nil
}

// bodyWritten reports, without blocking, whether the complete body has been
// sent.
func (s *exchange) bodyWritten() bool {
	if s.bodyDone == nil {
		return true
	}
	select {
	case <-s.bodyDone:
		return s.bodyErr == nil
	default:
		return false
	}
}

// awaitBody waits for the end of a body that is written concurrently, and reports whether the
// complete body has been sent. The wait ends with the attempt, which closes the connection.
func (s *exchange) awaitBody() bool {
	if s.bodyDone == nil {
		return true
	}
	<-s.bodyDone
	return s.bodyErr == nil
}

// brokenWithUpload reports whether a response that seems to have ended with its connection may
// be incomplete because the upload has failed. The kernel reports a reset only once: if the
// write gets it, the read sees the end of the data.
func (s *exchange) brokenWithUpload(resp *http.Response) bool {
	return endsWithConnection(resp) && !s.awaitBody()
}

// impliesNotRun reports whether a status lets callers conclude that the request
// has not run.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// statedLength returns the length that the caller is told; empty for none. A response to
// HEAD states the length of the response to GET, if the target has stated it.
func (b *bufferedResponse) statedLength(method string) string {
	if method == http.MethodHead {
		return b.header.Get("Content-Length")
	}
	return strconv.Itoa(len(b.body))
}

func (b *bufferedResponse) write(c *call) {
	c.Codec.CopyResponseHeaders(c.w.Header(), b.header)
	if length := b.statedLength(c.r.Method); length != "" {
		c.w.Header().Set("Content-Length", length)
	}
	c.firstByteAfter = time.Since(c.started)
	c.headersSent = true
	c.endConnection()
	c.limitWrites()
	c.w.WriteHeader(b.status)
	if _, err := c.w.Write(b.body); err != nil {
		c.addReason("write to caller failed: " + err.Error())
	}
}

// limitWrites ends the writes to the caller at its deadline, because a caller that keeps its
// connection and reads nothing would hold the response for ever. http.Server clears the
// limit after the response.
func (c *call) limitWrites() {
	limit := max(time.Until(c.started.Add(c.callerLimit())), minWriteTime)
	// It fails only if the caller has disconnected.
	_ = http.NewResponseController(c.w).SetWriteDeadline(time.Now().Add(limit))
}
