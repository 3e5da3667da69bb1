#include <LibMembership/CrashMessages.h>

#include <LibMembership/EndpointLifeWire.h>
#include <algorithm>
#include <chrono>
#include <limits>

namespace Membership {

namespace {

namespace wire = cleatbeam::membership;

constexpr std::string_view crash_key_prefix = "crash/";

void write(wire::Fingerprint& told, Routing::RequestFingerprint request)
{
    told.set_account(request.account);
    told.set_content(request.content);
}

Routing::RequestFingerprint read(wire::Fingerprint const& told)
{
    return { told.account(), told.content() };
}

bool is_count(std::uint32_t count)
{
    return count > 0 && count <= Routing::CrashLedger::refusal_threshold;
}

bool is_sound(wire::Crash const& told)
{
    return is_count(told.count()) && is_sound_life(told.endpoint());
}

/// An age from another box, cut off where nothing depends on it any more.
Duration bounded_age(std::uint64_t microseconds)
{
    auto const longest = static_cast<std::uint64_t>(Routing::CrashLedger::retention.count());
    return Duration { static_cast<Duration::rep>(std::min(microseconds, longest)) };
}

bool is_sound(wire::CrashMessage const& told)
{
    constexpr int most = static_cast<int>(most_news_in_message);
    if (told.crashes_size() > most || told.cleared_size() > most || told.answering_size() > most
        || told.probed_size() > most || told.probes_ended_size() > most)
        return false;
    return std::ranges::all_of(told.crashes(), [](auto const& crash) { return is_sound(crash); })
        && std::ranges::all_of(told.answering(), [](auto const& endpoint) { return is_sound_life(endpoint); });
}

}

std::string encode(CrashMessage const& message)
{
    wire::CrashMessage encoded;
    for (auto const& crash : message.crashes) {
        auto& told = *encoded.add_crashes();
        write(*told.mutable_request(), crash.report.request);
        write_life(*told.mutable_endpoint(), crash.report.endpoint);
        told.set_count(crash.report.count);
        told.set_age_us(static_cast<std::uint64_t>(std::max<Duration::rep>(crash.age.count(), 0)));
    }
    for (auto const& request : message.cleared)
        write(*encoded.add_cleared(), request);
    for (auto const& endpoint : message.answering)
        write_life(*encoded.add_answering(), endpoint);
    for (auto const& request : message.probed)
        write(*encoded.add_probed(), request);
    for (auto const& request : message.probes_ended)
        write(*encoded.add_probes_ended(), request);
    return encoded.SerializeAsString();
}

std::optional<CrashMessage> decode_crashes(std::string_view bytes)
{
    wire::CrashMessage told;
    if (!told.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())) || !is_sound(told))
        return {};
    CrashMessage message;
    for (auto const& crash : told.crashes())
        message.crashes.push_back(
            { { read(crash.request()), read_life(crash.endpoint()), crash.count() }, bounded_age(crash.age_us()) });
    for (auto const& request : told.cleared())
        message.cleared.push_back(read(request));
    for (auto const& endpoint : told.answering())
        message.answering.push_back(read_life(endpoint));
    for (auto const& request : told.probed())
        message.probed.push_back(read(request));
    for (auto const& request : told.probes_ended())
        message.probes_ended.push_back(read(request));
    if (message.is_empty())
        return {};
    return message;
}

std::string crash_key(Routing::RequestFingerprint request)
{
    return std::string(crash_key_prefix) + Routing::to_string(request);
}

bool is_crash_key(std::string_view key)
{
    return key.starts_with(crash_key_prefix);
}

std::string encode_record(TimedCrash const& crash, std::int64_t now_unix_milliseconds)
{
    auto const age = std::chrono::duration_cast<std::chrono::milliseconds>(crash.age).count();
    wire::CrashRecord record;
    write(*record.mutable_request(), crash.report.request);
    write_life(*record.mutable_endpoint(), crash.report.endpoint);
    record.set_count(crash.report.count);
    record.set_crashed_at_unix_ms(static_cast<std::uint64_t>(std::max<std::int64_t>(now_unix_milliseconds - age, 0)));
    return record.SerializeAsString();
}

std::optional<TimedCrash> decode_record(std::string_view bytes, std::int64_t now_unix_milliseconds)
{
    constexpr std::uint64_t microseconds_per_millisecond = 1000;
    wire::CrashRecord record;
    if (!record.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
        return {};
    if (!is_count(record.count()) || !is_sound_life(record.endpoint()))
        return {};
    auto const now = static_cast<std::uint64_t>(std::max<std::int64_t>(now_unix_milliseconds, 0));
    auto const age = now - std::min(record.crashed_at_unix_ms(), now);
    auto const longest = std::numeric_limits<std::uint64_t>::max() / microseconds_per_millisecond;
    return TimedCrash { { read(record.request()), read_life(record.endpoint()), record.count() },
        bounded_age(std::min(age, longest) * microseconds_per_millisecond) };
}

}
