package telemetry

// Metric describes one metric. Names stand without the prefix goldcrest_.
type Metric struct {
	Name string
	Kind string // counter, gauge or histogram
	Unit string
	Help string
}

// Event describes one log line by its stable message.
type Event struct {
	Name  string
	Level string
	Help  string
}

// Names of metrics.
const (
	MetricGeneration     = "generation"
	MetricPositionEra    = "position_era"
	MetricPositionOffset = "position_offset"
	MetricRoutes         = "routes"
	MetricRoutesHeld     = "routes_held_back"
	MetricMembers        = "members"
	MetricReady          = "ready"
	MetricDraining       = "draining"
)

// Catalog lists every metric of a node.
var Catalog = []Metric{
	{MetricGeneration, "gauge", "number", "generation of routes that calls use"},
	{MetricPositionEra, "gauge", "number", "era of the configuration in force"},
	{MetricPositionOffset, "gauge", "offset", "log offset of the configuration in force"},
	{MetricRoutes, "gauge", "routes", "routes in force"},
	{MetricRoutesHeld, "gauge", "routes", "routes whose service has no backend server here"},
	{MetricMembers, "gauge", "nodes", "nodes that new calls may be sent to"},
	{MetricReady, "gauge", "0 or 1", "whether the node serves"},
	{MetricDraining, "gauge", "0 or 1", "whether the node is leaving"},
}

// Events lists every log event at level info and above.
var Events = []Event{
	{"node_started", "info", "the node listens; fields node, calls, admin"},
	{"generation_installed", "info", "a new generation is in force; fields generation, position, routes, held_back"},
	{"generation_refused", "error", "a generation failed its checks and was dropped whole; the old one stays"},
	{"log_read_failed", "warn", "the platform's log did not answer; the node goes on with what it has"},
	{"log_range", "warn", "the offset asked for is not in the log: expired, or another log"},
	{"announcement_unreadable", "warn", "a record of stream members could not be read"},
	{"announce_failed", "warn", "the node could not write its entry to the log; it tries again"},
	{"drain_started", "info", "the node takes no new work"},
	{"drain_cut", "warn", "the drain limit ended calls in flight"},
	{"drain_ended", "info", "every call in flight has ended"},
}
