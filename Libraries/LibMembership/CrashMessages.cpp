#include <LibMembership/CrashMessages.h>

#include <LibMembership/EndpointInstanceWire.h>
#include <algorithm>
#include <chrono>
#include <limits>

namespace Membership {

namespace {

namespace wire = cleatbeam::membership;

constexpr std::string_view crash_key_prefix = "crash/";

constexpr std::uint32_t prompt_part_kind = 1;

void write(wire::Fingerprint& wire_message, Routing::CrashSuspect suspect)
{
    wire_message.set_account(suspect.account);
    wire_message.set_content(suspect.content);
    if (suspect.kind == Routing::CrashSuspect::Kind::PromptPart)
        wire_message.set_kind(prompt_part_kind);
}

Routing::CrashSuspect read(wire::Fingerprint const& wire_message)
{
    auto const kind = wire_message.kind() == prompt_part_kind ? Routing::CrashSuspect::Kind::PromptPart
                                                              : Routing::CrashSuspect::Kind::Request;
    return { wire_message.account(), wire_message.content(), kind };
}

void write(wire::CrashCircumstances& wire_message, Routing::CrashCircumstances const& circumstances)
{
    if (circumstances.account)
        wire_message.set_account(*circumstances.account);
    for (auto const companion : circumstances.companions)
        wire_message.add_companions(companion);
}

Routing::CrashCircumstances read(wire::CrashCircumstances const& wire_message)
{
    Routing::CrashCircumstances circumstances;
    if (wire_message.has_account())
        circumstances.account = wire_message.account();
    circumstances.companions.assign(wire_message.companions().begin(), wire_message.companions().end());
    return circumstances;
}

bool is_valid(wire::Fingerprint const& wire_message)
{
    return wire_message.kind() <= prompt_part_kind;
}

bool is_valid(wire::CrashCircumstances const& wire_message)
{
    return wire_message.companions_size() <= static_cast<int>(Routing::CrashCircumstances::max_companions);
}

/// Whether the crash, or the record of one, has a suspect of a known kind and figures within their limits.
template <typename Message> bool is_valid_crash(Message const& wire_message)
{
    auto const max_count = Routing::CrashLedger::max_crashes(read(wire_message.request()).kind);
    return is_valid(wire_message.request()) && wire_message.count() > 0 && wire_message.count() <= max_count
        && is_valid_instance(wire_message.endpoint()) && is_valid(wire_message.circumstances());
}

/// An age received from another box, limited to the time for which crashes are kept.
Duration bounded_age(std::uint64_t microseconds)
{
    auto const max_age = static_cast<std::uint64_t>(Routing::CrashLedger::retention.count());
    return Duration { static_cast<Duration::rep>(std::min(microseconds, max_age)) };
}

bool is_valid(wire::CrashMessage const& wire_message)
{
    constexpr int max_entries = static_cast<int>(max_crash_entries_per_message);
    if (wire_message.crashes_size() > max_entries || wire_message.cleared_size() > max_entries
        || wire_message.answering_size() > max_entries || wire_message.probed_size() > max_entries
        || wire_message.probes_ended_size() > max_entries)
        return false;
    auto const are_valid = [](auto const& suspects) {
        return std::ranges::all_of(suspects, [](auto const& suspect) { return is_valid(suspect); });
    };
    return std::ranges::all_of(wire_message.crashes(), [](auto const& crash) { return is_valid_crash(crash); })
        && are_valid(wire_message.cleared()) && are_valid(wire_message.probed())
        && are_valid(wire_message.probes_ended())
        && std::ranges::all_of(
            wire_message.answering(), [](auto const& endpoint) { return is_valid_instance(endpoint); });
}

}

std::string encode(CrashMessage const& message)
{
    wire::CrashMessage encoded;
    for (auto const& crash : message.crashes) {
        auto& wire_message = *encoded.add_crashes();
        write(*wire_message.mutable_request(), crash.report.suspect);
        write_instance(*wire_message.mutable_endpoint(), crash.report.endpoint);
        wire_message.set_count(crash.report.count);
        if (crash.report.suspect.kind == Routing::CrashSuspect::Kind::PromptPart)
            write(*wire_message.mutable_circumstances(), crash.report.circumstances);
        wire_message.set_age_us(static_cast<std::uint64_t>(std::max<Duration::rep>(crash.age.count(), 0)));
    }
    for (auto const& request : message.cleared)
        write(*encoded.add_cleared(), request);
    for (auto const& endpoint : message.answering)
        write_instance(*encoded.add_answering(), endpoint);
    for (auto const& request : message.probed)
        write(*encoded.add_probed(), request);
    for (auto const& request : message.probes_ended)
        write(*encoded.add_probes_ended(), request);
    return encoded.SerializeAsString();
}

std::optional<CrashMessage> decode_crashes(std::string_view bytes)
{
    wire::CrashMessage wire_message;
    if (!wire_message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())) || !is_valid(wire_message))
        return {};
    CrashMessage message;
    for (auto const& crash : wire_message.crashes())
        message.crashes.push_back(
            { { read(crash.request()), read_instance(crash.endpoint()), crash.count(), read(crash.circumstances()) },
                bounded_age(crash.age_us()) });
    for (auto const& request : wire_message.cleared())
        message.cleared.push_back(read(request));
    for (auto const& endpoint : wire_message.answering())
        message.answering.push_back(read_instance(endpoint));
    for (auto const& request : wire_message.probed())
        message.probed.push_back(read(request));
    for (auto const& request : wire_message.probes_ended())
        message.probes_ended.push_back(read(request));
    if (message.is_empty())
        return {};
    return message;
}

std::string crash_key(Routing::CrashSuspect suspect)
{
    return std::string(crash_key_prefix) + Routing::to_string(suspect);
}

bool is_crash_key(std::string_view key)
{
    return key.starts_with(crash_key_prefix);
}

std::string encode_crash_record(TimedCrash const& crash, std::int64_t now_unix_milliseconds)
{
    auto const age = std::chrono::duration_cast<std::chrono::milliseconds>(crash.age).count();
    wire::CrashRecord record;
    write(*record.mutable_request(), crash.report.suspect);
    write_instance(*record.mutable_endpoint(), crash.report.endpoint);
    record.set_count(crash.report.count);
    if (crash.report.suspect.kind == Routing::CrashSuspect::Kind::PromptPart)
        write(*record.mutable_circumstances(), crash.report.circumstances);
    record.set_crashed_at_unix_ms(static_cast<std::uint64_t>(std::max<std::int64_t>(now_unix_milliseconds - age, 0)));
    return record.SerializeAsString();
}

std::optional<TimedCrash> decode_crash_record(std::string_view bytes, std::int64_t now_unix_milliseconds)
{
    constexpr std::uint64_t microseconds_per_millisecond = 1000;
    wire::CrashRecord record;
    if (!record.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
        return {};
    if (!is_valid_crash(record))
        return {};
    auto const now = static_cast<std::uint64_t>(std::max<std::int64_t>(now_unix_milliseconds, 0));
    auto const age = now - std::min(record.crashed_at_unix_ms(), now);
    auto const max_age = std::numeric_limits<std::uint64_t>::max() / microseconds_per_millisecond;
    return TimedCrash { { read(record.request()), read_instance(record.endpoint()), record.count(),
                            read(record.circumstances()) },
        bounded_age(std::min(age, max_age) * microseconds_per_millisecond) };
}

}
