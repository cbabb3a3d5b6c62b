// Package settings reads the static settings of one daemon: what a process
// must know before it can join the others. Everything that may change while
// traffic runs belongs to the service document in package config.
package settings

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/netip"
	"os"
	"path/filepath"
	"strings"

	"github.com/cockroachdb/errors"
)

// Settings are the static settings of one VM.
type Settings struct {
	// VM is the name of this VM, unique over the service.
	VM string `json:"vm"`
	// Zone is the availability zone of this VM.
	Zone string `json:"zone"`
	// Region is the region of the zone.
	Region string `json:"region"`
	// Slot is the number of this VM's slot in its zone, from 0. Two VMs of a
	// zone must not share a slot, because rate floors belong to slots.
	Slot int `json:"slot"`
	// CallerAddress is where callers connect, as IP:port.
	CallerAddress string `json:"caller_address"`
	// TargetAddress is where targets announce themselves, as IP:port.
	TargetAddress string `json:"target_address"`
	// PeerAddress is where other VMs connect by TCP, as IP:port.
	PeerAddress string `json:"peer_address"`
	// GossipAddress is the UDP address of membership, as IP:port.
	GossipAddress string `json:"gossip_address"`
	// AdminAddress is where operators' tools connect, as IP:port.
	AdminAddress string `json:"admin_address"`
	// Join lists gossip addresses of VMs to join.
	Join []string `json:"join,omitempty"`
	// DataFolder is the folder for durable state; empty without a disk.
	DataFolder string `json:"data_folder,omitempty"`
	// Voters lists the VMs that form the first voter set of the control log,
	// by name, with their peer addresses. The same list stands in the
	// settings of every VM.
	Voters map[string]string `json:"voters"`
	// ClusterSecretFile holds the shared secret that authenticates gossip.
	ClusterSecretFile string `json:"cluster_secret_file,omitempty"`
	// DocumentFile is a service document that starts a new service; it is
	// proposed once, when the control log is empty.
	DocumentFile string `json:"document_file,omitempty"`
	// CallerTLS holds the certificate shown to callers; without it callers
	// use plain HTTP.
	CallerTLS *TLS `json:"caller_tls,omitempty"`
	// PeerTLS holds the certificate for traffic between VMs; without it only
	// loopback addresses are allowed.
	PeerTLS *TLS `json:"peer_tls,omitempty"`
}

// TLS names certificate files in PEM form.
type TLS struct {
	// CertFile is the certificate chain.
	CertFile string `json:"cert_file"`
	// KeyFile is the private key.
	KeyFile string `json:"key_file"`
	// CAFile is the certificate authority of the peers.
	CAFile string `json:"ca_file,omitempty"`
}

// Problem is one reason why settings are refused.
type Problem struct {
	// File is the settings file.
	File string
	// Path is the JSON path of the value at fault.
	Path string
	// Reason says what is wrong with it.
	Reason string
}

// Error returns the problem on one line.
func (p Problem) Error() string {
	return fmt.Sprintf("%s: %s: %s", p.File, p.Path, p.Reason)
}

// Load reads and checks the settings in file. The error joins every problem
// found, not only the first.
func Load(file string) (Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, fmt.Errorf("read settings: %w", err)
	}
	s, err := Parse(file, data)
	if err != nil {
		return Settings{}, err
	}
	s.resolvePaths(filepath.Dir(file))
	return s, nil
}

// Parse decodes and checks settings; name stands for the file in problems.
func Parse(name string, data []byte) (Settings, error) {
	var s Settings
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&s); err != nil {
		return s, errors.Join(decodeProblems(name, data, err)...)
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return s, Problem{name, "$", "has more than one JSON value"}
	}
	return s, errors.Join(s.check(name)...)
}

// Voter reports whether this VM is in the first voter set.
func (s *Settings) Voter() bool {
	_, ok := s.Voters[s.VM]
	return ok
}

func decodeProblems(name string, data []byte, err error) []error {
	problems := unknownFields(name, data)
	var typeErr *json.UnmarshalTypeError
	if errors.As(err, &typeErr) {
		reason := fmt.Sprintf("is a %s, want a %s", typeErr.Value, typeErr.Type)
		problems = append(problems, Problem{name, "$." + typeErr.Field, reason})
	}
	if len(problems) == 0 {
		problems = append(problems, Problem{name, "$", err.Error()})
	}
	return problems
}

