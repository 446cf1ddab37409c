package settings

import (
	"cmp"
	"fmt"
	"os"
	"path/filepath"
	"slices"

	"mangohill.example/mangohill/internal/yamltree"
)

func validate(s *Settings, root *yamltree.Map, program Program) {
	requireText(root, keyCluster, s.Cluster, program)
	requireText(root, keyName, s.Name, program)
	requireText(root, keyFailureDomain, s.FailureDomain, program)
	for _, key := range requiredListenKeys(program) {
		if !root.Map(keyListen).Has(key) {
			root.Reject(keyListen+"."+key, "is missing (required for %s)", program)
		}
	}
	if !root.Has(keyControl) {
		root.Reject(keyControl, "is missing (required for %s)", program)
	} else if len(s.Control) == 0 {
		root.Reject(keyControl, "must list at least one address")
	}
	switch program {
	case Control:
		checkControl(s, root)
	case Entry:
		if !root.Has(keyEntries) {
			root.Reject(keyEntries, "is missing (required for %s)", program)
		}
	}
}

func requiredListenKeys(program Program) []string {
	if program == Control {
		return []string{keyOperators, keyPeers}
	}
	return listenKeys
}

func requireText(root *yamltree.Map, key, value string, program Program) {
	if value != "" {
		return
	}
	if root.Has(key) {
		root.Reject(key, "is empty")
		return
	}
	root.Reject(key, "is missing (required for %s)", program)
}

func checkControl(s *Settings, root *yamltree.Map) {
	peers := s.Listen.Peers
	if peers != "" && len(s.Control) > 0 && !slices.Contains(s.Control, peers) {
		root.Reject(keyControl, "does not list this process's listen.peers %s", peers)
	}
	if s.Data == "" {
		requireText(root, keyData, s.Data, Control)
		return
	}
	if err := checkDataFolder(s.Data); err != nil {
		root.Reject(keyData, "%v", err)
	}
}

// checkDataFolder returns an error if path cannot be used as a data folder. It does not
// create the folder: if it is missing, its nearest existing parent is checked.
func checkDataFolder(path string) error {
	ancestor := path
	for {
		info, err := os.Stat(ancestor)
		if err == nil && !info.IsDir() {
			return fmt.Errorf("%s is not a folder", ancestor)
		}
		if err == nil {
			break
		}
		if !os.IsNotExist(err) {
			return fmt.Errorf("folder %s cannot be used: %w", ancestor, err)
		}
		parent := filepath.Dir(ancestor)
		if parent == ancestor {
			return fmt.Errorf("folder %s cannot be used: %w", ancestor, err)
		}
		ancestor = parent
	}
	return checkWritable(ancestor)
}

// checkWritable creates and removes a file in folder. Permission bits are not enough:
// they do not apply to root, and a read-only file system rejects writes in spite of them.
func checkWritable(folder string) error {
	probe, err := os.CreateTemp(folder, ".mangohill-check-*")
	if err != nil {
		return fmt.Errorf("folder %s is not writable: %w", folder, err)
	}
	closeErr := probe.Close()
	if err := os.Remove(probe.Name()); err != nil {
		return fmt.Errorf("folder %s is not writable: %w", folder, err)
	}
	return closeErr
}

func sortFaults(faults []Fault) {
	slices.SortStableFunc(faults, func(a, b Fault) int { return cmp.Compare(a.Line, b.Line) })
}
