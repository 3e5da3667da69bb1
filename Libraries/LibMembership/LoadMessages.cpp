#include <LibMembership/LoadMessages.h>

#include <LibMembership/Relay.pb.h>
#include <algorithm>
#include <cmath>
#include <limits>

namespace Membership {

namespace {

namespace wire = cleatbeam::membership;

/// With names of some 12 bytes these fit into one packet of 1,500 bytes.
constexpr std::size_t max_endpoints = 48;
constexpr std::size_t max_services = 8;
/// What an Ethernet packet carries of a datagram.
constexpr std::size_t max_bytes = 1472;
/// Prompt tokens in a unit of accounts' work: small enough for single requests, and most sums then fit into two bytes.
constexpr double account_work_unit = 64;

/// The endpoints with the most work, limited to `max_endpoints`, the busiest first.
std::vector<Routing::EndpointShare> busiest(std::vector<Routing::EndpointShare> endpoints)
{
    std::ranges::sort(endpoints, [](auto const& left, auto const& right) {
        return std::pair(left.backlog, left.running) > std::pair(right.backlog, right.running);
    });
    endpoints.resize(std::min(endpoints.size(), max_endpoints));
    return endpoints;
}

/// Leaves out the least busy endpoints until the message fits into one packet.
void limit_to_packet(wire::LoadMessage& message)
{
    while (message.ByteSizeLong() > max_bytes && message.endpoints_size() > 0)
        message.mutable_endpoints()->RemoveLast();
}

std::uint32_t to_units(double work)
{
    auto const units = std::round(std::clamp(work, 0.0, Routing::AccountShares::max_amount) / account_work_unit);
    return static_cast<std::uint32_t>(units);
}

Routing::AccountWork from_units(std::uint32_t admitted, std::uint32_t refused)
{
    return { admitted * account_work_unit, refused * account_work_unit };
}

void encode(Routing::AccountReport const& report, wire::ServiceReport& wire_message)
{
    for (auto const& [account, work] : report.largest) {
        auto const admitted = to_units(work.admitted);
        auto const refused = to_units(work.refused);
        if (admitted == 0 && refused == 0)
            continue;
        wire_message.add_accounts(account.value());
        wire_message.add_admitted_work(admitted);
        wire_message.add_refused_work(refused);
    }
    wire_message.set_other_admitted_work(to_units(report.rest.admitted));
    wire_message.set_other_refused_work(to_units(report.rest.refused));
}

Routing::AccountReport decode_accounts(wire::ServiceReport const& wire_message)
{
    Routing::AccountReport report;
    for (int index = 0; index < wire_message.accounts_size(); ++index)
        report.largest.push_back({ Routing::AccountKey { wire_message.accounts(index) },
            from_units(wire_message.admitted_work(index), wire_message.refused_work(index)) });
    report.rest = from_units(wire_message.other_admitted_work(), wire_message.other_refused_work());
    return report;
}

/// False for values that no correct box sends.
bool is_valid_amount(double wire_message)
{
    return std::isfinite(wire_message) && wire_message >= 0;
}

/// A time received from another box; greater ones make no difference.
Duration bounded_time(std::uint64_t microseconds)
{
    constexpr std::uint64_t longest = std::chrono::duration_cast<Duration>(std::chrono::hours(24)).count();
    return Duration { static_cast<Duration::rep>(std::min(microseconds, longest)) };
}

/// The factors 0.25 to 4 are the codes 2 to 126, in steps of 2.3 percent.
constexpr int pace_code_of_one = 64;
constexpr int pace_codes_per_doubling = 31;
constexpr int max_pace_doublings = 2;
constexpr int pace_codes = 128;

std::optional<std::uint32_t> encode_pace(Routing::PaceSamples const& samples)
{
    if (!std::isfinite(samples.fastest) || samples.fastest <= 0 || samples.count == 0)
        return {};
    auto const doublings = std::clamp<double>(std::log2(samples.fastest), -max_pace_doublings, max_pace_doublings);
    auto const code = pace_code_of_one + std::lround(pace_codes_per_doubling * doublings);
    auto const count = std::min(samples.count, Routing::EndpointPace::max_group_samples);
    return static_cast<std::uint32_t>(code) + pace_codes * count;
}

/// Nothing for values that no correct box sends.
std::optional<Routing::PaceSamples> decode_pace(std::uint32_t encoded)
{
    auto const count = encoded / pace_codes;
    auto const difference = static_cast<int>(encoded % pace_codes) - pace_code_of_one;
    if (count == 0 || count > Routing::EndpointPace::max_group_samples
        || std::abs(difference) > pace_codes_per_doubling * max_pace_doublings)
        return {};
    return Routing::PaceSamples { std::exp2(static_cast<double>(difference) / pace_codes_per_doubling), count };
}

bool is_valid(wire::ServiceReport const& wire_message)
{
    return is_valid_amount(wire_message.tokens_per_ms()) && wire_message.tokens_per_ms() > 0
        && is_valid_amount(wire_message.step_ms()) && wire_message.step_ms() > 0
        && is_valid_amount(wire_message.answer_work()) && is_valid_amount(wire_message.prompt_work())
        && wire_message.accounts_size() <= static_cast<int>(Routing::AccountShares::max_named)
        && wire_message.admitted_work_size() == wire_message.accounts_size()
        && wire_message.refused_work_size() == wire_message.accounts_size();
}

}

std::string encode(LoadMessage const& message)
{
    wire::LoadMessage encoded;
    encoded.set_sender(message.sender);
    encoded.set_sent_at_us(static_cast<std::uint64_t>(message.sent_at.time_since_epoch().count()));
    encoded.set_configuration_version(message.store_versions.configuration_version);
    encoded.set_store_era(message.store_versions.store_era);
    if (message.store_versions.era_began_ago)
        encoded.set_store_era_risen_us_ago(static_cast<std::uint64_t>(message.store_versions.era_began_ago->count()));
    if (message.store_versions.configuration_known_for)
        encoded.set_configuration_known_us(
            static_cast<std::uint64_t>(message.store_versions.configuration_known_for->count()));
    for (auto const& share : busiest(message.report.endpoints)) {
        auto& wire_message = *encoded.add_endpoints();
        wire_message.set_incarnation(share.incarnation);
        constexpr Duration::rep longest = std::numeric_limits<std::uint32_t>::max();
        wire_message.set_backlog_us(
            static_cast<std::uint32_t>(std::clamp<Duration::rep>(share.backlog.count(), 0, longest)));
        wire_message.set_running(share.running);
        if (auto const pace = share.pace ? encode_pace(*share.pace) : std::nullopt)
            wire_message.set_pace(*pace);
    }
    for (auto const& [service, report] : message.report.services) {
        if (encoded.services_size() >= static_cast<int>(max_services))
            break;
        auto& wire_message = *encoded.add_services();
        wire_message.set_service(service);
        wire_message.set_tokens_per_ms(static_cast<float>(report.speed.prefill_tokens_per_millisecond));
        wire_message.set_step_ms(static_cast<float>(report.speed.step_milliseconds));
        wire_message.set_samples(static_cast<std::uint32_t>(
            std::min<std::uint64_t>(report.samples, std::numeric_limits<std::uint32_t>::max())));
        wire_message.set_answer_work(static_cast<float>(report.work.answer_work));
        wire_message.set_prompt_work(static_cast<float>(report.work.prompt_work));
        encode(report.accounts, wire_message);
    }
    limit_to_packet(encoded);
    return encoded.SerializeAsString();
}

std::optional<LoadMessage> decode_load(std::string_view bytes)
{
    wire::LoadMessage wire_message;
    if (!wire_message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())) || wire_message.sender() == 0)
        return {};
    if (wire_message.sent_at_us() > static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max() / 2))
        return {};
    if (wire_message.endpoints_size() > static_cast<int>(max_endpoints)
        || wire_message.services_size() > static_cast<int>(max_services))
        return {};
    LoadMessage message { wire_message.sender(),
        Instant { Duration { static_cast<Duration::rep>(wire_message.sent_at_us()) } }, {}, {} };
    message.store_versions.configuration_version = wire_message.configuration_version();
    message.store_versions.store_era = wire_message.store_era();
    if (wire_message.has_store_era_risen_us_ago())
        message.store_versions.era_began_ago = bounded_time(wire_message.store_era_risen_us_ago());
    if (wire_message.has_configuration_known_us())
        message.store_versions.configuration_known_for = bounded_time(wire_message.configuration_known_us());
    for (auto const& share : wire_message.endpoints())
        message.report.endpoints.push_back({ share.incarnation(), Duration { share.backlog_us() }, share.running(),
            share.has_pace() ? decode_pace(share.pace()) : std::nullopt });
    for (auto const& service : wire_message.services()) {
        if (!is_valid(service))
            return {};
        message.report.services.emplace(service.service(),
            Routing::ServiceReport { { service.tokens_per_ms(), service.step_ms() }, service.samples(),
                { service.answer_work(), service.prompt_work() }, decode_accounts(service) });
    }
    return message;
}

