#include <LibMembership/RelayMessages.h>

#include <LibMembership/Relay.pb.h>
#include <algorithm>
#include <cmath>
#include <google/protobuf/io/coded_stream.h>
#include <google/protobuf/io/zero_copy_stream_impl_lite.h>
#include <google/protobuf/wire_format_lite.h>
#include <limits>

namespace Membership {

namespace {

namespace wire = cleatbeam::membership;

void put_address(SocketAddress const& address, wire::Address& message)
{
    message.set_host(address.host);
    message.set_port(address.port);
}

/// Nothing for an address without a host or with an invalid port.
std::optional<SocketAddress> address_from(wire::Address const& message)
{
    constexpr std::uint32_t max_port = 65535;
    if (message.host().empty() || message.port() == 0 || message.port() > max_port)
        return {};
    return SocketAddress { message.host(), static_cast<std::uint16_t>(message.port()) };
}

void put_endpoint(EndpointChange const& change, wire::Endpoint& message)
{
    message.set_incarnation(change.incarnation);
    message.set_is_removed(!change.record);
    if (!change.record)
        return;
    message.set_service(change.record->service);
    put_address(change.record->address, *message.mutable_address());
    message.set_failure_domain(change.record->failure_domain);
    message.set_slots(change.record->slots);
    message.set_is_draining(change.record->draining);
    message.set_started_at_ms(change.record->started_at);
    message.set_is_revocable(change.record->is_revocable);
    message.set_cold_left_ms(
        static_cast<std::uint64_t>(std::chrono::ceil<std::chrono::milliseconds>(change.record->cold_left).count()));
    message.set_version(change.record->version);
}

Duration cold_left_from(wire::Endpoint const& message)
{
    // NOTE: Limited, so that a wrong time doesn't keep requests from an endpoint for ever.
    constexpr std::chrono::milliseconds longest = std::chrono::hours(1);
    return std::chrono::milliseconds(std::min(message.cold_left_ms(), static_cast<std::uint64_t>(longest.count())));
}

std::optional<EndpointChange> endpoint_from(wire::Endpoint const& message)
{
    if (message.incarnation().empty())
        return {};
    if (message.is_removed())
        return EndpointChange { message.incarnation(), std::nullopt };
    auto address = address_from(message.address());
    if (!address)
        return {};
    return EndpointChange { message.incarnation(),
        Routing::EndpointRecord { message.incarnation(), message.service(), std::move(*address),
            message.failure_domain(), message.slots(), message.is_draining(), message.started_at_ms(),
            message.is_revocable(), cold_left_from(message), message.version() } };
}

std::uint64_t to_wire(Duration duration)
{
    return static_cast<std::uint64_t>(std::max<Duration::rep>(duration.count(), 0));
}

Duration duration_from(std::uint64_t microseconds)
{
    // NOTE: Limited, so that an invalid age becomes a large one and never a negative one.
    constexpr std::uint64_t longest = std::chrono::duration_cast<Duration>(std::chrono::hours(24)).count();
    return Duration { static_cast<Duration::rep>(std::min(microseconds, longest)) };
}

/// Zero in place of a value that is negative, infinite or not a number.
double non_negative(double wire_message)
{
    return std::isfinite(wire_message) && wire_message > 0 ? wire_message : 0;
}

/// The bytes before the compressed configuration in a message: the field's tag and length.
std::string compressed_configuration_header(std::size_t size)
{
    using google::protobuf::internal::WireFormatLite;
    std::string begin;
    google::protobuf::io::StringOutputStream bytes(&begin);
    google::protobuf::io::CodedOutputStream stream(&bytes);
    stream.WriteTag(WireFormatLite::MakeTag(
        wire::ControlAnswer::kCompressedConfigurationFieldNumber, WireFormatLite::WIRETYPE_LENGTH_DELIMITED));
    stream.WriteVarint64(size);
    stream.Trim();
    return begin;
}

/// A compressed text of a message, which arrived with its uncompressed size. Nothing if the size is invalid.
std::optional<CompressedText> compressed_from(std::string&& bytes, std::uint64_t text_size)
{
    Core::LastReason ignored;
    return CompressedText::from_bytes(std::move(bytes), text_size, ignored);
}

/// Moves the compressed lists from the message to the answer. False if a size is invalid.
bool move_lists(wire::ControlAnswer& message, ControlAnswer& answer)
{
    if (message.has_compressed_endpoints()) {
        answer.endpoint_list
            = compressed_from(std::move(*message.mutable_compressed_endpoints()), message.endpoints_bytes());
        if (!answer.endpoint_list)
            return false;
    }
    if (!message.has_compressed_box_records())
        return true;
    auto records = compressed_from(std::move(*message.mutable_compressed_box_records()), message.box_records_bytes());
    if (!records)
        return false;
    BoxRecordsVersion const version { message.box_records_fingerprint(), message.box_records_era(),
        message.box_records_end() };
    answer.box_records = SharedBoxRecords { version, std::move(*records) };
    return true;
}

void put_lists(ControlAnswer const& answer, wire::ControlAnswer& message)
{
    if (answer.endpoint_list) {
        message.set_compressed_endpoints(answer.endpoint_list->bytes());
        message.set_endpoints_bytes(answer.endpoint_list->text_size());
    }
    if (!answer.box_records)
        return;
    message.set_compressed_box_records(answer.box_records->records.bytes());
    message.set_box_records_bytes(answer.box_records->records.text_size());
    auto const& version = answer.box_records->version;
    message.set_box_records_fingerprint(version.fingerprint);
    message.set_box_records_era(version.era);
    message.set_box_records_end(version.end);
}

/// Stores the configuration in the message, or returns the bytes that follow the message.
struct ConfigurationPart {
    wire::ControlAnswer& message;

