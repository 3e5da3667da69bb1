#pragma once

#include <LibGateway/Asio.h>
#include <LibMembership/StreamOriginMessage.h>

#include <functional>
#include <list>
#include <set>

namespace Gateway {

/// Keeps which software version began each stream that clients may take up again, so that any box can send them to an
/// endpoint of that version.
///
/// The origin is sent to a few boxes before the first event leaves for the client, which may come back at any box a
/// moment later, and after this box has ended. Datagrams get lost and boxes restart, so there are several of them; a
/// stream that none of them knows is not continued.
class StreamOriginExchange {
public:
    using SendToAddress = std::function<void(Routing::SocketAddress const& address, std::string const& bytes)>;
    /// Sends to the sender of the message that is being handled.
    using Reply = std::function<void(std::string const& bytes)>;

    explicit StreamOriginExchange(asio::io_context& context)
        : context(context)
    {
    }

    /// Until this is called, a box knows only the streams that it served itself.
    void set_transport(Membership::BoxDirectory const& known, std::string own_name, SendToAddress send_to_address);

    /// The first event of the stream is about to be sent to the client.
    void stream_began(Membership::KnownStream const& stream);
    /// Asks other boxes if this one doesn't know the stream. Returns nothing if none of them does, or can be reached.
    [[nodiscard]] Task<std::optional<Routing::StreamOrigin>> find(Routing::StreamId stream);
    /// Applies the message of another box and answers its questions.
    void receive(
        Membership::StreamOriginMessage const& message, Routing::SocketAddress const& from, Reply const& reply);
    /// Sends all streams to the boxes that hold them beside this one, which is about to exit.
    void hand_over() const;
    void expire(Core::Instant now) { this->origins.expire(now); }

private:
    /// A question to other boxes.
    struct Lookup {
        Lookup(asio::io_context& context, Routing::StreamId stream)
            : stream(stream)
            , pause(context)
        {
        }

        Routing::StreamId stream;
        InterruptibleTimer pause;
        std::set<Routing::SocketAddress> unanswered;
        std::optional<Routing::StreamOrigin> origin;
    };

    void ask(Lookup const& lookup) const;
    [[nodiscard]] Membership::StreamOriginMessage answer(std::vector<Routing::StreamId> const& asked) const;

    /// Boxes that hold the origin beside the one that served the stream, since boxes end and datagrams get lost.
    static constexpr std::size_t holders = 3;
    /// More than the holders, since boxes may have been added since.
    static constexpr std::size_t asked_boxes = holders + 2;
    /// Several round trips between failure domains. The question is repeated, since datagrams get lost.
    static constexpr Core::Duration answer_timeout { std::chrono::milliseconds(40) };
    static constexpr int max_questions = 3;

    asio::io_context& context;
    Membership::BoxDirectory const* boxes { nullptr };
    std::string own_name;
    SendToAddress send_to_address;
    Membership::StreamOrigins origins;
    std::list<std::shared_ptr<Lookup>> lookups;
};

}
