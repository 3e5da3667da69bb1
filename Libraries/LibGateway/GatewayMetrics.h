#pragma once

#include <LibCore/Reason.h>
#include <LibCore/Time.h>
#include <LibHttp/ConnectionBudget.h>

#include <memory>
#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <string>

namespace Gateway {

/// Prometheus counters, gauges and histograms of the gateway. Thread-safe.
class GatewayMetrics {
public:
    GatewayMetrics();

    /// Counts a finished request. `status` is 0 if the client left.
    void count_request(std::string const& route, unsigned status);
    void count_refusal(Core::Reason reason);
    void count_retry(Core::Reason reason);
    void count_attempt(std::string_view result);
    void count_endpoint_connection();
    /// Counts a connection that an endpoint broke during a request. `check_result` is the result of connecting again.
    void count_broken_connection(std::string_view check_result);
    /// `what` is the topic of the call: "operator", "endpoints" or "boxes".
    void count_store_call(std::string_view what, std::string_view outcome);
    /// Counts a restoration of the store from a copy that lacks the latest writes.
    void count_store_restored();
    /// Sets whether this box is the leader.
    void set_is_leader(bool leads);
    /// Counts a usage report to the platform: "taken", "refused", "no-answer", or "missed" if it was overdue.
    void count_usage_report(std::string_view outcome);
    /// Counts an order of servers: "accepted", "refused" or "no-answer".
    void count_server_order(std::string_view outcome);
    /// Sets the number of servers that accept requests, as the leader sees them.
    void set_servers(std::string const& service, std::string const& domain, std::string const& kind, unsigned count);
    /// Counts bytes received from the store, including those of incomplete answers.
    void count_store_bytes(std::size_t bytes);
    /// Counts a request to a relay: "answered", "old" if the answer was not recent enough, or "failed".
    void count_relay_question(std::string_view outcome);
    /// Counts a request of another box that this box answered as its relay.
    void count_relay_answer();
    /// Counts load reports between boxes: "told" (sent), "heard" (received), "overtaken" by a newer one, or
    /// "unreadable".
    void count_load_reports(std::string_view what, std::size_t count);
    /// Counts a report of a request that crashes endpoints: "noted" by this box, "heard" from another box, "read" from
    /// the store, "cleared" by a successful run, or "taken-back" because the endpoint still answers.
    void count_crash_report(std::string_view what);
    void count_bad_record(std::string_view kind);
    /// A record of an endpoint that the store wrote after a newer one.
    void count_late_record();
    void observe_first_byte(std::string const& route, Core::Duration taken);
    void observe_answer(std::string const& route, Core::Duration taken);
    void observe_suspension(Core::Duration length);
    void set_configuration(std::uint64_t version, Core::Duration age);
    void set_endpoints(std::size_t count);
    /// Sets the number of requests that are refused because they crash endpoints.
    void set_refused_requests(std::size_t count);
    /// Sets the number of endpoints that report a rate limit.
    void set_limited_endpoints(std::size_t count);
    /// Sets the number of endpoints where work takes clearly longer than usual in their service.
    void set_slow_endpoints(std::size_t count);
    /// Counts a request that this box forwarded to another one while it was cut off from the endpoints.
    void count_forwarded_request(std::string_view result);
    /// Counts a request that another box forwarded to this one.
    void count_request_from_box();
    void count_client_turned_away();
    /// Counts an answer whose bytes exceeded the limit of the part named.
    void count_answer_excess(std::string_view part);
    /// Sets the memory of answers that are held for slow clients, in bytes.
    void set_held_answer_bytes(std::size_t bytes);
    /// Sets the memory of all connections from outside, in bytes, and how often any of them gave way since the start.
    void set_connection_memory(std::size_t bytes, Http::BudgetCounts const& counts);
    /// Counts an answer that was not read on for a while: "answer" at its own limit, "box" at the limit of the box.
    void count_answer_at_limit(std::string_view limit);
    /// Sets whether this box is cut off from all endpoints.
    void set_is_cut_off(bool is_cut_off);
    /// Sets the number of boxes listed in the store, including this one.
    void set_boxes(std::size_t count);

    /// All metrics in the Prometheus text format.
    [[nodiscard]] std::string to_text() const;

private:
    std::shared_ptr<prometheus::Registry> registry;
    prometheus::Family<prometheus::Counter>& requests;
    prometheus::Family<prometheus::Counter>& refusals;
    prometheus::Family<prometheus::Counter>& retries;
    prometheus::Family<prometheus::Counter>& attempts;
    prometheus::Counter& endpoint_connections;
    prometheus::Family<prometheus::Counter>& broken_connections;
    prometheus::Family<prometheus::Counter>& store_calls;
    prometheus::Counter& store_bytes;
    prometheus::Counter& store_restorations;
    prometheus::Gauge& leads;
    prometheus::Family<prometheus::Counter>& usage_reports;
    prometheus::Family<prometheus::Counter>& server_orders;
    prometheus::Family<prometheus::Gauge>& servers;
    prometheus::Family<prometheus::Counter>& relay_questions;
    prometheus::Counter& relay_answers;
    prometheus::Family<prometheus::Counter>& load_reports;
    prometheus::Family<prometheus::Counter>& crash_reports;
    prometheus::Family<prometheus::Counter>& bad_records;
    prometheus::Counter& late_records;
    prometheus::Family<prometheus::Histogram>& first_byte_seconds;
    prometheus::Family<prometheus::Histogram>& answer_seconds;
    prometheus::Histogram& suspension_seconds;
    prometheus::Gauge& configuration_version;
    prometheus::Gauge& configuration_age_seconds;
    prometheus::Gauge& endpoints;
    prometheus::Gauge& boxes;
    prometheus::Gauge& refused_requests;
    prometheus::Gauge& limited_endpoints;
    prometheus::Gauge& slow_endpoints;
    prometheus::Gauge& is_cut_off;
    prometheus::Family<prometheus::Counter>& forwarded_requests;
    prometheus::Counter& requests_from_boxes;
    prometheus::Counter& clients_turned_away;
    prometheus::Family<prometheus::Counter>& answer_excesses;
    prometheus::Gauge& held_answer_bytes;
    prometheus::Gauge& connection_bytes;
    prometheus::Gauge& evicted_connections;
    prometheus::Gauge& requests_without_memory;
    prometheus::Family<prometheus::Counter>& answers_at_limit;
};

}