// unknownFields names every top-level field that Settings does not have; the
// decoder itself stops at the first.
func unknownFields(name string, data []byte) []error {
	var fields map[string]json.RawMessage
	if json.Unmarshal(data, &fields) != nil {
		return nil
	}
	var problems []error
	for field, value := range fields {
		var probe Settings
		single, _ := json.Marshal(map[string]json.RawMessage{field: value})
		dec := json.NewDecoder(bytes.NewReader(single))
		dec.DisallowUnknownFields()
		err := dec.Decode(&probe)
		if err != nil && strings.Contains(err.Error(), "unknown field") {
			problems = append(problems, Problem{name, "$." + field, "contains an unknown field: " + err.Error()})
		}
	}
	return problems
}

func (s *Settings) check(file string) []error {
	c := &checker{file: file}
	c.required("$.vm", s.VM)
	c.required("$.zone", s.Zone)
	c.required("$.region", s.Region)
	if s.Slot < 0 {
		c.add("$.slot", "must not be negative")
	}
	c.address("$.caller_address", s.CallerAddress)
	c.address("$.target_address", s.TargetAddress)
	c.address("$.peer_address", s.PeerAddress)
	c.address("$.gossip_address", s.GossipAddress)
	c.address("$.admin_address", s.AdminAddress)
	for i, a := range s.Join {
		c.address(fmt.Sprintf("$.join[%d]", i), a)
	}
	s.checkVoters(c)
	s.checkTLS(c)
	return c.problems
}

func (s *Settings) checkVoters(c *checker) {
	if n := len(s.Voters); n != 1 && n != 3 && n != 5 && n != 7 {
		c.add("$.voters", fmt.Sprintf("has %d VMs, want 1, 3, 5 or 7", n))
	}
	for vm, addr := range s.Voters {
		c.address("$.voters."+vm, addr)
	}
	if s.Voter() && s.DataFolder == "" {
		c.add("$.data_folder", "is required because this VM is a voter")
	}
	if addr, ok := s.Voters[s.VM]; ok && addr != s.PeerAddress {
		c.add("$.voters."+s.VM, fmt.Sprintf("is %s but peer_address is %s", addr, s.PeerAddress))
	}
}

func (s *Settings) checkTLS(c *checker) {
	if s.CallerTLS != nil {
		c.required("$.caller_tls.cert_file", s.CallerTLS.CertFile)
		c.required("$.caller_tls.key_file", s.CallerTLS.KeyFile)
	}
	if s.PeerTLS == nil {
		if !loopback(s.PeerAddress) {
			c.add("$.peer_tls", "is required because peer_address is not a loopback address")
		}
		if !loopback(s.GossipAddress) && s.ClusterSecretFile == "" {
			c.add("$.cluster_secret_file", "is required because gossip_address is not a loopback address")
		}
		return
	}
	c.required("$.peer_tls.cert_file", s.PeerTLS.CertFile)
	c.required("$.peer_tls.key_file", s.PeerTLS.KeyFile)
	c.required("$.peer_tls.ca_file", s.PeerTLS.CAFile)
	c.required("$.cluster_secret_file", s.ClusterSecretFile)
}

// loopback reports whether an address stays on this machine. A malformed one
// is reported elsewhere.
func loopback(address string) bool {
	addr, err := netip.ParseAddrPort(address)
	return err != nil || addr.Addr().IsLoopback()
}

// resolvePaths makes file names relative to the folder of the settings file.
func (s *Settings) resolvePaths(folder string) {
	paths := []*string{&s.DataFolder, &s.ClusterSecretFile, &s.DocumentFile}
	for _, t := range []*TLS{s.CallerTLS, s.PeerTLS} {
		if t != nil {
			paths = append(paths, &t.CertFile, &t.KeyFile, &t.CAFile)
		}
	}
	for _, p := range paths {
		if *p != "" && !filepath.IsAbs(*p) {
			*p = filepath.Join(folder, *p)
		}
	}
}

type checker struct {
	file     string
	problems []error
}

func (c *checker) add(path, reason string) {
	c.problems = append(c.problems, Problem{c.file, path, reason})
}

func (c *checker) required(path, value string) {
	if value == "" {
		c.add(path, "is required")
	}
}

func (c *checker) address(path, value string) {
	if value == "" {
		c.add(path, "is required")
		return
	}
	if _, err := netip.ParseAddrPort(value); err != nil {
		c.add(path, fmt.Sprintf("%q is not an IP address and port", value))
	}
}
