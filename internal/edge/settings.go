// Package edge assembles the two kinds of process of a deployment. Fronts forward
// requests byte for byte. The core is a Raft group that holds the state of the
// fronts. A front stores nothing on disk; it follows the leader of the core. The
// protocols with callers, targets and operators are supplied by the importer, in
// CoreOptions and FrontOptions.
package edge

import (
	"net"
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/cuminwing/cuminwing/internal/canary"
	"github.com/cuminwing/cuminwing/internal/ratelimit"
)

// Settings are the settings of one process. They are read at its start.
type Settings struct {
	VM     string
	Zone   string
	Region string
	// Regions maps each zone to its region.
	Regions map[string]string
	// IP is the address of the VM.
	IP string
	// FrontAddress is the listen address for callers, ReadyAddress that for the
	// load balancer's readiness checks.
	FrontAddress string
	ReadyAddress string
	// ControlAddress is the listen address for operators and targets.
	ControlAddress string
	// PeerPort is the port for calls between VMs. It is the same on all VMs.
	PeerPort int
	// MetricsPort is the port for metrics; 0 disables it.
	MetricsPort int
	// Seeds are the control addresses of some VMs of the core.
	Seeds []string
	// Reload rereads the settings and returns the seeds, the only setting that
	// may have changed. If it is nil, the seeds do not change.
	Reload func() (seeds []string, err error)
	// FirstStart is set when the whole deployment starts for the first time,
	// with empty disks.
	FirstStart bool
	DataFolder string
	// MemoryBytes is the memory that the process may use.
	MemoryBytes int64
	Guarantees  Guarantees
}

// Guarantees are the time and rate limits that a deployment guarantees.
type Guarantees struct {
	// GracePeriod is the time from SIGTERM to SIGKILL.
	GracePeriod time.Duration
	// KeyRevocation is the time after which a withdrawn key must be rejected,
	// also on VMs that are partitioned from the core.
	KeyRevocation time.Duration
	// DocumentDelay is the time after which a changed document must be in force.
	DocumentDelay time.Duration
	// RetryRatio and RetrySlack limit the extra attempts sent to a service
	// within RetryWindow by all VMs together.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration
	// Quota is the tolerated overshoot of a quota, in the unit of the quota.
	Quota ratelimit.Overshoot
	// HolderLease is the minimum time between the last order of one holder and
	// the first order of the next.
	HolderLease time.Duration
	// StaleWeights is the time after the replacement of weights from which no
	// request may start on the old ones.
	StaleWeights time.Duration
	// OffersRollouts is set if operators can order rollouts, within the limits Rollouts.
	OffersRollouts bool
	Rollouts       canary.Limits
}

// PeerAddress returns the peer address of the VM with the given control address.
// Peer addresses are used for calls between VMs.
func (s *Settings) PeerAddress(control string) string {
	host, _, err := net.SplitHostPort(control)
	if err != nil {
		host = control
	}
	return net.JoinHostPort(host, strconv.Itoa(s.PeerPort))
}

// selfPeerAddress returns the peer address of this VM.
func (s *Settings) selfPeerAddress() string { return net.JoinHostPort(s.IP, strconv.Itoa(s.PeerPort)) }

// seedPeerAddresses returns the peer addresses of the seeds known at the start.
func (s *Settings) seedPeerAddresses() []string { return s.peerAddresses(s.Seeds) }

func (s *Settings) peerAddresses(seeds []string) []string {
	var peers []string
	for _, seed := range seeds {
		peers = append(peers, s.PeerAddress(seed))
	}
	return peers
}

// reloadSeedPeerAddresses rereads the settings, which may change without a signal,
// and returns the peer addresses of their seeds. If rereading fails, it returns
// those of the seeds known at the start.
func (s *Settings) reloadSeedPeerAddresses(logger *zap.Logger) []string {
	if s.Reload == nil {
		return s.seedPeerAddresses()
	}
	seeds, err := s.Reload()
	if err != nil || len(seeds) == 0 {
		logger.Warn("rereading the settings failed; using the seeds known at the start", zap.Error(err))
		return s.seedPeerAddresses()
	}
	return s.peerAddresses(seeds)
}
