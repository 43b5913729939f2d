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
	MetricPositionEpoch  = "position_era"
	MetricPositionOffset = "position_offset"
	MetricRoutes         = "routes"
	MetricRoutesHeldBack = "routes_held_back"
	MetricMembers        = "members"
	MetricReady          = "ready"
	MetricDraining       = "draining"
	MetricCalls          = "calls"
	MetricCallSeconds    = "call_seconds"
	MetricBackendUp      = "backend_up"
	MetricSlots          = "slots"
	MetricSlotsBusy      = "slots_busy"
	MetricQueue          = "queue"
	MetricQuarantine     = "quarantine_entries"
	MetricPeerBytesIn    = "peer_bytes_in"
	MetricPeerBytesOut   = "peer_bytes_out"
	MetricBatchers       = "claim_batchers"
)

// Catalog lists every metric of a node.
var Catalog = []Metric{
	{MetricGeneration, "gauge", "number", "generation of routes that calls use"},
	{MetricPositionEpoch, "gauge", "number", "era of the configuration in force"},
	{MetricPositionOffset, "gauge", "offset", "log offset of the configuration in force"},
	{MetricRoutes, "gauge", "routes", "routes in force"},
	{MetricRoutesHeldBack, "gauge", "routes", "routes whose service has no backend server here"},
	{MetricMembers, "gauge", "nodes", "nodes that new calls may be sent to"},
	{MetricReady, "gauge", "0 or 1", "whether the node serves"},
	{MetricDraining, "gauge", "0 or 1", "whether the node is leaving"},
	{MetricCalls, "counter", "calls", "calls that ended; tags side (front, guard), route (the first 32 by id, then other; none), outcome (ran, not_run, unknown, cut) and reason"},
	{MetricCallSeconds, "histogram", "seconds", "time of calls from the request's header to the end of the answer; tag side, route"},
	{MetricBackendUp, "gauge", "0 or 1", "whether the backend server took a connection at the last probe"},
	{MetricSlots, "gauge", "slots", "calls that the backend server may run at once now"},
	{MetricSlotsBusy, "gauge", "slots", "calls that the backend server runs"},
	{MetricQueue, "gauge", "calls", "calls that wait for a slot of the backend server"},
	{MetricQuarantine, "gauge", "requests", "requests under suspicion or in quarantine"},
	{MetricPeerBytesIn, "gauge", "bytes", "bytes received on the inner protocol since the start"},
	{MetricPeerBytesOut, "gauge", "bytes", "bytes sent on the inner protocol since the start"},
	{MetricBatchers, "gauge", "partitions", "partitions of claims that this node batches"},
}

// Events lists every log event at level info and above.
var Events = []Event{
	{"node_started", "info", "the node listens; fields id, calls, admin"},
	{"generation_installed", "info", "a new generation is in force; fields generation, position, routes, held_back"},
	{"generation_refused", "error", "a generation failed its checks and was dropped whole; the old one stays"},
	{"log_read_failed", "warn", "the platform's log did not answer; the node goes on with what it has"},
	{"log_range", "warn", "the offset asked for is not in the log: expired, or another log"},
	{"log_lost", "warn", "the log does not hold the last record folded; a new era follows unless the log has a newer checkpoint"},
	{"era_opened", "warn", "this node wrote the configuration into a log that was lost"},
	{"checkpoint_failed", "warn", "a checkpoint could not be written; another try follows"},
	{"record_needs_newer_build", "error", "a record has a newer schema than this build; the node keeps its state until it is upgraded"},
	{"state_unreadable", "warn", "a neighbour sent a state that could not be read"},
	{"ready", "info", "the node holds a state as new as the log or its peers and serves; field position"},
	{"announcements_unread", "warn", "a starting node could not read stream members; it asks the seeds"},
	{"suspected", "info", "a neighbour does not answer on an old or a new connection; fields member, by"},
	{"probe_failed", "info", "a new connection to a silent neighbour failed"},
	{"member_dead", "warn", "a member was given up after two suspicions, or one that stood for 10 s"},
	{"announcement_unreadable", "warn", "a record of stream members could not be read"},
	{"announce_failed", "warn", "the node could not write its entry to the log; it tries again"},
	{"news_unsent", "error", "quarantine entries could not be encoded; they still travel with answers"},
	{"news_unreadable", "warn", "a neighbour sent quarantine entries that could not be read"},
	{"backend_down", "warn", "the backend server refuses connections; calls go to others"},
	{"backend_up", "info", "the backend server takes connections again and starts cold"},
	{"outcomes_not_flushed", "warn", "outcomes of keyed calls could not be written before the end; repeats are told unknown"},
	{"source_unread", "warn", "a starting node could not read the platform's store; it asks its peers"},
	{"http_library", "info", "a line of the HTTP library, such as bytes that a backend server sent unasked"},
	{"source_lost", "warn", "the platform's store does not answer; configurations come from neighbours"},
	{"source_regained", "info", "the platform's store answers again; field failures counts the reads that failed"},
	{"state_incomplete", "warn", "a neighbour left documents out of a state that the node does not hold; it asks for the whole"},
	{"state_refused", "error", "a whole configuration could not be read and was refused whole; the old one stays"},
	{"directory_read_failed", "warn", "announcements of nodes could not be read; the first failure of a row"},
	{"server_state", "info", "the backend server reported a start, a change of its slots, or that it leaves"},
	{"server_report_refused", "warn", "a status report is unreadable, old, or of another backend server; it changes nothing"},
	{"log_lines_dropped", "warn", "lines left out since the last one, beyond the bound on the log; field lines"},
	{"call_refused", "info", "a call was refused as not run; fields call, route, service, reason, retry_after_ms, tries, refusals, elapsed_ms"},
	{"call_failed", "warn", "a call ended without an answer of a backend server and may have run; fields as for call_refused"},
	{"call_abandoned", "info", "the caller left before its call was answered; fields as for call_refused"},
	{"call_cut", "warn", "an answer could not be passed on whole; fields as for call_refused"},
	{"call_turned_away", "info", "the node beside a backend server did not pass a call to it; fields call, route, reason, in_use, queued, slots, wait_ms, left_ms, patience_ms"},
	{"attempt_failed", "info", "a sending of a call failed or was refused; fields call, server, reason, outcome, elapsed_ms, again"},
	{"settings_reloaded", "info", "the settings file changed; fields sections names what differs, applied whether the node acts on it before its next start"},
	{"settings_refused", "warn", "the changed settings file has findings; the node keeps the settings that it has"},
	{"drain_started", "info", "the node takes no new work"},
	{"drain_cut", "warn", "the drain limit ended calls in flight"},
	{"drain_ended", "info", "every call in flight has ended"},
}
