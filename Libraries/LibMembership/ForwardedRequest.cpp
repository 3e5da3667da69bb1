#include <LibMembership/ForwardedRequest.h>

#include <LibMembership/Relay.pb.h>
#include <algorithm>
#include <charconv>
#include <chrono>

namespace Membership {

namespace {

namespace wire = cleatbeam::membership;

constexpr int hexadecimal = 16;
constexpr std::size_t digits_per_byte = 2;
/// A request is sent to a few endpoints at the most. Longer values come from no box.
constexpr std::size_t max_header_digits = 8 * 1024;

std::string to_hexadecimal(std::string const& bytes)
{
    constexpr std::string_view alphabet = "0123456789abcdef";
    std::string digits;
    digits.reserve(digits_per_byte * bytes.size());
    for (auto const byte : bytes) {
        auto const value = static_cast<unsigned char>(byte);
        digits += alphabet[value / hexadecimal];
        digits += alphabet[value % hexadecimal];
    }
    return digits;
}

std::optional<std::string> from_hexadecimal(std::string_view digits)
{
    if (digits.empty() || digits.size() > max_header_digits || digits.size() % digits_per_byte != 0)
        return {};
    std::string bytes;
    for (std::size_t at = 0; at < digits.size(); at += digits_per_byte) {
        unsigned char byte = 0;
        auto const* const end = digits.data() + at + digits_per_byte;
        auto const [position, error] = std::from_chars(digits.data() + at, end, byte, hexadecimal);
        if (error != std::errc {} || position != end)
            return {};
        bytes += static_cast<char>(byte);
    }
    return bytes;
}

}

std::string encode(ForwardedRequest const& request)
{
    wire::ForwardedRequest message;
    message.set_min_configuration(request.min_configuration);
    message.set_service(request.service);
    message.set_attempts_left(request.attempts_left);
    for (auto const& incarnation : request.tried)
        message.add_tried(incarnation);
    if (request.stream_version)
        message.set_stream_version(*request.stream_version);
    return to_hexadecimal(message.SerializeAsString());
}

std::string encode(ForwardedAnswer const& answer)
{
    wire::ForwardedAnswer message;
    message.set_configuration(answer.configuration);
    message.set_version(answer.version);
    if (answer.refusal)
        message.set_refusal(std::string(Core::to_string(*answer.refusal)));
    if (answer.retry_after)
        message.set_retry_after_us(
            static_cast<std::uint64_t>(std::max<Core::Duration::rep>(answer.retry_after->count(), 0)));
    return to_hexadecimal(message.SerializeAsString());
}

std::optional<ForwardedRequest> decode_forwarded_request(std::string_view value)
{
    auto const bytes = from_hexadecimal(value);
    wire::ForwardedRequest message;
    if (!bytes || !message.ParseFromString(*bytes) || message.service().empty() || message.attempts_left() == 0)
        return {};
    ForwardedRequest request { message.min_configuration(), message.service(), message.attempts_left(),
        { message.tried().begin(), message.tried().end() } };
    if (message.has_stream_version())
        request.stream_version = message.stream_version();
    return request;
}

std::optional<ForwardedAnswer> decode_forwarded_answer(std::string_view value)
{
    /// No box asks a client to wait longer.
    constexpr std::uint64_t max_retry_after = std::chrono::microseconds(std::chrono::hours(1)).count();
    auto const bytes = from_hexadecimal(value);
    wire::ForwardedAnswer message;
    if (!bytes || !message.ParseFromString(*bytes))
        return {};
    ForwardedAnswer answer { message.configuration(), {}, {}, message.version() };
    if (!message.refusal().empty()) {
        answer.refusal = Core::reason_from_name(message.refusal());
        // NOTE: A later version of this program may know further reasons.
        if (!answer.refusal)
            answer.refusal = Core::Reason::NoEndpoint;
    }
    if (message.has_retry_after_us())
        answer.retry_after
            = Core::Duration(static_cast<Core::Duration::rep>(std::min(message.retry_after_us(), max_retry_after)));
    return answer;
}

bool may_other_box_serve(Core::Reason refusal)
{
    switch (refusal) {
    case Core::Reason::EndpointsUnreachable:
    case Core::Reason::Draining:
    case Core::Reason::ConfigurationMissing:
    case Core::Reason::ConfigurationAging:
    case Core::Reason::ConfigurationExpired:
    case Core::Reason::RouteUnknown:
    case Core::Reason::KeyUnknown:
    case Core::Reason::MemoryLimit:
        return true;
    default:
        return false;
    }
}

}
