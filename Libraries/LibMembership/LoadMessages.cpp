#include <LibMembership/LoadMessages.h>

#include <LibMembership/Relay.pb.h>
#include <algorithm>
#include <cmath>
#include <limits>

namespace Membership {

namespace {

namespace wire = cleatbeam::membership;

/// With names of some 12 bytes these fit into one packet of 1,500 bytes.
constexpr std::size_t most_endpoints = 48;
constexpr std::size_t most_services = 8;

/// The endpoints with the most work, at most so many.
std::vector<Routing::EndpointShare> busiest(std::vector<Routing::EndpointShare> endpoints)
{
    if (endpoints.size() <= most_endpoints)
        return endpoints;
    std::ranges::sort(endpoints, [](auto const& left, auto const& right) {
        return std::pair(left.backlog, left.running) > std::pair(right.backlog, right.running);
    });
    endpoints.resize(most_endpoints);
    return endpoints;
}

/// False for a number that no sound box tells.
bool is_amount(double told)
{
    return std::isfinite(told) && told >= 0;
}

/// A time from another box, cut off where nothing depends on it any more.
Duration bounded_time(std::uint64_t microseconds)
{
    constexpr std::uint64_t longest = std::chrono::duration_cast<Duration>(std::chrono::hours(24)).count();
    return Duration { static_cast<Duration::rep>(std::min(microseconds, longest)) };
}

bool is_sound(wire::ServiceReport const& told)
{
    return is_amount(told.tokens_per_ms()) && told.tokens_per_ms() > 0 && is_amount(told.step_ms())
        && told.step_ms() > 0 && is_amount(told.answer_work()) && is_amount(told.prompt_work());
}

}

std::string encode(LoadMessage const& message)
{
    wire::LoadMessage encoded;
    encoded.set_sender(message.sender);
    encoded.set_sent_at_us(static_cast<std::uint64_t>(message.sent_at.time_since_epoch().count()));
    encoded.set_configuration_version(message.knowledge.configuration_version);
    encoded.set_store_era(message.knowledge.store_era);
    if (message.knowledge.era_risen_ago)
        encoded.set_store_era_risen_us_ago(static_cast<std::uint64_t>(message.knowledge.era_risen_ago->count()));
    if (message.knowledge.configuration_known_for)
        encoded.set_configuration_known_us(
            static_cast<std::uint64_t>(message.knowledge.configuration_known_for->count()));
    for (auto const& share : busiest(message.report.endpoints)) {
        auto& told = *encoded.add_endpoints();
        told.set_incarnation(share.incarnation);
        constexpr Duration::rep longest = std::numeric_limits<std::uint32_t>::max();
        told.set_backlog_us(static_cast<std::uint32_t>(std::clamp<Duration::rep>(share.backlog.count(), 0, longest)));
        told.set_running(share.running);
    }
    for (auto const& [service, report] : message.report.services) {
        if (encoded.services_size() >= static_cast<int>(most_services))
            break;
        auto& told = *encoded.add_services();
        told.set_service(service);
        told.set_tokens_per_ms(static_cast<float>(report.speed.prefill_tokens_per_millisecond));
        told.set_step_ms(static_cast<float>(report.speed.step_milliseconds));
        told.set_samples(static_cast<std::uint32_t>(
            std::min<std::uint64_t>(report.samples, std::numeric_limits<std::uint32_t>::max())));
        told.set_answer_work(static_cast<float>(report.work.answer_work));
        told.set_prompt_work(static_cast<float>(report.work.prompt_work));
    }
    return encoded.SerializeAsString();
}

std::optional<LoadMessage> decode_load(std::string_view bytes)
{
    wire::LoadMessage told;
    if (!told.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())) || told.sender() == 0)
        return {};
    if (told.sent_at_us() > static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max() / 2))
        return {};
    if (told.endpoints_size() > static_cast<int>(most_endpoints)
        || told.services_size() > static_cast<int>(most_services))
        return {};
    LoadMessage message { told.sender(), Instant { Duration { static_cast<Duration::rep>(told.sent_at_us()) } }, {},
        {} };
    message.knowledge.configuration_version = told.configuration_version();
    message.knowledge.store_era = told.store_era();
    if (told.has_store_era_risen_us_ago())
        message.knowledge.era_risen_ago = bounded_time(told.store_era_risen_us_ago());
    if (told.has_configuration_known_us())
        message.knowledge.configuration_known_for = bounded_time(told.configuration_known_us());
    for (auto const& share : told.endpoints())
        message.report.endpoints.push_back({ share.incarnation(), Duration { share.backlog_us() }, share.running() });
    for (auto const& service : told.services()) {
        if (!is_sound(service))
            return {};
        message.report.services.emplace(service.service(),
            Routing::ServiceReport { { service.tokens_per_ms(), service.step_ms() }, service.samples(),
                { service.answer_work(), service.prompt_work() } });
    }
    return message;
}

std::optional<Duration> MessageAges::age(LoadMessage const& message, Instant now)
{
    auto const difference = now - message.sent_at;
    auto const [position, is_new]
        = this->senders.try_emplace(message.sender, Sender { difference, message.sent_at, now });
    auto& sender = position->second;
    if (!is_new && message.sent_at <= sender.newest_sent_at)
        return {};
    sender.least_difference = std::min(sender.least_difference, difference);
    sender.newest_sent_at = message.sent_at;
    sender.heard_at = now;
    return difference - sender.least_difference;
}

void MessageAges::expire(Instant now)
{
    std::erase_if(this->senders, [now](auto const& entry) { return now - entry.second.heard_at > memory; });
}

ReportPlan plan_reports(std::size_t others, std::size_t message_bytes)
{
    /// What a box may send to others for this. The users allow 15 KB a second for control in all.
    constexpr double bytes_per_second = 12'000;
    /// Addresses and checksums of a datagram.
    constexpr std::size_t packet_bytes = 28;
    /// An engine reads a long prompt in some 100 ms, so a belief that is older is of another queue.
    constexpr Duration shortest { std::chrono::milliseconds(100) };
    /// A little less than a report is remembered.
    constexpr Duration longest { std::chrono::seconds(2) };
    auto const bytes_each = static_cast<double>(message_bytes + packet_bytes);
    auto const interval = std::clamp(
        Core::from_seconds(static_cast<double>(others) * bytes_each / bytes_per_second), shortest, longest);
    auto const most_receivers = static_cast<std::size_t>(Core::to_seconds(longest) * bytes_per_second / bytes_each);
    return { interval, std::min(others, most_receivers) };
}

}
