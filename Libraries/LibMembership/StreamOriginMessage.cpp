#include <LibMembership/StreamOriginMessage.h>

#include <LibMembership/Relay.pb.h>
#include <algorithm>
#include <chrono>

namespace Membership {

namespace {

namespace wire = cleatbeam::membership;

void write(wire::Fingerprint& wire_message, StreamId stream)
{
    wire_message.set_account(stream.account);
    wire_message.set_content(stream.attempt);
}

StreamId read(wire::Fingerprint const& wire_message)
{
    return { wire_message.account(), wire_message.content() };
}

bool is_valid(wire::StreamOrigin const& wire_message)
{
    constexpr std::size_t max_name_bytes = 256;
    return !wire_message.service().empty() && wire_message.service().size() <= max_name_bytes
        && wire_message.version().size() <= max_name_bytes;
}

Duration valid_from(std::uint64_t milliseconds)
{
    constexpr std::chrono::milliseconds longest = std::chrono::hours(1);
    return std::chrono::milliseconds(std::min(milliseconds, static_cast<std::uint64_t>(longest.count())));
}

}

std::string encode(StreamOriginMessage const& message)
{
    wire::StreamOriginNews encoded;
    for (auto const& known : message.known) {
        auto& wire_message = *encoded.add_known();
        write(*wire_message.mutable_stream(), known.stream);
        wire_message.set_service(known.origin.service);
        wire_message.set_version(known.origin.version);
        auto const valid = std::chrono::ceil<std::chrono::milliseconds>(known.valid_for).count();
        wire_message.set_valid_ms(static_cast<std::uint64_t>(std::max<std::int64_t>(valid, 0)));
    }
    for (auto const stream : message.asked)
        write(*encoded.add_asked(), stream);
    for (auto const stream : message.unknown)
        write(*encoded.add_unknown(), stream);
    return encoded.SerializeAsString();
}

std::optional<StreamOriginMessage> decode_stream_origins(std::string_view bytes)
{
    wire::StreamOriginNews wire_message;
    if (!wire_message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
        return {};
    auto const max_entries = static_cast<int>(max_streams_per_message);
    bool const is_valid_message = wire_message.known_size() <= max_entries && wire_message.asked_size() <= max_entries
        && wire_message.unknown_size() <= max_entries
        && std::ranges::all_of(wire_message.known(), [](auto const& known) { return is_valid(known); });
    if (!is_valid_message)
        return {};
    StreamOriginMessage message;
    for (auto const& known : wire_message.known())
        message.known.push_back(
            { read(known.stream()), { known.service(), known.version() }, valid_from(known.valid_ms()) });
    for (auto const& stream : wire_message.asked())
        message.asked.push_back(read(stream));
    for (auto const& stream : wire_message.unknown())
        message.unknown.push_back(read(stream));
    if (message == StreamOriginMessage {})
        return {};
    return message;
}

}