    std::shared_ptr<std::string const> operator()(std::string const& text) const
    {
        this->message.set_configuration(text);
        return nullptr;
    }
    std::shared_ptr<std::string const> operator()(CompressedText const& compressed) const
    {
        this->message.set_configuration_bytes(compressed.text_size());
        return compressed.share_bytes();
    }
};

/// Moves the configuration from the message to the answer. False if its size is invalid.
bool move_configuration(wire::ControlAnswer& message, ControlAnswer& answer)
{
    if (message.has_configuration())
        answer.configuration = std::move(*message.mutable_configuration());
    if (!message.has_compressed_configuration())
        return true;
    Core::LastReason ignored;
    auto compressed = CompressedText::from_bytes(
        std::move(*message.mutable_compressed_configuration()), message.configuration_bytes(), ignored);
    if (!compressed)
        return false;
    answer.configuration = std::move(*compressed);
    return true;
}

}

std::string encode(std::vector<EndpointChange> const& endpoints)
{
    wire::EndpointList message;
    for (auto const& endpoint : endpoints)
        put_endpoint(endpoint, *message.add_endpoints());
    return message.SerializeAsString();
}

std::optional<std::vector<EndpointChange>> decode_endpoints(std::string const& bytes)
{
    wire::EndpointList message;
    if (!message.ParseFromString(bytes))
        return {};
    std::vector<EndpointChange> endpoints;
    endpoints.reserve(static_cast<std::size_t>(message.endpoints_size()));
    for (auto const& endpoint : message.endpoints()) {
        auto change = endpoint_from(endpoint);
        if (!change)
            return {};
        endpoints.push_back(std::move(*change));
    }
    return endpoints;
}

std::string encode(BoxRecords const& records)
{
    wire::BoxRecords message;
    for (auto const& [key, value] : records) {
        auto& record = *message.add_records();
        record.set_key(key);
        record.set_value(value);
    }
    return message.SerializeAsString();
}

std::optional<BoxRecords> decode_box_records(std::string const& bytes)
{
    wire::BoxRecords message;
    if (!message.ParseFromString(bytes))
        return {};
    BoxRecords records;
    for (auto const& record : message.records())
        records.insert_or_assign(record.key(), record.value());
    return records;
}

std::string encode(ControlRequest const& request)
{
    wire::ControlQuestion message;
    message.set_source(request.source);
    message.set_revision(request.revision);
    message.set_configuration_version(request.configuration_version);
    message.set_asker(request.requester);
    message.set_asker_domain(request.requester_domain);
    message.set_box_records_fingerprint(request.box_records.fingerprint);
    message.set_box_records_era(request.box_records.era);
    message.set_box_records_end(request.box_records.end);
    message.set_takes_compressed_endpoints(request.takes_compressed_endpoints);
    for (auto const& [service, totals] : request.work) {
        auto& work = *message.add_work();
        work.set_service(service);
        work.set_answer_work(totals.answer_work);
        work.set_prompt_work(totals.prompt_work);
    }
    return message.SerializeAsString();
}

std::optional<ControlRequest> decode_request(std::string const& bytes)
{
    /// Names of boxes and failure domains are never longer, and no box has more services. Limits memory: a request is
    /// kept for seconds.
    constexpr std::size_t max_name_size = 256;
    constexpr int max_services = 64;
    wire::ControlQuestion message;
    if (!message.ParseFromString(bytes))
        return {};
    if (message.asker().size() > max_name_size || message.asker_domain().size() > max_name_size
        || message.work_size() > max_services)
        return {};
    BoxRecordsVersion const box_records { message.box_records_fingerprint(), message.box_records_era(),
        message.box_records_end() };
    ControlRequest request { message.source(), message.revision(), message.configuration_version(), message.asker(), {},
        message.asker_domain(), box_records, message.takes_compressed_endpoints() };
    for (auto const& work : message.work())
        request.work.emplace(
            work.service(), Routing::WorkTotals { non_negative(work.answer_work()), non_negative(work.prompt_work()) });
    return request;
}

EncodedAnswer encode(ControlAnswer const& answer)
{
    wire::ControlAnswer message;
    message.set_source(answer.source);
    message.set_revision(answer.endpoints.revision);
    message.set_is_whole(answer.endpoints.is_whole);
    for (auto const& change : answer.endpoints.changes)
        put_endpoint(change, *message.add_endpoints());
    put_lists(answer, message);
    message.set_endpoints_age_us(to_wire(answer.endpoints_age));
    message.set_endpoints_next(answer.endpoints_next);
    message.set_configuration_version(answer.configuration_version);
    EncodedAnswer encoded;
    if (answer.configuration)
        encoded.shared = std::visit(ConfigurationPart { message }, *answer.configuration);
    message.set_configuration_age_us(to_wire(answer.configuration_age));
    message.set_configuration_next(answer.configuration_next);
    if (answer.configuration_known_for)
        message.set_configuration_known_us(to_wire(*answer.configuration_known_for));
    if (answer.store_returned_ago)
        message.set_store_returned_us_ago(to_wire(*answer.store_returned_ago));
    message.set_leader_news(answer.leader_announcement);
    message.set_leader_news_age_us(to_wire(answer.leader_announcement_age));
    message.set_knows_evacuations(answer.evacuated_domains.has_value());
    if (answer.evacuated_domains) {
        for (auto const& domain : *answer.evacuated_domains)
            message.add_evacuated_domains(domain);
    }
    message.set_store_era(answer.store_era);
    if (answer.store_era_began_ago)
        message.set_store_era_risen_us_ago(to_wire(*answer.store_era_began_ago));
    for (auto const& [service, share] : answer.answer_shares) {
        auto& wire_message = *message.add_answer_shares();
        wire_message.set_service(service);
        wire_message.set_share(share);
    }
    encoded.own = message.SerializeAsString();
    if (encoded.shared)
        encoded.own += compressed_configuration_header(encoded.shared->size());
    return encoded;
}

std::optional<ControlAnswer> decode_answer(std::string const& bytes)
{
    wire::ControlAnswer message;
    if (!message.ParseFromString(bytes) || message.source() == 0)
        return {};
    ControlAnswer answer;
    answer.source = message.source();
    answer.endpoints.revision = message.revision();
    answer.endpoints.is_whole = message.is_whole();
    for (auto const& endpoint : message.endpoints()) {
        auto change = endpoint_from(endpoint);
        if (!change)
            return {};
        answer.endpoints.changes.push_back(std::move(*change));
    }
    answer.endpoints_age = duration_from(message.endpoints_age_us());
    answer.endpoints_next = message.endpoints_next();
    answer.configuration_version = message.configuration_version();
    if (!move_configuration(message, answer) || !move_lists(message, answer))
        return {};
    answer.configuration_age = duration_from(message.configuration_age_us());
    answer.configuration_next = message.configuration_next();
    if (message.has_configuration_known_us())
        answer.configuration_known_for = duration_from(message.configuration_known_us());
    if (message.has_store_returned_us_ago())
        answer.store_returned_ago = duration_from(message.store_returned_us_ago());
    answer.leader_announcement = message.leader_news();
    answer.leader_announcement_age = duration_from(message.leader_news_age_us());
    if (message.knows_evacuations())
        answer.evacuated_domains.emplace(message.evacuated_domains().begin(), message.evacuated_domains().end());
    answer.store_era = message.store_era();
    if (message.has_store_era_risen_us_ago())
        answer.store_era_began_ago = duration_from(message.store_era_risen_us_ago());
    for (auto const& wire_message : message.answer_shares())
        answer.answer_shares.emplace(wire_message.service(), std::min(non_negative(wire_message.share()), 1.0));
    return answer;
}

namespace {

void put_box(BoxRecord const& record, wire::Box& message)
{
    put_address(record.address, *message.mutable_address());
    message.set_failure_domain(record.failure_domain);
    message.set_link_bytes_per_second(record.link_bytes_per_second);
    message.set_forwarding_port(record.forwarding_port);
}

std::optional<BoxRecord> box_from(std::string const& name, wire::Box const& message)
{
    auto address = address_from(message.address());
    if (!address || message.forwarding_port() > std::numeric_limits<std::uint16_t>::max())
        return {};
    return BoxRecord { name, std::move(*address), message.failure_domain(), message.link_bytes_per_second(),
        static_cast<std::uint16_t>(message.forwarding_port()) };
}

}

std::string encode(BoxRecord const& record)
{
    wire::Box message;
    put_box(record, message);
    return message.SerializeAsString();
}

std::optional<BoxRecord> decode_box(std::string const& name, std::string const& bytes)
{
    wire::Box message;
    return message.ParseFromString(bytes) ? box_from(name, message) : std::nullopt;
}

std::string encode_relay(BoxRecord const& record)
{
    wire::Relay message;
    message.set_name(record.name);
    put_box(record, *message.mutable_box());
    return message.SerializeAsString();
}

std::optional<BoxRecord> decode_relay(std::string const& bytes)
{
    wire::Relay message;
    if (!message.ParseFromString(bytes) || message.name().empty())
        return {};
    return box_from(message.name(), message.box());
}

}
