package httpconn

import "net/http"

// CloseAfterResponse returns a handler that adds Connection: close to each response that
// begins while stopping reports true. HTTP/2 sends a graceful GOAWAY in its place.
func CloseAfterResponse(stopping func() bool, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		last := &lastResponseWriter{ResponseWriter: w, stopping: stopping}
		next.ServeHTTP(last, r)
		last.begin()
	})
}

// lastResponseWriter adds Connection: close to a response that begins while stopping
// reports true.
type lastResponseWriter struct {
	http.ResponseWriter
	stopping func() bool
	begun    bool
}

// begin adds the header, unless the response has begun.
func (w *lastResponseWriter) begin() {
	if !w.begun && w.stopping() {
		w.Header().Set("Connection", "close")
	}
	w.begun = true
}

// WriteHeader implements http.ResponseWriter.
func (w *lastResponseWriter) WriteHeader(status int) {
	if status >= http.StatusOK {
		w.begin()
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *lastResponseWriter) Write(b []byte) (int, error) {
	w.begin()
	return w.ResponseWriter.Write(b)
}

// FlushError implements the interface that http.ResponseController looks for.
func (w *lastResponseWriter) FlushError() error {
	w.begin()
	return http.NewResponseController(w.ResponseWriter).Flush()
}

// Flush implements http.Flusher.
func (w *lastResponseWriter) Flush() {
	// An error means that the client has disconnected.
	_ = w.FlushError()
}

// Unwrap lets http.ResponseController reach the wrapped writer.
func (w *lastResponseWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
