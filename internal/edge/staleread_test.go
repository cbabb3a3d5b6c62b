package edge

import (
	"context"
	"testing"
	"time"
)

// Guards against a read of a member that is removed from the control log while the read
// waits for the leader: the index of the leader was returned although this replica had not
// applied it, and the operator got an old document.
func TestReadOfAReplicaThatIsNoMemberAnyMoreWaitsForItsState(t *testing.T) {
	d := newDeployment(t, 3)
	ctx := context.Background()
	eventually(t, "document", func() error { return d.cores[0].core.PutDocument(ctx, documentWithKey(4, "k1")) })
	// While the leader makes another change of the membership, the replica does not join.
	leader := d.cores[d.leaderIndex()].core
	leader.changingMembers.Lock()
	defer leader.changingMembers.Unlock()
	lagging := d.startSuccessor()
	const enough = 500 * time.Millisecond
	readCtx, cancel := context.WithTimeout(ctx, enough)
	defer cancel()
	if index, err := lagging.core.awaitBarrier(readCtx); err == nil {
		t.Errorf("the read barrier ended at index %d; the replica has version %d of the document", index, lagging.core.document.Current().Version)
	}
}
