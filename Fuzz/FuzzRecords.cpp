/// Feeds the readers of what endpoints and boxes write, in the store and to one another, with whatever the fuzzer makes
/// up. The first byte chooses the reader.

#include <LibMembership/CrashMessages.h>
#include <LibMembership/EndpointNoticeMessage.h>
#include <LibMembership/ForwardedRequest.h>
#include <LibMembership/LoadMessages.h>
#include <LibMembership/RelayMessages.h>
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <platform/StoreRecords.h>

namespace {

/// What is taken has no reason, and what is refused has one.
template <typename Decoded> void check(Decoded const& decoded, Core::LastReason const& reason)
{
    if (decoded.has_value() != reason.text.empty())
        std::abort();
}

void feed_store(std::uint8_t reader, std::string const& text)
{
    Core::LastReason reason;
    switch (reader) {
    case 0: {
        auto const endpoint = Adapter::decode_endpoint("i-1", text, reason);
        check(endpoint, reason);
        if (endpoint && (endpoint->service.empty() || endpoint->address.port == 0 || endpoint->slots == 0))
            std::abort();
        break;
    }
    case 1:
        check(Adapter::decode_newest(text, reason), reason);
        break;
    case 2:
        check(Adapter::decode_records(text, 0, reason), reason);
        break;
    default:
        check(Adapter::decode_configuration(text, reason), reason);
        break;
    }
}

void feed_boxes(std::uint8_t reader, std::string const& text)
{
    switch (reader) {
    case 4:
        static_cast<void>(Membership::decode_box("b", text));
        break;
    case 5:
        static_cast<void>(Membership::decode_request(text));
        break;
    case 6:
        static_cast<void>(Membership::decode_answer(text));
        break;
    case 7:
        static_cast<void>(Membership::decode_load(text));
        break;
    case 8: {
        auto const message = Membership::decode_crashes(text);
        if (message && Membership::decode_crashes(Membership::encode(*message)) != message)
            std::abort();
        break;
    }
    case 9: {
        constexpr Core::Instant now = Core::Instant {} + std::chrono::hours(100);
        auto const news = Membership::decode_endpoint_notices(text, now);
        if (news && Membership::decode_endpoint_notices(Membership::encode(*news, now), now) != news)
            std::abort();
        break;
    }
    case 10: {
        constexpr std::int64_t now = 1'790'000'000'000;
        auto const crash = Membership::decode_crash_record(text, now);
        if (crash && crash->age > Routing::CrashLedger::retention)
            std::abort();
        break;
    }
    default: {
        auto const request = Membership::decode_forwarded_request(text);
        if (request && Membership::decode_forwarded_request(Membership::encode(*request)) != request)
            std::abort();
        auto const answer = Membership::decode_forwarded_answer(text);
        if (answer && Membership::decode_forwarded_answer(Membership::encode(*answer)) != answer)
            std::abort();
        break;
    }
    }
}

}

extern "C" int LLVMFuzzerTestOneInput(std::uint8_t const* data, std::size_t size)
{
    if (size == 0)
        return 0;
    constexpr std::uint8_t readers = 12;
    constexpr std::uint8_t first_of_boxes = 4;
    auto const reader = static_cast<std::uint8_t>(data[0] % readers);
    std::string const text(reinterpret_cast<char const*>(data) + 1, size - 1);
    if (reader < first_of_boxes)
        feed_store(reader, text);
    else
        feed_boxes(reader, text);
    return 0;
}
