package proxy

import (
	"bytes"
	"net/http"
	"sort"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
)

// concurrentBodyBytes is the size from which the body is written while the
// response is read, because a target may respond before it has read the
// complete body.
const concurrentBodyBytes = 8 << 10

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
