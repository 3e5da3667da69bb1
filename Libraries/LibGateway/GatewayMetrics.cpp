#include <LibGateway/GatewayMetrics.h>

#include <prometheus/text_serializer.h>

namespace Gateway {

namespace {

prometheus::Histogram::BucketBoundaries const latency_buckets { 0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.2,
    2, 4, 8, 16 };

prometheus::Histogram::BucketBoundaries const suspension_buckets { 0.3, 1, 3, 8, 60, 600 };

prometheus::Family<prometheus::Counter>& counters(prometheus::Registry& registry, char const* name, char const* help)
{
    return prometheus::BuildCounter().Name(name).Help(help).Register(registry);
}

prometheus::Family<prometheus::Histogram>& histograms(
    prometheus::Registry& registry, char const* name, char const* help)
{
    return prometheus::BuildHistogram().Name(name).Help(help).Register(registry);
}

prometheus::Gauge& gauge(prometheus::Registry& registry, char const* name, char const* help)
{
    return prometheus::BuildGauge().Name(name).Help(help).Register(registry).Add({});
}

}

GatewayMetrics::GatewayMetrics()
    : registry(std::make_shared<prometheus::Registry>())
    , requests(counters(*this->registry, "cleatbeam_requests_total", "Requests by route and final status"))
    , refusals(counters(*this->registry, "cleatbeam_refusals_total", "Requests refused by this box, by reason"))
    , retries(counters(*this->registry, "cleatbeam_retries_total", "Retries at another endpoint, by reason"))
    , attempts(counters(*this->registry, "cleatbeam_attempts_total", "Attempts at endpoints, by result"))
    , endpoint_connections(
          counters(*this->registry, "cleatbeam_endpoint_connections_total", "New connections to endpoints").Add({}))
    , broken_connections(counters(*this->registry, "cleatbeam_broken_connections_total",
          "Connections that endpoints broke during a request, by the result of connecting again"))
    , store_calls(counters(*this->registry, "cleatbeam_store_calls_total", "Calls to the platform's store"))
    , store_bytes(
          counters(*this->registry, "cleatbeam_store_bytes_total", "Bytes received from the platform's store").Add({}))
    , store_restorations(counters(
          *this->registry, "cleatbeam_store_restorations_total", "Restorations of the platform's store from a copy")
                             .Add({}))
    , leads(gauge(*this->registry, "cleatbeam_leads", "1 on the leader, 0 on all other boxes"))
    , usage_reports(counters(*this->registry, "cleatbeam_usage_reports_total", "Usage reports by outcome"))
    , server_orders(counters(*this->registry, "cleatbeam_server_orders_total", "Orders of servers by outcome"))
    , servers(prometheus::BuildGauge()
                  .Name("cleatbeam_servers")
                  .Help("Servers that accept requests, by service, failure domain and kind, as the leader sees them")
                  .Register(*this->registry))
    , relay_questions(counters(*this->registry, "cleatbeam_relay_questions_total", "Requests to a relay, by outcome"))
    , relay_answers(
          counters(*this->registry, "cleatbeam_relay_answers_total", "Requests of other boxes answered as their relay")
              .Add({}))
    , load_reports(counters(
          *this->registry, "cleatbeam_load_reports_total", "Load reports between boxes, by what happened to them"))
    , crash_reports(counters(*this->registry, "cleatbeam_crash_reports_total",
          "Reports of requests that crash endpoints, by origin or end"))
    , bad_records(counters(*this->registry, "cleatbeam_bad_records_total", "Records that could not be read"))
    , late_records(counters(*this->registry, "cleatbeam_late_endpoint_records_total",
          "Records of endpoints that the platform's store wrote after newer ones, ignored")
                       .Add({}))
    , first_byte_seconds(
          histograms(*this->registry, "cleatbeam_first_byte_seconds", "From a request's arrival to its first byte"))
    , answer_seconds(histograms(*this->registry, "cleatbeam_answer_seconds", "From a request's arrival to its end"))
    , suspension_seconds(histograms(*this->registry, "cleatbeam_suspension_seconds", "Suspensions of this box")
                             .Add({}, suspension_buckets))
    , configuration_version(
          gauge(*this->registry, "cleatbeam_configuration_version", "Version of the configuration in force"))
    , configuration_age_seconds(gauge(*this->registry, "cleatbeam_configuration_age_seconds",
          "Time since the store confirmed that no newer configuration exists"))
    , endpoints(gauge(*this->registry, "cleatbeam_endpoints", "Endpoints listed in the store"))
    , boxes(gauge(*this->registry, "cleatbeam_boxes", "Boxes listed in the store, including this one"))
    , refused_requests(
          gauge(*this->registry, "cleatbeam_refused_requests", "Requests refused because they crash endpoints"))
    , limited_endpoints(gauge(
          *this->registry, "cleatbeam_limited_endpoints", "Endpoints that report a rate limit for all boxes together"))
    , slow_endpoints(gauge(*this->registry, "cleatbeam_slow_endpoints",
          "Endpoints where work takes more than 1.25 times their service's usual time"))
    , is_cut_off(gauge(*this->registry, "cleatbeam_endpoints_unreachable", "1 while this box reaches no endpoint"))
    , forwarded_requests(counters(*this->registry, "cleatbeam_forwarded_requests_total",
          "Requests forwarded to another box while this one was cut off from the endpoints, by result"))
    , requests_from_boxes(counters(
          *this->registry, "cleatbeam_requests_from_boxes_total", "Requests that other boxes forwarded to this one")
                              .Add({}))
    , clients_turned_away(counters(
          *this->registry, "cleatbeam_clients_turned_away_total", "Connections of clients that were reset unread")
                              .Add({}))
    , answer_excesses(counters(*this->registry, "cleatbeam_answer_excesses_total",
          "Answers of endpoints and boxes with more bytes than allowed, by the part that exceeded its limit"))
    , held_answer_bytes(gauge(*this->registry, "cleatbeam_held_answer_bytes", "Bytes of answers held for slow clients"))
    , connection_bytes(gauge(*this->registry, "cleatbeam_connection_bytes",
          "Bytes of heads, bodies, answers and unread input of all connections from outside"))
    , evicted_connections(gauge(
          *this->registry, "cleatbeam_connections_evicted", "Connections that gave way to others since the start"))
    , requests_without_memory(gauge(*this->registry, "cleatbeam_requests_without_memory",
          "Requests refused since the start because there was no memory to receive them"))
    , answers_at_limit(counters(*this->registry, "cleatbeam_answers_at_limit_total",
          "Answers not read on for a while because their clients are slow, by limit"))
{
}

void GatewayMetrics::count_request(std::string const& route, unsigned status)
{
    this->requests.Add({ { "route", route }, { "status", std::to_string(status) } }).Increment();
}

void GatewayMetrics::count_refusal(Core::Reason reason)
{
    this->refusals.Add({ { "reason", std::string(Core::to_string(reason)) } }).Increment();
}

void GatewayMetrics::count_retry(Core::Reason reason)
{
    this->retries.Add({ { "reason", std::string(Core::to_string(reason)) } }).Increment();
}

void GatewayMetrics::count_attempt(std::string_view result)
{
    this->attempts.Add({ { "result", std::string(result) } }).Increment();
}

void GatewayMetrics::count_endpoint_connection()
{
    this->endpoint_connections.Increment();
}

void GatewayMetrics::count_broken_connection(std::string_view check_result)
{
    this->broken_connections.Add({ { "endpoint_now", std::string(check_result) } }).Increment();
}

void GatewayMetrics::count_store_call(std::string_view what, std::string_view outcome)
{
    this->store_calls.Add({ { "for", std::string(what) }, { "outcome", std::string(outcome) } }).Increment();
}

void GatewayMetrics::set_is_leader(bool is_leader)
{
    this->leads.Set(is_leader ? 1 : 0);
}

void GatewayMetrics::count_usage_report(std::string_view outcome)
{
    this->usage_reports.Add({ { "outcome", std::string(outcome) } }).Increment();
}

void GatewayMetrics::count_server_order(std::string_view outcome)
{
    this->server_orders.Add({ { "outcome", std::string(outcome) } }).Increment();
}

void GatewayMetrics::set_servers(
    std::string const& service, std::string const& domain, std::string const& kind, unsigned count)
{
    this->servers.Add({ { "service", service }, { "failure_domain", domain }, { "kind", kind } }).Set(count);
}

void GatewayMetrics::count_store_restored()
{
    this->store_restorations.Increment();
}

void GatewayMetrics::count_store_bytes(std::size_t bytes)
{
    this->store_bytes.Increment(static_cast<double>(bytes));
}

void GatewayMetrics::count_relay_question(std::string_view outcome)
{
    this->relay_questions.Add({ { "outcome", std::string(outcome) } }).Increment();
}

void GatewayMetrics::count_relay_answer()
{
    this->relay_answers.Increment();
}

void GatewayMetrics::count_load_reports(std::string_view what, std::size_t count)
{
    this->load_reports.Add({ { "what", std::string(what) } }).Increment(static_cast<double>(count));
}

void GatewayMetrics::count_crash_report(std::string_view what)
{
    this->crash_reports.Add({ { "what", std::string(what) } }).Increment();
}

void GatewayMetrics::count_answer_excess(std::string_view part)
{
    this->answer_excesses.Add({ { "part", std::string(part) } }).Increment();
}

void GatewayMetrics::count_late_record()
{
    this->late_records.Increment();
}

void GatewayMetrics::count_bad_record(std::string_view kind)
{
    this->bad_records.Add({ { "kind", std::string(kind) } }).Increment();
}

void GatewayMetrics::observe_first_byte(std::string const& route, Core::Duration taken)
{
    this->first_byte_seconds.Add({ { "route", route } }, latency_buckets).Observe(Core::to_seconds(taken));
}

void GatewayMetrics::observe_answer(std::string const& route, Core::Duration taken)
{
    this->answer_seconds.Add({ { "route", route } }, latency_buckets).Observe(Core::to_seconds(taken));
}

void GatewayMetrics::observe_suspension(Core::Duration length)
{
    this->suspension_seconds.Observe(Core::to_seconds(length));
}

void GatewayMetrics::set_configuration(std::uint64_t version, Core::Duration age)
{
    this->configuration_version.Set(static_cast<double>(version));
    this->configuration_age_seconds.Set(Core::to_seconds(age));
}

void GatewayMetrics::set_endpoints(std::size_t count)
{
    this->endpoints.Set(static_cast<double>(count));
}

void GatewayMetrics::count_forwarded_request(std::string_view result)
{
    this->forwarded_requests.Add({ { "result", std::string(result) } }).Increment();
}

void GatewayMetrics::count_client_turned_away()
{
    this->clients_turned_away.Increment();
}

void GatewayMetrics::set_held_answer_bytes(std::size_t bytes)
{
    this->held_answer_bytes.Set(static_cast<double>(bytes));
}

void GatewayMetrics::set_connection_memory(std::size_t bytes, Http::BudgetCounts const& counts)
{
    this->connection_bytes.Set(static_cast<double>(bytes));
    this->evicted_connections.Set(static_cast<double>(counts.evicted));
    this->requests_without_memory.Set(static_cast<double>(counts.refused));
}

void GatewayMetrics::count_answer_at_limit(std::string_view limit)
{
    this->answers_at_limit.Add({ { "limit", std::string(limit) } }).Increment();
}

void GatewayMetrics::count_request_from_box()
{
    this->requests_from_boxes.Increment();
}

void GatewayMetrics::set_is_cut_off(bool is_cut_off)
{
    this->is_cut_off.Set(is_cut_off ? 1 : 0);
}

void GatewayMetrics::set_limited_endpoints(std::size_t count)
{
    this->limited_endpoints.Set(static_cast<double>(count));
}

void GatewayMetrics::set_slow_endpoints(std::size_t count)
{
    this->slow_endpoints.Set(static_cast<double>(count));
}

void GatewayMetrics::set_refused_requests(std::size_t count)
{
    this->refused_requests.Set(static_cast<double>(count));
}

void GatewayMetrics::set_boxes(std::size_t count)
{
    this->boxes.Set(static_cast<double>(count));
}

std::string GatewayMetrics::to_text() const
{
    return prometheus::TextSerializer().Serialize(this->registry->Collect());
}

}
