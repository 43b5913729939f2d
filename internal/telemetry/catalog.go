package telemetry

// Metric describes one metric. Name does not include the prefix goldcrest_.
type Metric struct {
	Name string
	Kind string // counter, gauge or histogram
	Unit string
	Help string
}

// Event describes one kind of log line. Name is its message and does not change.
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
	MetricConfigAge      = "config_age_seconds"
	MetricRoutes         = "routes"
	MetricRoutesHeldBack = "routes_held_back"
	MetricOrganisations  = "organisations"
	MetricIdentified     = "calls_identified"
	MetricMembers        = "members"
	MetricReady          = "ready"
	MetricDraining       = "draining"
	MetricCalls          = "calls"
	MetricCallSeconds    = "call_seconds"
	MetricBackendUp      = "backend_up"
	MetricSlots          = "slots"
	MetricSlotsBusy      = "slots_busy"
	MetricServerLimit    = "server_limit"
	MetricQueue          = "queue"
	MetricBodiesWaiting  = "bodies_waiting"
	MetricBodyBytes      = "body_bytes"
	MetricQuarantine     = "quarantine_entries"
	MetricPeerBytesIn    = "peer_bytes_in"
	MetricPeerBytesOut   = "peer_bytes_out"
	MetricBatchers       = "claim_batchers"
	MetricQuotaCalls     = "quota_calls"
	MetricRefusedEntries = "member_entries_refused"
	MetricRefusedConfigs = "configurations_refused"
	MetricCallerConns    = "caller_connections"
	MetricInboundConns   = "inbound_connections"
	MetricHeldBytes      = "held_bytes"
	MetricTurnedAway     = "turned_away"
	MetricHeldBack       = "held_back"

	MetricRolloutsActive     = "rollouts_active"
	MetricRolloutsCompleted  = "rollouts_completed"
	MetricRolloutsRolledBack = "rollouts_rolled_back"
	MetricRolloutRefusals    = "rollout_refusals"
	MetricStoreEra           = "store_era"
	MetricStoreRestores      = "store_restores"
)

// MetricCatalog lists every metric of a node.
var MetricCatalog = []Metric{
	{MetricGeneration, "gauge", "number", "sequence number of the configuration snapshot that calls use"},
	{MetricPositionEpoch, "gauge", "number", "epoch of the configuration in force"},
	{MetricPositionOffset, "gauge", "offset", "log offset of the configuration in force"},
	{MetricConfigAge, "gauge", "seconds", "time since the node last knew that its configuration was the newest one of the log or store; -1 if it never knew"},
	{MetricRoutes, "gauge", "routes", "routes in force"},
	{MetricRoutesHeldBack, "gauge", "routes", "routes whose service has no backend server here"},
	{MetricOrganisations, "gauge", "organisations", "organisations in force; 0 where calls need no key"},
	{MetricIdentified, "counter", "calls", "calls by what their key led to, counted where there are organisations; tag key (known: an organisation holds it; unknown: none does, refused; missing: no key on a route that is not public, refused; public: no key on a public route)"},
	{MetricMembers, "gauge", "nodes", "nodes that new calls may be sent to"},
	{MetricReady, "gauge", "0 or 1", "whether the node accepts calls"},
	{MetricDraining, "gauge", "0 or 1", "whether the node is draining"},
	{MetricCalls, "counter", "calls", "calls that ended; tags side (front, guard), route (id of the first 32 routes that were called, other for the rest, none without a route), outcome (ran, not_run, unknown, cut) and reason"},
	{MetricCallSeconds, "histogram", "seconds", "duration of calls from the request's header to the end of the answer; tags side and route"},
	{MetricBackendUp, "gauge", "0 or 1", "0 if the backend server refused the connection of the last probe"},
	{MetricSlots, "gauge", "slots", "calls that the backend server may run at once now"},
	{MetricSlotsBusy, "gauge", "slots", "calls that the backend server runs"},
	{MetricServerLimit, "gauge", "calls/s", "calls a second that the backend server takes from all nodes by its own word; 0 if it names no limit"},
	{MetricQueue, "gauge", "calls", "calls that wait for a slot of the backend server"},
	{MetricBodiesWaiting, "gauge", "bodies", "large bodies of calls that wait to be received over the instance's link"},
	{MetricBodyBytes, "gauge", "bytes", "bytes of large bodies that are being received, or kept until their call ends"},
	{MetricQuarantine, "gauge", "requests", "requests under suspicion or in quarantine"},
	{MetricPeerBytesIn, "gauge", "bytes", "bytes received on the inner protocol since the start"},
	{MetricPeerBytesOut, "gauge", "bytes", "bytes sent on the inner protocol since the start"},
	{MetricBatchers, "gauge", "partitions", "partitions whose claims this node batches"},
	{MetricQuotaCalls, "counter", "calls", "decisions on calls of organisations with a quota, at the node that they entered; tags organisation (the first 100 that called, other for the rest) and decision (allowed, refused)"},
	{MetricRefusedEntries, "gauge", "entries", "member entries refused as malformed since the start"},
	{MetricRolloutsActive, "gauge", "orders", "orders for rollouts that this node knows of and whose end is not recorded"},
	{MetricRolloutsCompleted, "gauge", "orders", "orders that this node recorded as completed since the start"},
	{MetricRolloutsRolledBack, "gauge", "orders", "orders that this node recorded as rolled back since the start"},
	{MetricRolloutRefusals, "gauge", "calls", "calls that the inbound proxy refused since the start because the version of its backend server gets no more calls for now"},
	{MetricRefusedConfigs, "gauge", "configurations", "configurations of the platform's store that this node read and could not use since the start; it keeps the one before until the next one"},
	{MetricCallerConns, "gauge", "connections", "open connections of callers"},
	{MetricInboundConns, "gauge", "connections", "open connections of other nodes for calls"},
	{MetricHeldBytes, "gauge", "bytes", "estimated memory that long heads, bodies and pipelined calls hold on both hops"},
	{MetricTurnedAway, "gauge", "requests and connections", "heads refused as too long or for want of memory, connections closed for new ones, and new connections closed at the limit, since the start"},
	{MetricHeldBack, "gauge", "calls", "pipelined calls that waited for their turn for want of memory, since the start"},
	{MetricStoreEra, "gauge", "number", "era of the platform's store, which rises when the store comes back from a copy; 0 if it names none"},
	{MetricStoreRestores, "gauge", "restores", "how often the node saw the platform's store come back from a copy since the start"},
}

