package edge

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/cuminwing/cuminwing/internal/adapter/metrics"
	"github.com/cuminwing/cuminwing/internal/adapter/sockopt"
)

// ackTimeout is how long sent bytes may remain unacknowledged before the
// connection is closed as unresponsive: by TCP_USER_TIMEOUT, and on connections
// of callers by httpconn.Tracker. Callers wait for a response for at least two
// seconds.
const ackTimeout = 3 * time.Second

// keepAlive detects unresponsive connections on which no data is in flight.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: 5 * time.Second, Interval: 2 * time.Second, Count: 3}

// callerKeepAlive is keepAlive for connections of callers. It ends them after 7 s, as
// keepAlive does together with TCP_USER_TIMEOUT, which httpconn.Tracker turns off there:
// the option closes a connection when the second probe is due, whatever the count.
var callerKeepAlive = net.KeepAliveConfig{Enable: true, Idle: 5 * time.Second, Interval: time.Second, Count: 2}

// listen opens a TCP listener. Accepted connections inherit its socket options.
func listen(address string) (net.Listener, error) { return listenWith(address, keepAlive) }

func listenWith(address string, probes net.KeepAliveConfig) (net.Listener, error) {
	config := net.ListenConfig{Control: sockopt.AckTimeout(ackTimeout), KeepAliveConfig: probes}
	return config.Listen(context.Background(), "tcp", address)
}

// serveUntilClosed runs a server and logs any error other than the close of the server or
// its listener.
func serveUntilClosed(logger *zap.Logger, s *http.Server, l net.Listener) {
	if err := s.Serve(l); err != nil && !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
		logger.Error("server stopped unexpectedly", zap.String("address", l.Addr().String()), zap.Error(err))
	}
}

// MetricsPath is the path of the metrics endpoint.
const MetricsPath = "/metrics"

func registerMetrics(mux *http.ServeMux) { mux.Handle("GET "+MetricsPath, metrics.Handler()) }

// serveMetrics serves the metrics on the metrics port, if one is set. The process
// works without it, so a port that is already in use is only logged. register adds further
// internal calls.
func (b *processBudget) serveMetrics(s *Settings, set *metrics.Set, logger *zap.Logger, register ...func(*http.ServeMux)) {
	if s.MetricsPort == 0 {
		return
	}
	address := net.JoinHostPort(s.IP, strconv.Itoa(s.MetricsPort))
	listener, err := listen(address)
	if err != nil {
		logger.Warn("listen for metrics failed; metrics are not served on this port", zap.String("address", address), zap.Error(err))
		return
	}
	mux := http.NewServeMux()
	registerMetrics(mux)
	for _, f := range register {
		f(mux)
	}
	b.serveInternal(logger, set, "metrics", listener, mux)
}

// latencyBounds are the upper bounds of the buckets of the request latency
// histogram.
var latencyBounds = []time.Duration{
	25 * time.Millisecond, 50 * time.Millisecond, 100 * time.Millisecond, 250 * time.Millisecond,
	500 * time.Millisecond, time.Second, 2500 * time.Millisecond, 5 * time.Second,
}

// latencyBucket returns the name of the bucket that a duration falls in.
func latencyBucket(took time.Duration) string {
	for _, bound := range latencyBounds {
		if took <= bound {
			return "le_" + strconv.FormatInt(bound.Milliseconds(), 10) + "_ms"
		}
	}
	return "le_inf"
}
