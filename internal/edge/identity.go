package edge

import (
	"crypto/rand"
	"encoding/hex"
	"os"
	"path/filepath"
	"strings"

	"github.com/cuminwing/cuminwing/internal/adapter/replica"
	"github.com/cuminwing/cuminwing/internal/raft"
)

// identityFile is the file in the data folder that holds the replica ID.
const identityFile = "replica-id"

// loadIdentity returns the replica ID of this VM and the initial voters, which are
// nil if the ID is not one of them. The ID is stored with the replica's files: a VM
// that has lost its disk must not reuse its previous ID, because the record of the
// votes and acknowledgements given under that ID is lost.
func loadIdentity(s *Settings) (id string, bootstrap raft.Membership, err error) {
	bootstrap = initialVoters(s)
	stored, err := os.ReadFile(filepath.Join(s.DataFolder, identityFile))
	if err == nil && len(strings.TrimSpace(string(stored))) > 0 {
		id = strings.TrimSpace(string(stored))
		if !bootstrap.IsVoter(id) {
			bootstrap = nil
		}
		return id, bootstrap, nil
	}
	if err != nil && !os.IsNotExist(err) {
		return "", nil, err
	}
	id = s.selfPeerAddress()
	if !s.FirstStart || !bootstrap.IsVoter(id) {
		id = s.selfPeerAddress() + "/" + randomSuffix()
		bootstrap = nil
	}
	return id, bootstrap, writeFileAtomic(s.DataFolder, identityFile, id)
}

// damagedSuffix is appended to the name of the folder of a damaged control log. Only the
// latest one is kept.
const damagedSuffix = ".damaged"

// setAsideControlLog renames the folder of the control log and removes the replica ID. It
// returns the new name of the folder. The ID is removed first: a replica that has lost its
// log must not use the ID under which it has voted.
func setAsideControlLog(dataFolder string) (string, error) {
	if err := os.Remove(filepath.Join(dataFolder, identityFile)); err != nil && !os.IsNotExist(err) {
		return "", err
	}
	if err := syncDir(dataFolder); err != nil {
		return "", err
	}
	folder := filepath.Join(dataFolder, replica.LogFolder)
	kept := folder + damagedSuffix
	if err := os.RemoveAll(kept); err != nil {
		return "", err
	}
	if err := os.Rename(folder, kept); err != nil {
		return "", err
	}
	return kept, syncDir(dataFolder)
}

// initialVoters returns the voters of the first start: the seeds, which are the
// same on all VMs at that time.
func initialVoters(s *Settings) raft.Membership {
	addresses := make(map[string]string)
	for _, peer := range s.seedPeerAddresses() {
		addresses[peer] = peer
	}
	return raft.NewVoters(addresses)
}

// randomSuffix distinguishes the replica IDs that a VM has in the course of time.
func randomSuffix() string {
	var b [6]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// writeFileAtomic writes a file so that after a power loss it is either complete
// or unchanged.
func writeFileAtomic(dir, name, content string) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	temporary := filepath.Join(dir, name+".tmp")
	file, err := os.Create(temporary)
	if err != nil {
		return err
	}
	if _, err = file.WriteString(content); err == nil {
		err = file.Sync()
	}
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return err
	}
	if err := os.Rename(temporary, filepath.Join(dir, name)); err != nil {
		return err
	}
	return syncDir(dir)
}

// syncDir flushes the entries of a directory to disk.
func syncDir(dir string) error {
	f, err := os.Open(dir)
	if err != nil {
		return err
	}
	err = f.Sync()
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	return err
}