// EventCatalog lists every log event at level info and above.
var EventCatalog = []Event{
	{"node_started", "info", "the node accepts connections; fields id, calls, admin"},
	{"generation_installed", "info", "a new configuration snapshot is in use; fields generation, position, routes, held_back"},
	{"generation_refused", "error", "a new configuration snapshot failed validation; the old one stays in use"},
	{"log_read_failed", "warn", "the platform's log did not answer; the node keeps its configuration"},
	{"log_range", "warn", "the requested offset is not in the log: its records expired, or the log was replaced"},
	{"log_lost", "warn", "the log does not hold the last applied record; a new epoch follows unless the log has a newer checkpoint"},
	{"era_opened", "warn", "this node started a new epoch: it wrote its configuration to a log that had lost its records"},
	{"checkpoint_failed", "warn", "a checkpoint could not be written; the node retries"},
	{"record_needs_newer_build", "error", "a record has a newer schema than this build supports; the node keeps its configuration until it is upgraded"},
	{"state_unreadable", "warn", "another node sent a state that could not be decoded"},
	{"ready", "info", "the node has a configuration as new as that of the log or its peers and accepts calls; field position"},
	{"announcements_unread", "warn", "a starting node could not read the announcements of nodes; it asks the seeds if it knows no other node"},
	{"suspected", "info", "a neighbour does not answer on its existing or on a new connection; field node"},
	{"probe_failed", "info", "a connection attempt to a neighbour without heartbeats failed"},
	{"isolated", "warn", "the node reaches no linked node; it reads the configuration itself and declares nodes dead later; field linked"},
	{"isolation_ended", "info", "the node reaches another node again; field restored counts the members that it had declared dead meanwhile"},
	{"member_refused", "warn", "a member entry is malformed, for example a port out of range or a start far in the future; the node ignores it; fields node, from"},
	{"member_dead", "warn", "a member was declared dead: two nodes suspected it, or one for 10 s or as one of fewer than three neighbours; field node"},
	{"announcement_unreadable", "warn", "records among the announcements of nodes could not be decoded and were skipped"},
	{"announce_failed", "warn", "an announcement of the node's entry failed; periodic announcements are retried"},
	{"news_unsent", "error", "quarantine entries could not be encoded; other nodes get them only from the headers of answers"},
	{"news_unreadable", "warn", "a neighbour sent quarantine entries that could not be decoded"},
	{"backend_down", "warn", "the backend server refuses connections; calls go to other backend servers"},
	{"backend_up", "info", "the backend server accepts connections again, with a cold start"},
	{"outcomes_not_flushed", "warn", "outcomes of keyed calls could not be written before the shutdown; repeats of these calls get outcome unknown"},
	{"source_unread", "warn", "a starting node could not read the platform's store; it tries its peers and the store again"},
	{"http_library", "info", "a message of the HTTP library, for example about bytes from a backend server without a request"},
	{"self_entry_unread", "warn", "a starting node could read neither the announcements nor another node's member table; its backend server's reports count as they come"},
	{"source_lost", "warn", "a read of the platform's store failed; logged for the first of consecutive failures"},
	{"source_regained", "info", "the platform's store answers again; field failures counts the reads that failed"},
	{"readers_silent", "warn", "nothing has shown for some time that the node's configuration is the newest one; the node reads the log or store itself until it hears from a reader again; field config_age_ms"},
	{"store_era_changed", "warn", "the platform's store came back from a copy and may lack what was written last; the node reads its streams anew from the newest records, tells its linked nodes and announces itself again within announce_within_ms, readers also write departures of servers again; the configuration in force stays; fields old, new, position, reader, announce_within_ms"},
	{"readers_regained", "info", "another node has shown again that the configuration is the newest one"},
	{"freshness_check_failed", "warn", "a read that checks whether the configuration is the newest one failed; logged for the first of consecutive failures"},
	{"state_incomplete", "warn", "a neighbour sent a state without documents that the node does not have; it requests the full state"},
	{"state_refused", "error", "a configuration could not be used; the one before stays in use until the next one"},
	{"directory_read_failed", "warn", "announcements of nodes could not be read; logged for the first of consecutive failures"},
	{"server_state", "info", "the backend server reported a start, a change of its slots, or its shutdown"},
	{"server_limit", "info", "the backend server names a limit on its calls in its answers, another one, or none any more; fields named, calls_per_second"},
	{"server_report_refused", "warn", "a status report is malformed, out of date, or from another backend server; the node ignores it"},
	{"log_lines_dropped", "warn", "log lines were dropped because of the rate limit or a full queue; field lines is their number"},
	{"call_refused", "info", "a call did not run; fields call, route, reason, retry_after_ms, organisation if it is known, for an unknown key key_fingerprint (first 8 digits of its hash), for a missing route or an unknown key config_age_ms, and, once its service is chosen and has a backend server, service, tries, refusals, elapsed_ms"},
	{"call_failed", "warn", "a call ended without an answer of a backend server and may have run; fields as for call_refused"},
	{"call_abandoned", "info", "the caller disconnected before its call was answered; fields as for call_refused"},
	{"call_cut", "warn", "an answer could not be forwarded completely; fields call, route, service, tries, refusals, elapsed_ms, error"},
	{"call_turned_away", "info", "the inbound proxy answered a call with a failure of its own; fields call, route, organisation, reason, outcome, in_use, queued, slots, limit, wait_ms, left_ms, patience_ms"},
	{"attempt_failed", "info", "an attempt of a call failed or was refused; fields call, server, reason, outcome, elapsed_ms, rule, verdict"},
	{"connections_turned_away", "warn", "callers or nodes exceed what the node holds for all together, at most one line per hop in 10 s; fields hop, since_last, and since the start long_heads, refused_heads, closed_conns, refused_conns; field conns"},
	{"settings_reloaded", "info", "the settings file changed; field sections names the changed ones, field applied says whether only the level of log lines changed, which takes effect without a restart"},
	{"settings_refused", "warn", "the changed settings file cannot be read or is invalid; the node keeps its settings"},
	{"rollout_order_refused", "warn", "an order for a rollout is malformed; the node ignores it; fields service, number, from"},
	{"rollout_state", "info", "the node learned of an order, or of another phase of one; fields service, number, target, phase, recorded, term, share"},
	{"rollout_coordinated", "info", "this node coordinates an order; fields service, number, target, duration_ms, term, elapsed_ms, exposed"},
	{"rollout_coordination_ended", "info", "this node coordinates an order no longer; field error is empty if its end was recorded"},
	{"rollout_decided", "info", "the coordinator changed the phase of an order; fields service, number, target, phase, elapsed_ms, reason, route, busy, answers, bad, expected_share, exposed, allowed, seen, calls_per_second, servers, target_answers"},
	{"rollout_recorded", "info", "the operator's record holds the end of an order, from this coordinator or another one; fields service, number, target, phase, elapsed_ms"},
	{"rollout_record_restored", "info", "this node wrote an order's end again, which a restored store had lost; fields service, number, target, phase"},
	{"rollout_record_failed", "warn", "the end of an order could not be recorded; the coordinator tries again; fields service, number, phase"},
	{"rollout_record_unreadable", "warn", "a record of an order in the platform's store could not be decoded; it counts as absent; field service"},
	{"rollout_states_unreadable", "warn", "another node sent states of rollouts that could not be decoded"},
	{"quota_limit_began", "info", "calls of an organisation are limited on this node: its nodes ask for more than its quota; fields organisation, fraction of the calls that is admitted, rate, burst"},
	{"quota_limit_ended", "info", "an organisation was within its quota for 5 s; fields organisation, seconds, refused on this node"},
	{"quota_domain_unreached", "warn", "this node counts calls of organisations for its failure domain and does not reach the node that does so for another one; that domain's part of each quota is left to it; fields domain, share of the quotas that is left"},
	{"quota_domain_reached", "info", "the node that counts for a failure domain answers again; fields domain, share"},
	{"drain_started", "info", "the node starts to drain; field limit is the longest wait for calls in flight"},
	{"drain_cut", "warn", "calls in flight were cut at the drain limit"},
	{"drain_ended", "info", "the drain has ended: every call in flight has ended or was cut"},
}
