package edge

import (
	"context"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/cuminwing/cuminwing/internal/control"
	"github.com/cuminwing/cuminwing/internal/fleet"
	"github.com/cuminwing/cuminwing/internal/gatewayconfig"
)

// PutDocument validates a document from an operator and commits it to the
// control log. An error that is gatewayconfig.ErrInvalid names the invalid
// part. After ErrUncertain the document may or may not be active.
func (c *Core) PutDocument(ctx context.Context, raw []byte) error {
	document, err := c.decode(raw)
	if err != nil {
		c.logger.Info("document rejected", zap.Int("bytes", len(raw)), zap.Error(err))
		return err
	}
	content, err := compress(raw)
	if err != nil {
		return errors.Wrap(err, "compress the document")
	}
	err = c.propose(ctx, control.KindDocument, gatewayconfig.EncodeProposal(document.Version, content))
	c.logger.Info("document proposed", zap.Uint64("version", document.Version), zap.Int("bytes", len(raw)), zap.Int("compressed", len(content)),
		zap.Int("routes", len(document.Routes)), zap.Uint64("in_force", c.document.Current().Version), zap.Error(err))
	return err
}

// RawDocument is a document as the operator sent it.
type RawDocument struct {
	Version uint64
	Raw     []byte
}

// Document returns the latest committed document, by a linearizable read.
func (c *Core) Document(ctx context.Context) (RawDocument, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	if _, err := c.barriers.call(ctx, struct{}{}); err != nil {
		c.logger.Info("document read failed", zap.Error(err))
		return RawDocument{}, ErrUnavailable
	}
	stored, raw, err := c.currentDocument()
	if err != nil {
		c.logger.Error("decompressing the active document failed", zap.Uint64("version", stored.Version), zap.Error(err))
		return RawDocument{}, ErrUnavailable
	}
	return RawDocument{Version: stored.Version, Raw: raw}, nil
}

// currentDocument returns the document of this replica, as stored and as the
// operator sent it.
func (c *Core) currentDocument() (gatewayconfig.StoredDocument, []byte, error) {
	stored := c.document.Current()
	raw, err := rawDocument(stored)
	return stored, raw, err
}

// decodeCurrent returns the decoded document of this replica and its version, which
// is 0 if there is none yet.
func (c *Core) decodeCurrent() (*gatewayconfig.Document, uint64, error) {
	stored, raw, err := c.currentDocument()
	if err != nil {
		return nil, stored.Version, err
	}
	document, err := c.decode(raw)
	return document, stored.Version, err
}

// SetRequiredWeights sets the version of a model that engines have to run.
func (c *Core) SetRequiredWeights(ctx context.Context, w fleet.RequiredWeights) error {
	err := c.propose(ctx, control.KindFleet, fleet.Command{Weights: &w}.Encode())
	c.logger.Info("required weights proposed", zap.String("model", w.Model), zap.Uint64("version", w.Version), zap.Error(err))
	return err
}
