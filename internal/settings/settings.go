// Package settings reads and validates the settings of a node, which are JSON
// with comments. It reports all findings together.
package settings

import (
	"math"
	"net"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/goldcrestshed/goldcrestshed/internal/finding"
	"github.com/goldcrestshed/goldcrestshed/internal/jsonc"
)

// Settings are the settings of goldcrestd.
type Settings struct {
	Node          Node          `json:"node" doc:"identity and location of the node"`
	Listen        Listen        `json:"listen" doc:"addresses that the node listens on"`
	BackendServer BackendServer `json:"backendServer" doc:"the backend server on the node's instance"`
	Configuration Configuration `json:"configuration" doc:"distribution of the operators' configuration"`
	Log           Log           `json:"log" doc:"the platform's log"`
	Platform      Platform      `json:"platform" doc:"the platform that is used instead of the log"`
	Peers         Peers         `json:"peers" doc:"the inner protocol"`
	Network       Network       `json:"network" doc:"rate of the link and cost of traffic between failure domains"`
	Quotas        Quotas        `json:"quotas" doc:"how exactly the quotas of organisations are kept"`
	Logging       Logging       `json:"logging" doc:"log lines on standard output"`
	Drain         Drain         `json:"drain" doc:"graceful shutdown"`
	Rollout       Rollout       `json:"rollout" doc:"moves of a service's calls to a new version"`
}

// Node is the identity and location of a node.
type Node struct {
	ID            string `json:"id" required:"true" doc:"name of the node, unique in the system"`
	Service       string `json:"service" required:"true" doc:"service of the backend server"`
	Region        string `json:"region" required:"true" doc:"region of the instance"`
	FailureDomain string `json:"failureDomain" required:"true" doc:"failure domain of the instance, inside one region"`
}

// Listen holds the addresses that the node listens on.
type Listen struct {
	Calls   string `json:"calls" required:"true" doc:"address for calls from callers and the local service, ip:port"`
	Inbound string `json:"guard" required:"true" doc:"address for calls that other nodes send to this backend server, ip:port"`
	Peer    string `json:"peer" required:"true" doc:"address of the inner protocol, ip:port"`
	Admin   string `json:"admin" default:"127.0.0.1:0" doc:"address of the admin API: health, metrics, status, dump, drain and quarantine, ip:port; port 0 takes a free one"`
}

// BackendServer is the backend server that the node protects.
type BackendServer struct {
	Address     string         `json:"address" required:"true" doc:"HTTP address of the backend server, ip:port"`
	Slots       int            `json:"slots" default:"18" min:"1" max:"100000" doc:"calls that the backend server runs at once"`
	Connections int            `json:"connections" default:"110" min:"1" max:"100000" doc:"maximum number of connections to the backend server"`
	ProbeEvery  jsonc.Duration `json:"probeEvery" default:"1s" min:"100ms" max:"1m" doc:"interval of the probes that check whether the backend server accepts connections"`
}

// Configuration holds the settings of the distribution of the configuration.
type Configuration struct {
	ApplyWithin jsonc.Duration `json:"applyWithin" default:"5s" min:"500ms" max:"5m" doc:"time within which a confirmed configuration must be in effect on every node that reaches the log or store; how often nodes check theirs follows from it"`
}

// Log holds the settings of the log client.
type Log struct {
	Address string `json:"address" default:"" doc:"HTTP address of the log service, ip:port; required unless platform.store is set"`
}

