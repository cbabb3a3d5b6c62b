package forward

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net/http"
	"sort"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cuminwing/cuminwing/internal/adapter/targetconn"
	"github.com/cuminwing/cuminwing/internal/gateway"
	"github.com/cuminwing/cuminwing/internal/placement"
)

// result is what one send came to.
type result uint8

const (
	// resultDone means that the answer was delivered whole.
	resultDone result = iota
	// resultNotSent means that no target can have seen the request whole.
	resultNotSent
	// resultCancelled means that the caller has left, or the time was up, before
	// anything was sent.
	resultCancelled
	// resultRefused means that the target has stated not to have run it.
	resultRefused
	// resultMoved means that another target has the address.
	resultMoved
	// resultStale means that the engine runs other weights than expected.
	resultStale
	// resultFailed is a failure that the target has answered.
	resultFailed
	// resultBroken is a broken connection, silence, or an answer that cannot
	// be used.
	resultBroken
	// resultGone means that the caller has left or the time is up.
	resultGone
)

func (r result) String() string {
	return [...]string{"done", "not sent", "cancelled", "refused", "moved", "stale", "failed", "broken", "gone"}[r]
}

func (r result) mayHaveRun() bool {
	return r == resultFailed || r == resultBroken || r == resultGone
}

func (r result) placement() placement.Result {
	return [...]placement.Result{
		placement.Answered, placement.Unreachable, placement.Abandoned, placement.Full, placement.Moved, placement.Abandoned,
		placement.Failed, placement.Failed, placement.Abandoned,
	}[r]
}

const (
	// idleOnce is how long a connection may have been idle for a request that
	// runs at most once: a target that has gone silent is then noticed while
	// the connection is opened, when the request can still go elsewhere.
	idleOnce = 500 * time.Millisecond
	// idleRepeatable applies to all other requests.
	idleRepeatable = time.Minute
	// concurrentBody is the size from which a body is written while the
	// answer is read, because a target may answer before it has read it all.
	concurrentBody = 8 << 10
	// maxStrayAnswers bounds answers to earlier requests that are skipped.
	maxStrayAnswers = 4
	// maxAnswer bounds an answer that is read whole.
	maxAnswer = 32 << 20
)

// send offers the request to one target.
func (c *call) send(ctx context.Context, choice *placement.Choice) result {
	maxIdle := idleOnce
	if c.route.Repeatable() {
		maxIdle = idleRepeatable
	}
	conn, err := c.Pool.Get(ctx, choice.Target.Address, maxIdle)
	if err != nil {
		c.reason = err.Error()
		if ctx.Err() != nil {
			return resultCancelled
		}
		return resultNotSent
	}
	s := &exchange{call: c, conn: conn, choice: choice, context: ctx}
	stop := context.AfterFunc(ctx, func() { _ = conn.Conn.Close() })
	result := s.run()
	if !stop() && result != resultDone {
		result = resultGone
	}
	if s.keep == nil || !s.written() {
		_ = conn.Conn.Close()
		return result
	}
	c.Pool.Put(conn, s.keep)
	return result
}

// exchange is one request on one connection.
type exchange struct {
	*call
	conn    *targetconn.Conn
	choice  *placement.Choice
	context context.Context
	// bodyDone yields the result of a body that is written concurrently.
	bodyDone chan error
	// keep is the answer after which the connection can be used again.
	keep *http.Response
}

func (s *exchange) run() result {
	head := s.head()
	if err := s.write(head); err != nil {
		s.reason = err.Error()
		return s.unlessUnsent(err)
	}
	answer, meta, err := s.read()
	if err != nil {
		s.reason = err.Error()
		return resultBroken
	}
	s.Placer.First(s.choice)
	switch {
	case meta.OtherWeights:
		s.Placer.SetWeights(s.choice, meta.Weights)
		return s.discard(answer, resultStale)
	case meta.Misdirected:
		return s.discard(answer, resultMoved)
	case meta.NotRun:
		return s.discard(answer, resultRefused)
	case s.route.Kind == gateway.RunStream && answer.StatusCode == http.StatusOK:
		return s.stream(answer, meta)
	}
	return s.whole(answer, meta)
}