std::optional<Duration> MessageAgeTracker::age(LoadMessage const& message, Instant now)
{
    auto const difference = now - message.sent_at;
    auto const [position, is_new]
        = this->senders.try_emplace(message.sender, Sender { difference, message.sent_at, now });
    auto& sender = position->second;
    if (!is_new && message.sent_at <= sender.newest_sent_at)
        return {};
    sender.min_difference = std::min(sender.min_difference, difference);
    sender.newest_sent_at = message.sent_at;
    sender.received_at = now;
    return difference - sender.min_difference;
}

void MessageAgeTracker::expire(Instant now)
{
    std::erase_if(this->senders, [now](auto const& entry) { return now - entry.second.received_at > retention; });
}

ReportPlan plan_reports(std::size_t others, std::size_t message_bytes)
{
    /// Rate limit for load reports of a box. The users allow 15 KB per second for all control traffic.
    constexpr double bytes_per_second = 12'000;
    /// Address and checksum overhead of a datagram.
    constexpr std::size_t packet_bytes = 28;
    /// An engine processes a long prompt in some 100 ms, so an older report describes another queue.
    constexpr Duration min_interval { std::chrono::milliseconds(100) };
    /// A little shorter than the time for which reports are kept.
    constexpr Duration longest { std::chrono::seconds(2) };
    auto const bytes_each = static_cast<double>(message_bytes + packet_bytes);
    auto const interval = std::clamp(
        Core::from_seconds(static_cast<double>(others) * bytes_each / bytes_per_second), min_interval, longest);
    auto const max_receivers = static_cast<std::size_t>(Core::to_seconds(longest) * bytes_per_second / bytes_each);
    return { interval, std::min(others, max_receivers) };
}

}