// Platform holds the settings of a node that runs on a platform other than the
// product's own log. They apply when Store is set; Reports and Readiness are bound
// in any case.
type Platform struct {
	Store     string `json:"store" default:"" doc:"HTTP address of the platform's store, ip:port; empty uses the log"`
	Reports   string `json:"reports" default:"" doc:"address for status reports of the backend server, ip:port"`
	Readiness string `json:"readiness" default:"" doc:"address for the platform's readiness checks, ip:port"`

	RetryBudget   float64        `json:"retryBudget" default:"0.1" min:"0" max:"1" doc:"retries and hedges as a share of calls, for every service"`
	StartSpread   jsonc.Duration `json:"startSpread" default:"1s" min:"1ms" max:"1m" doc:"jitter of a starting node's first reads of the store, so that the restart of a failure domain stays within the store's rate limits"`
	MemoryLimitMB int            `json:"memoryLimitMB" default:"0" min:"0" max:"1000000" doc:"memory limit of the process in MiB, from which the node derives the soft limit of the Go runtime and what calls may hold together; 0 sets no soft limit and bounds calls as with 512"`

	DescriptorLimit int `json:"descriptorLimit" default:"0" min:"0" max:"100000000" doc:"descriptor limit of the process, from which the node derives how many connections it accepts; 0 takes the limit of the operating system"`
}

// Peers holds the settings of the inner protocol.
type Peers struct {
	Token string   `json:"token" default:"" doc:"secret that all nodes share; empty accepts any node"`
	Seeds []string `json:"seeds" doc:"inner protocol addresses to try when the log does not answer, ip:port"`
}

// Network holds the rate of the instance's link and the costs of traffic to other
// failure domains and regions, as delays.
type Network struct {
	LinkMbps       float64        `json:"linkMbps" default:"0" min:"0" max:"1000000" doc:"rate of the instance's link in Mbit/s, within which large answers are admitted; 0 sets no limit"`
	DomainByteCost jsonc.Duration `json:"domainByteCost" default:"0s" min:"0s" max:"10s" doc:"delay that counts as much as sending 1 KB to another failure domain of the region"`
	RegionByteCost jsonc.Duration `json:"regionByteCost" default:"0s" min:"0s" max:"10s" doc:"delay that counts as much as sending 1 KB to another region"`
}

// Quotas holds the bounds within which the nodes keep the quotas of organisations.
type Quotas struct {
	Window  jsonc.Duration `json:"window" default:"5s" min:"1s" max:"1m" doc:"length of the window in which calls are counted"`
	Overage float64        `json:"overage" default:"0.1" min:"0" max:"1" doc:"part of a quota by which the calls of a window may exceed it"`
	Slack   float64        `json:"slack" default:"20" min:"0" max:"1000000" doc:"calls by which a window may exceed its quota besides that"`
}

// Logging holds the settings of the log lines.
type Logging struct {
	Level  string `json:"level" default:"info" oneof:"debug|info|warn|error" doc:"lowest level that is written"`
	Format string `json:"format" default:"text" oneof:"text|json" doc:"format of the lines"`
}

// Drain holds the settings of the graceful shutdown.
type Drain struct {
	Limit      jsonc.Duration `json:"limit" default:"0s" min:"0s" max:"24h" doc:"time limit for calls in flight; 0s sets no limit"`
	StopWithin jsonc.Duration `json:"stopWithin" default:"0s" min:"0s" max:"24h" doc:"time after which the platform ends a process that it asked to stop; calls in flight may use what is left of it; 0s sets no limit"`
}

// Rollout holds the bounds on a new version that turns out bad.
type Rollout struct {
	ExposureShare  float64        `json:"exposureShare" default:"0" min:"0" max:"1" doc:"largest share of a service's calls that a bad version may get between an order and the end of its duration; 0 ignores orders"`
	ExposureSlack  float64        `json:"exposureSlack" default:"0" min:"0" max:"1000000" doc:"calls that a bad version may get beyond that share"`
	RollbackWithin jsonc.Duration `json:"rollbackWithin" default:"5s" min:"1s" max:"1h" doc:"time within which no node may send calls to a version that was found bad"`
}

const (
	// stopReserve is the part of StopWithin that is kept for closing the servers.
	stopReserve = 200 * time.Millisecond
	// minCallLimit keeps a limit that has passed from meaning no limit.
	minCallLimit = time.Millisecond
)

