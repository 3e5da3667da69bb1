#include <LibGateway/StreamOriginExchange.h>

#include <LibLog/EventLog.h>
#include <map>

namespace Gateway {

using Core::monotonic_now;
using Membership::KnownStream;
using Membership::StreamOriginMessage;
using Routing::SocketAddress;
using Routing::StreamId;
using Routing::StreamOrigin;

void StreamOriginExchange::set_transport(
    Membership::BoxDirectory const& known, std::string own_name, SendToAddress send_to_address)
{
    this->boxes = &known;
    this->own_name = std::move(own_name);
    this->send_to_address = std::move(send_to_address);
}

void StreamOriginExchange::stream_began(KnownStream const& stream)
{
    this->origins.put(stream, monotonic_now());
    if (!this->send_to_address)
        return;
    auto const bytes = Membership::encode(StreamOriginMessage { { stream }, {}, {} });
    for (auto const& box : Membership::stream_holders(*this->boxes, this->own_name, stream.stream, holders))
        this->send_to_address(box.address, bytes);
}

Task<std::optional<StreamOrigin>> StreamOriginExchange::find(StreamId stream)
{
    if (auto const known = this->origins.find(stream, monotonic_now()))
        co_return known->origin;
    if (!this->send_to_address)
        co_return std::nullopt;
    auto const lookup = std::make_shared<Lookup>(this->context, stream);
    for (auto const& box : Membership::stream_holders(*this->boxes, this->own_name, stream, asked_boxes))
        lookup->unanswered.insert(box.address);
    this->lookups.push_back(lookup);
    for (int question = 0; question < max_questions && !lookup->origin && !lookup->unanswered.empty(); ++question) {
        this->ask(*lookup);
        co_await lookup->pause.wait(answer_timeout);
    }
    this->lookups.remove(lookup);
    co_return lookup->origin;
}

void StreamOriginExchange::ask(Lookup const& lookup) const
{
    auto const bytes = Membership::encode(StreamOriginMessage { {}, { lookup.stream }, {} });
    for (auto const& address : lookup.unanswered)
        this->send_to_address(address, bytes);
}

void StreamOriginExchange::receive(StreamOriginMessage const& message, SocketAddress const& from, Reply const& reply)
{
    auto const now = monotonic_now();
    for (auto const& known : message.known)
        this->origins.put(known, now);
    for (auto const& lookup : this->lookups) {
        if (auto const known = this->origins.find(lookup->stream, now))
            lookup->origin = known->origin;
        if (std::ranges::find(message.unknown, lookup->stream) != message.unknown.end())
            lookup->unanswered.erase(from);
        if (lookup->origin || lookup->unanswered.empty())
            lookup->pause.interrupt();
    }
    if (!message.asked.empty())
        reply(Membership::encode(this->answer(message.asked)));
}

StreamOriginMessage StreamOriginExchange::answer(std::vector<StreamId> const& asked) const
{
    StreamOriginMessage answer;
    for (auto const stream : asked) {
        if (auto const known = this->origins.find(stream, monotonic_now()))
            answer.known.push_back(*known);
        else
            answer.unknown.push_back(stream);
    }
    return answer;
}

void StreamOriginExchange::hand_over() const
{
    if (!this->send_to_address)
        return;
    auto const streams = this->origins.all(monotonic_now());
    std::map<SocketAddress, StreamOriginMessage> messages;
    for (auto const& stream : streams) {
        for (auto const& box : Membership::stream_holders(*this->boxes, this->own_name, stream.stream, holders)) {
            auto& message = messages[box.address];
            message.known.push_back(stream);
            if (message.known.size() < Membership::max_streams_per_message)
                continue;
            this->send_to_address(box.address, Membership::encode(message));
            message.known.clear();
        }
    }
    for (auto const& [address, message] : messages) {
        if (!message.known.empty())
            this->send_to_address(address, Membership::encode(message));
    }
    Log::EventLine("streams_handed_over").with("streams", streams.size()).with("boxes", messages.size()).info();
}

}
