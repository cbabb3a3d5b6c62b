package proxy

import (
	"bufio"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// forwardStream passes on the events of a stream as they arrive.
func (s *exchange) forwardStream(resp *http.Response, meta Response) result {
	if !meta.Signed {
		s.reason = "response without the target's signature"
		return resultBroken
	}
	events := eventReader{src: bufio.NewReader(resp.Body)}
	flusher := http.NewResponseController(s.w)
	for {
		e, err := events.next()
		if err != nil && s.stall.stop() != nil {
			return s.endBroken(err.Error())
		}
		if err != nil {
			return s.endStream(resp, e, err)
		}
		if e.isProgress() {
			s.recordEvent(e)
		}
		if e.id >= 0 && e.id <= s.lastEventID {
			continue
		}
		if !s.headersSent {
			s.beginStream(resp)
		}
		if err := s.writeEvent(e, flusher); err != nil {
			s.reason = "write to caller failed: " + err.Error()
			return resultCanceledSent
		}
		if e.id >= 0 {
			s.lastEventID = e.id
		}
	}
}

// writeEvent writes an event to the caller, and records the time that this takes.
func (s *exchange) writeEvent(e event, flusher *http.ResponseController) error {
	started := time.Now()
	defer func() { s.writeTime += time.Since(started) }()
	if _, err := s.w.Write(e.data); err != nil {
		return err
	}
	return flusher.Flush()
}

// recordEvent records when the first event of the attempt arrived, whether the stream can
// still continue at another engine, and clears the request of crashing targets once its
// answer has gone on for answerStartTime.
func (s *exchange) recordEvent(e event) {
	s.choice.RecordEvent(time.Now())
	s.recordPause(time.Now())
	switch {
	case s.firstEventAt.IsZero():
		s.firstEventAt = time.Now()
	case !s.cleared && s.answerTime() >= answerStartTime:
		s.clearOfCrashes()
	}
	if e.id < 0 {
		s.unnumberedEvents = true
	}
	if s.unnumberedEvents {
		s.stall.stop()
		return
	}
	s.stall.recordProgress()
}

// recordPause records the time since the event before. The time that the caller took to read
// that event is not a pause of the target.
func (s *exchange) recordPause(now time.Time) {
	if !s.lastEventAt.IsZero() {
		pause := now.Sub(s.lastEventAt) - (s.writeTime - s.writtenBefore)
		s.choice.LongestPause = max(s.choice.LongestPause, pause)
	}
	s.lastEventAt, s.writtenBefore = now, s.writeTime
}

func (s *exchange) beginStream(resp *http.Response) {
	s.Codec.CopyResponseHeaders(s.w.Header(), resp.Header)
	s.endConnection()
	s.limitWrites()
	s.w.WriteHeader(resp.StatusCode)
	s.headersSent = true
	s.firstByteAfter = time.Since(s.started)
}

// endStream passes on the bytes after the last complete event if the stream has
// ended without an error.
func (s *exchange) endStream(resp *http.Response, rest event, err error) result {
	if !errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		s.reason = "stream broke off: " + err.Error()
		return resultBroken
	}
	if reason := s.earlyEnd(resp, rest); reason != "" {
		s.reason = reason
		return resultBroken
	}
	if !s.headersSent {
		s.beginStream(resp)
	}
	// A write error means that the caller has disconnected.
	_, _ = s.w.Write(rest.data)
	s.reusableAfter = resp
	s.succeeded = true
	s.endKnown = !endsWithConnection(resp)
	return resultDelivered
}

// uploadBrokeOff is the reason for which a response that ends with its connection is not taken
// for a complete one.
const uploadBrokeOff = "connection broke off during the upload"

// earlyEnd returns why a stream whose bytes ended without an error has broken off, or an
// empty string. A stream that ends with its connection shows its end by its events only:
// it has at least one, and ends with a line. One that ends between two events because its
// engine has crashed cannot be told from a complete one.
func (s *exchange) earlyEnd(resp *http.Response, rest event) string {
	switch {
	case rest.isProgress():
		return "stream ended inside an event"
	case !endsWithConnection(resp):
		return ""
	case s.brokenWithUpload(resp):
		return uploadBrokeOff
	case s.firstEventAt.IsZero():
		return "stream ended with its connection before its first event"
	case len(rest.data) > 0 && !isLineEnd(rune(rest.data[len(rest.data)-1])):
		return "stream ended with its connection inside a comment"
	}
	return ""
}