// errPartial means that the target cannot have got the request whole.
var errPartial = errors.New("request was written in part")

func (s *exchange) unlessUnsent(err error) result {
	if errors.Is(err, errPartial) {
		return resultNotSent
	}
	return resultBroken
}

// head returns the request line and headers as they go to the target.
func (s *exchange) head() []byte {
	a := &Attempt{
		TargetID:    s.choice.Target.ID,
		Limit:       max(time.Until(s.deadline)-drainMargin, time.Millisecond),
		Priority:    s.priority(),
		ResumeAfter: s.request.ResumeAfter,
	}
	if s.owner != nil {
		a.Workspace = s.owner.Name
	}
	s.describeCache(a)
	if s.lastID >= 0 {
		a.ResumeAfter = strconv.FormatInt(s.lastID, 10)
	}
	var b bytes.Buffer
	b.WriteString(s.r.Method)
	b.WriteByte(' ')
	b.WriteString(s.requestURI())
	b.WriteString(" HTTP/1.1\r\nHost: ")
	b.WriteString(s.r.Host)
	b.WriteString("\r\n")
	writeHeaders(&b, s.Codec.Outgoing(s.r.Header, a))
	if len(s.body) > 0 || s.r.Method != http.MethodGet && s.r.Method != http.MethodHead {
		b.WriteString("Content-Length: ")
		b.WriteString(strconv.Itoa(len(s.body)))
		b.WriteString("\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// describeCache says which cached parts the engine may use. The scope names the
// weights, and the engine must run these: what is cached under a scope was then
// made with its weights, wherever it is fetched from.
func (s *exchange) describeCache(a *Attempt) {
	if len(s.want.Parts) == 0 {
		return
	}
	a.Weights = s.choice.Target.Weights
	a.Scope = s.scope() + "-" + strconv.FormatUint(a.Weights, 10)
	if a.Weights == 0 {
		return
	}
	a.SaveTo = s.choice.Save
	if s.choice.Source != nil {
		a.FetchFrom = s.choice.Source.Address
	}
}

// requestURI returns the path and query as the caller sent them.
func (s *exchange) requestURI() string {
	if uri := s.r.RequestURI; len(uri) > 0 && uri[0] == '/' {
		return uri
	}
	return s.r.URL.RequestURI()
}

// writeHeaders writes headers in a fixed order. The server that parsed them
// has refused names and values with line breaks.
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

// write sends the request. A large body is sent while the answer is read.
func (s *exchange) write(head []byte) error {
	if len(s.body) < concurrentBody {
		n, err := s.conn.Write(append(head, s.body...))
		if err != nil && n < len(head)+len(s.body) {
			return errors.Mark(err, errPartial)
		}
		return err
	}
	if n, err := s.conn.Write(head); err != nil {
		if n < len(head) {
			err = errors.Mark(err, errPartial)
		}
		return err
	}
	s.bodyDone = make(chan error, 1)
	go func() {
		_, err := s.conn.Write(s.body)
		s.bodyDone <- err
	}()
	return nil
}

// written reports whether the body was sent whole, without waiting.
func (s *exchange) written() bool {
	if s.bodyDone == nil {
		return true
	}
	select {
	case err := <-s.bodyDone:
		return err == nil
	default:
		return false
	}
}

// read returns the answer to this request. Answers to earlier requests on the
// connection are skipped; they are known by their request ID.
func (s *exchange) read() (*http.Response, Answer, error) {
	for range maxStrayAnswers {
		answer, err := http.ReadResponse(s.conn.Reader, &http.Request{Method: s.r.Method})
		if err != nil {
			return nil, Answer{}, err
		}
		meta := s.Codec.Answer(answer.StatusCode, answer.Header, s.choice.Target.ID)
		if meta.RequestID == s.request.ID || meta.RequestID == "" && meta.NotRun {
			return answer, meta, nil
		}
		s.Logger.Info("answer to another request skipped")
		if _, err := io.Copy(io.Discard, io.LimitReader(answer.Body, maxAnswer)); err != nil {
			return nil, Answer{}, err
		}
		if answer.Close || answer.ContentLength < 0 && len(answer.TransferEncoding) == 0 {
			break
		}
	}
	return nil, Answer{}, errors.New("target sent answers to other requests")
}

// discard reads the rest of an answer that the caller does not get.
func (s *exchange) discard(answer *http.Response, result result) result {
	s.reason = "target answered " + answer.Status
	if _, err := io.Copy(io.Discard, io.LimitReader(answer.Body, maxAnswer)); err == nil {
		s.keep = answer
	}
	return result
}

// wholeAnswer is an answer that was read to its end.
type wholeAnswer struct {
	status int
	header http.Header
	body   []byte
}

// whole reads an answer to its end before the caller gets any of it.
func (s *exchange) whole(answer *http.Response, meta Answer) result {
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxAnswer))
	if err != nil {
		s.reason = "answer broke off: " + err.Error()
		return resultBroken
	}
	s.keep = answer
	if !meta.Signed {
		s.reason = "answer without signature"
		s.keep = nil
		return resultBroken
	}
	w := &wholeAnswer{answer.StatusCode, answer.Header, body}
	if promisesNotRun(answer.StatusCode) {
		// The target has not stated that it did not run the request, so the
		// caller must not read that from the status.
		s.reason = "target failed with " + answer.Status
		return resultFailed
	}
	if answer.StatusCode >= http.StatusInternalServerError {
		s.reason = "target failed with " + answer.Status
		s.failure = w
		return resultFailed
	}
	w.write(s.call)
	return resultDone
}

// promisesNotRun reports whether callers take a status as the promise that the
// request has not run.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

func (a *wholeAnswer) write(c *call) {
	c.Codec.Reply(c.w.Header(), a.header)
	c.w.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
	c.firstAt = time.Since(c.started)
	c.w.WriteHeader(a.status)
	// A failure here means that the caller has left.
	_, _ = c.w.Write(a.body)
}

// stream passes events on as they arrive.
func (s *exchange) stream(answer *http.Response, meta Answer) result {
	if !meta.Signed {
		s.reason = "answer without signature"
		return resultBroken
	}
	events := eventReader{from: bufio.NewReader(answer.Body)}
	flusher := http.NewResponseController(s.w)
	for {
		e, err := events.next()
		if err != nil {
			return s.endStream(answer, e, err)
		}
		if e.id >= 0 && e.id <= s.lastID {
			continue
		}
		if !s.headSent {
			s.beginStream(answer)
		}
		if _, err := s.w.Write(e.data); err != nil {
			s.reason = "caller does not read: " + err.Error()
			return resultGone
		}
		if err := flusher.Flush(); err != nil {
			s.reason = "caller does not read: " + err.Error()
			return resultGone
		}
		if e.id >= 0 {
			s.lastID = e.id
		}
	}
}

func (s *exchange) beginStream(answer *http.Response) {
	s.Codec.Reply(s.w.Header(), answer.Header)
	s.w.WriteHeader(answer.StatusCode)
	s.headSent = true
	s.firstAt = time.Since(s.started)
}

// endStream passes on what follows the last whole event if the stream has
// ended and did not break off.
func (s *exchange) endStream(answer *http.Response, rest event, err error) result {
	if !errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		s.reason = "stream broke off: " + err.Error()
		return resultBroken
	}
	if !s.headSent {
		s.beginStream(answer)
	}
	// A failure here means that the caller has left.
	_, _ = s.w.Write(rest.data)
	s.keep = answer
	return resultDone
}
