package proxy

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
)

var (
	errOnlyStrayResponses = errors.New("target sent only responses to other requests")
	errOwnerUnknown       = errors.New("target refused a request without its ID on a connection that was used before")
	errUndefinedStatus    = errors.New("target sent a status that HTTP does not define")
)

// readResponse returns the response to this request. Interim responses, and
// responses to earlier requests on the connection, which have another request ID,
// are skipped.
func (s *exchange) readResponse() (*http.Response, Response, error) {
	strays, interim := 0, 0
	for strays < maxStrayResponses && interim < maxInterimResponses {
		resp, err := s.conn.ReadHead(s.r.Method)
		if err != nil {
			return nil, Response{}, err
		}
		if !isDefinedStatus(resp.StatusCode) {
			return nil, Response{}, errUndefinedStatus
		}
		if resp.StatusCode < http.StatusOK {
			interim++
			continue
		}
		meta := s.Codec.DecodeResponse(resp.StatusCode, resp.Header, s.choice.Target.ID)
		if meta.RequestID == s.request.ID {
			return resp, meta, nil
		}
		if meta.RequestID == "" && meta.NotRun {
			if s.conn.Reused {
				// It may belong to an earlier request, so this one may run.
				return nil, Response{}, errOwnerUnknown
			}
			return resp, meta, nil
		}
		strays++
		s.Logger.Info("skipped response to an earlier request on the same connection", zap.String("id", s.request.ID), zap.String("target", s.targetID))
		if err := s.skipBody(resp); err != nil {
			return nil, Response{}, err
		}
	}
	return nil, Response{}, errOnlyStrayResponses
}

// isDefinedStatus reports whether a status is in one of the classes that HTTP defines. What has
// another one is no response, although net/http accepts any three digits.
func isDefinedStatus(status int) bool {
	const first, last = 100, 599
	return first <= status && status <= last
}

// endsWithConnection reports whether a response has a body with neither a length nor
// chunks, which ends when the target closes the connection.
func endsWithConnection(resp *http.Response) bool {
	return resp.Body != http.NoBody && resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}

// skipBody reads the rest of a response, so that the next one can be read from the
// connection. It fails if that is not possible.
func (s *exchange) skipBody(resp *http.Response) error {
	if resp.Close || endsWithConnection(resp) {
		return errOnlyStrayResponses
	}
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxDiscardedBytes+1))
	if err == nil && n > maxDiscardedBytes {
		err = errBodyOverLimit
	}
	return err
}

// discard ends an attempt whose response the caller does not get. The connection
// can be reused if the rest of the response is short.
func (s *exchange) discard(resp *http.Response, result result) result {
	s.reason = "target refused the request with " + resp.Status
	if err := s.skipBody(resp); err == nil {
		s.reusableAfter = resp
	}
	return result
}

// bufferedResponse is a response that was read completely.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
}

// forwardBuffered reads the complete response before the caller gets any of it.
func (s *exchange) forwardBuffered(resp *http.Response, meta Response) result {
	body, reserved, err := s.Memory.readResponse(resp.Body, maxResponseBytes, s.reservedBytes)
	if err != nil {
		s.reason = "reading response body failed: " + err.Error()
		return resultBroken
	}
	s.reservedBytes += reserved
	if s.brokenWithUpload(resp) {
		s.reason = uploadBrokeOff
		return resultBroken
	}
	s.reusableAfter = resp
	if !meta.Signed {
		s.reason = "response without the target's signature"
		s.reusableAfter = nil
		return resultBroken
	}
	if s.headersSent {
		// The caller has received a part of a stream, in which another response has no
		// place.
		s.reason = "target continued a stream with status " + resp.Status
		return resultFailed
	}
	buffered := &bufferedResponse{resp.StatusCode, resp.Header, body}
	if impliesNotRun(resp.StatusCode) {
		// The target did not state that the request has not run, so the caller
		// must not get a status that implies it.
		s.reason = "target returned status " + resp.Status
		return resultFailed
	}
	if resp.StatusCode >= http.StatusInternalServerError {
		s.reason = "target returned status " + resp.Status
		s.failedResponse = buffered
		return resultFailed
	}
	buffered.write(s.call)
	s.endKnown = !endsWithConnection(resp)
	s.succeeded = resp.StatusCode < http.StatusMultipleChoices
	return resultDelivered
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
