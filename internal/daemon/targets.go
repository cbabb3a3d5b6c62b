package daemon

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/cuminwing/cuminwing/internal/adapter/httpconn"
	"github.com/cuminwing/cuminwing/internal/adapter/targethttp"
	"github.com/cuminwing/cuminwing/internal/membership"
	"github.com/cuminwing/cuminwing/internal/target"
)

const (
	// targetRetention is how long a target stays listed after it was last heard
	// from.
	targetRetention = time.Minute
	expireInterval  = 500 * time.Millisecond
)

// startTargets starts the listener for announcements of targets.
func (n *Node) startTargets() error {
	n.background(func(ctx context.Context) {
		every(ctx, expireInterval, func() { n.registry.Expire(n.clock(), targetRetention) })
	})
	handler := httpconn.LimitUnreadBodies(targethttp.AnnounceHandler(n.acceptAnnouncement))
	return n.serveInternal("target", n.settings.TargetAddress, handler, nil)
}

func (n *Node) acceptAnnouncement(a target.Announcement) {
	change := n.registry.MergeAnnouncement(a, n.clock())
	n.gossip.Announce(a, change)
	switch change {
	case target.Joined, target.Replaced, target.Left, target.DescriptionChanged:
		if !membership.FitsPacket(a) {
			n.logger.Error("target announcement does not fit in a gossip packet; other VMs do not receive it", zap.String("target", a.ID), zap.Int("adapters", len(a.Adapters)))
		}
		n.logger.Info("target changed", zap.String("target", a.ID), zap.Uint64("incarnation", a.Incarnation), zap.Stringer("change", change))
	}
}
