#pragma once

#include <LibCore/Reason.h>
#include <LibCore/Time.h>

#include <memory>
#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <string>

namespace Gateway {

/// Counters, gauges and histograms of the platform front. Safe to use from several threads.
class GatewayMetrics {
public:
    GatewayMetrics();

    /// A request got its last answer. `status` is 0 where the client left or the connection broke.
    void count_request(std::string const& route, unsigned status);
    void count_refusal(Core::Reason reason);
    void count_retry(Core::Reason reason);
    void count_attempt(std::string_view result);
    void count_endpoint_connection();
    /// An endpoint broke a connection that carried a request; `finding` is what a new one to it showed.
    void count_broken_connection(std::string_view check_result);
    /// `what` is the topic it was for: "operator", "endpoints" or "boxes".
    void count_store_call(std::string_view what, std::string_view outcome);
    /// The store came back from a copy that lacks what was written last.
    void count_store_restored();
    /// Whether this box leads.
    void set_is_leader(bool leads);
    /// Usage reports to the platform: "taken", "refused", "no-answer", or "missed" where a window's time was over.
    void count_usage_report(std::string_view outcome);
    /// Orders of servers: "accepted", "refused" or "no-answer".
    void count_server_order(std::string_view outcome);
    /// Servers that take requests, as the leader sees them.
    void set_servers(std::string const& service, std::string const& domain, std::string const& kind, unsigned count);
    /// What came from the store, also of answers that were cut off.
    void count_store_bytes(std::size_t bytes);
    /// This box asked a relay: "answered", "old" for an answer that is not recent enough, or "failed".
    void count_relay_question(std::string_view outcome);
    /// Another box asked this one.
    void count_relay_answer();
    /// Load reports between boxes: "told", "heard", "overtaken" by a newer one, or "unreadable".
    void count_load_reports(std::string_view what, std::size_t count);
    /// Requests under which endpoints crashed: "noted" here, "heard" from another box, "read" from the store, "cleared"
    /// by a run that ended well, "taken-back" since the endpoint answers.
    void count_crash_report(std::string_view what);
    void count_bad_record(std::string_view kind);
    void observe_first_byte(std::string const& route, Core::Duration taken);
    void observe_answer(std::string const& route, Core::Duration taken);
    void observe_suspension(Core::Duration length);
    void set_configuration(std::uint64_t version, Core::Duration age);
    void set_endpoints(std::size_t count);
    /// Requests that are refused since endpoints crashed under them.
    void set_refused_requests(std::size_t count);
    /// Endpoints that have named a rate limit.
    void set_limited_endpoints(std::size_t count);
    /// Boxes that the store lists, this one among them.
    void set_boxes(std::size_t count);

    /// The text form that scrapers read.
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
    prometheus::Family<prometheus::Histogram>& first_byte_seconds;
    prometheus::Family<prometheus::Histogram>& answer_seconds;
    prometheus::Histogram& suspension_seconds;
    prometheus::Gauge& configuration_version;
    prometheus::Gauge& configuration_age_seconds;
    prometheus::Gauge& endpoints;
    prometheus::Gauge& boxes;
    prometheus::Gauge& refused_requests;
    prometheus::Gauge& limited_endpoints;
};

}