// CallLimit returns the time limit for calls in flight when an amount of time has
// passed since the start of the drain; 0 sets none.
func (d Drain) CallLimit(elapsed time.Duration) time.Duration {
	limit := d.Limit.D()
	if d.StopWithin <= 0 {
		return limit
	}
	left := d.Fit(time.Duration(math.MaxInt64), elapsed)
	if limit <= 0 {
		return left
	}
	return min(limit, left)
}

// Fit shortens a step of the drain to what is left of StopWithin when an amount of
// time has passed since the start of the drain.
func (d Drain) Fit(step, elapsed time.Duration) time.Duration {
	if d.StopWithin <= 0 {
		return step
	}
	return min(step, max(d.StopWithin.D()-stopReserve-elapsed, minCallLimit))
}

// Parse decodes and validates settings. The settings may be used only when there
// are no findings.
func Parse(file string, data []byte) (Settings, finding.List) {
	var s Settings
	root, found := jsonc.Parse(file, data)
	if len(found) > 0 {
		return s, found
	}
	found = root.Decode(&s)
	found = append(found, checkAddresses(root, s)...)
	found.Sort()
	return s, found
}

// Load reads settings from a file.
func Load(file string) (Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, errors.Wrap(err, "read settings")
	}
	s, found := Parse(file, data)
	return s, found.Err()
}

func checkAddresses(root jsonc.Value, s Settings) finding.List {
	var found finding.List
	check := func(section, field, address string) {
		v, ok := root.Field(section)
		if !ok {
			return // the decoder has reported it
		}
		if v, ok = v.Field(field); !ok || v.Text() == "" {
			return
		}
		found = append(found, checkAddress(v, address)...)
	}
	check("listen", "calls", s.Listen.Calls)
	check("listen", "guard", s.Listen.Inbound)
	check("listen", "peer", s.Listen.Peer)
	check("listen", "admin", s.Listen.Admin)
	found = append(found, checkReachable(root, "guard", s.Listen.Inbound)...)
	found = append(found, checkReachable(root, "peer", s.Listen.Peer)...)
	check("backendServer", "address", s.BackendServer.Address)
	check("log", "address", s.Log.Address)
	check("platform", "store", s.Platform.Store)
	check("platform", "reports", s.Platform.Reports)
	check("platform", "readiness", s.Platform.Readiness)
	if s.Log.Address == "" && s.Platform.Store == "" {
		found = append(found, root.Finding("neither log.address nor platform.store is set", "one of them"))
	}
	if peers, ok := root.Field("peers"); ok {
		if seeds, ok := peers.Field("seeds"); ok {
			for _, v := range seeds.Items() {
				found = append(found, checkAddress(v, v.Text())...)
			}
		}
	}
	return found
}

// checkReachable rejects an unspecified address, such as 0.0.0.0: the node
// announces the address that it listens on, and other nodes cannot use that one.
func checkReachable(root jsonc.Value, field, address string) finding.List {
	host, _, err := net.SplitHostPort(address)
	if ip := net.ParseIP(host); err != nil || ip == nil || !ip.IsUnspecified() {
		return nil
	}
	listen, _ := root.Field("listen")
	v, _ := listen.Field(field)
	return finding.List{v.Finding("other nodes cannot reach this address", "the instance's own ip:port")}
}

// checkAddress requires an IP address and a port, since instances have no name
// service.
func checkAddress(v jsonc.Value, address string) finding.List {
	host, port, err := net.SplitHostPort(address)
	if err != nil || net.ParseIP(host) == nil {
		return finding.List{v.Finding("not an address", "ip:port, such as 10.0.0.7:7000")}
	}
	if _, err := net.LookupPort("tcp", port); err != nil {
		return finding.List{v.Finding("not a port", "0 to 65535")}
	}
	return nil
}
