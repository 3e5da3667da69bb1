#include <TestMain.h>

#include "CapturedLog.h"
#include "ScriptedExchange.h"
#include <LibGateway/ClientConnection.h>

using namespace Gateway;

namespace {

/// A listener whose queue is full, so that connecting to it neither succeeds nor fails.
struct UnreachableHost {
    explicit UnreachableHost(asio::io_context& context)
        : acceptor(context)
    {
        tcp::endpoint const any(asio::ip::address_v4::loopback(), 0);
        this->acceptor.open(any.protocol());
        this->acceptor.bind(any);
        this->acceptor.listen(0);
        for (auto& socket : this->queued) {
            socket.emplace(context);
            socket->async_connect(this->acceptor.local_endpoint(), [](error_code) {});
        }
    }
    [[nodiscard]] std::uint16_t port() const { return this->acceptor.local_endpoint().port(); }

    tcp::acceptor acceptor;
    std::array<std::optional<tcp::socket>, 4> queued;
};

/// A port on loopback at which nothing listens.
std::uint16_t closed_port(asio::io_context& context)
{
    tcp::acceptor acceptor(context, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    return acceptor.local_endpoint().port();
}

/// A box that can't connect to any endpoint, and another one that can, unless a test says otherwise.
struct TwoBoxes : Exchange {
    explicit TwoBoxes(RouteKind kind, unsigned attempts = 2)
        : Exchange(kind, attempts, endpoint_count)
        , other(this->context, Routing::RouterSettings { "hall", {}, { 0.2, std::chrono::seconds(10), 100 }, {} }, 2)
        , boxes_acceptor(this->context, tcp::endpoint(asio::ip::address_v4::loopback(), 0))
        , unreachable(this->context)
    {
        this->other.router.offer_configuration(this->state.router.configuration(), Core::monotonic_now());
        this->other.clients.set_max_connections(10);
        this->other.budget->set_limits({ 1 << 20, 0, 0 });
        for (int index = 0; index < endpoint_count; ++index)
            this->put(this->other, index, this->endpoints[index]->acceptor.local_endpoint().port());
        this->cut_off(this->state, this->unreachable.port());
        this->boxes.replace_all({ { "a", {}, "hall" },
            { "b", { "127.0.0.1", 1 }, "hall", 0, this->boxes_acceptor.local_endpoint().port() } });
        this->state.forwarder.set_boxes(this->boxes, "a");
        this->other.forwarder.set_boxes(this->boxes, "b");
        asio::co_spawn(this->context, this->state.reachability.run(), asio::detached);
        asio::co_spawn(this->context, this->other.reachability.run(), asio::detached);
        asio::co_spawn(
            this->context, [this] { return this->accept(); }, asio::detached);
    }

    void put(GatewayState& box, int index, std::uint16_t port) const
    {
        box.router.put_endpoint(
            { "i-" + std::to_string(index), "desk", { "127.0.0.1", port }, "hall", 6, false }, Core::monotonic_now());
    }
    void cut_off(GatewayState& box, std::uint16_t port) const
    {
        for (int index = 0; index < endpoint_count; ++index)
            this->put(box, index, port);
    }
    Task<void> accept()
    {
        for (;;) {
            auto [error, accepted] = co_await this->boxes_acceptor.async_accept(as_value);
            if (error)
                co_return;
            if (this->cut_answer) {
                // NOTE: The other box's answer to a request that it has read, or to a probe.
                std::array<char, 16384> piece {};
                co_await accepted.async_read_some(asio::buffer(piece), as_value);
                co_await asio::async_write(accepted, asio::buffer(*this->cut_answer), as_value);
                ++this->cut_answers;
                continue;
            }
            this->connection = std::make_shared<ClientConnection>(this->other, std::move(accepted),
                ClientConnection::Peer::Box, this->other.budget->try_open(this->other.clients, Core::monotonic_now()));
            asio::co_spawn(
                this->context, [served = this->connection] { return served->run(); }, asio::detached);
        }
    }
    void wait_until_cut_off()
    {
        REQUIRE(this->reach([&] { return this->state.reachability.is_cut_off(); }));
    }

    static constexpr int endpoint_count = 4;
    /// What the other box answers before it closes the connection; unset for what it really does.
    std::optional<std::string> cut_answer;
    int cut_answers { 0 };

    GatewayState other;
    tcp::acceptor boxes_acceptor;
    UnreachableHost unreachable;
    Membership::BoxDirectory boxes;
    std::shared_ptr<ClientConnection> connection;
};

}

TEST_CASE("a request is served by way of another box where this one can't connect to any endpoint")
{
    auto kind = RouteKind::Idempotent;
    SUBCASE("repeatable")
    {
        kind = RouteKind::Idempotent;
    }
    SUBCASE("not repeatable")
    {
        kind = RouteKind::NonIdempotent;
    }
    TwoBoxes site(kind);
    site.start("body");
    auto const where = site.wait_for_arrival();
    auto const& arrived = site.endpoints[where]->connections[0]->received;
    CHECK(arrived.starts_with("POST /x HTTP/1.1\r\n"));
    CHECK(arrived.find("X-Expect-Instance: i-" + std::to_string(where)) != std::string::npos);
    CHECK(arrived.find("Cleatbeam") == std::string::npos);
    CHECK(arrived.find("X-Key") == std::string::npos);
    site.endpoints[where]->answer(whole_answer);
    REQUIRE(site.ends());
    CHECK(site.received == whole_answer);
    CHECK(site.arrival_count() == 1);
    CHECK(site.keeps_client);
}

// Guards against a client that takes an answer for whole whose head the endpoint or the other box did not finish.
TEST_CASE("a client gets no success by way of another box if the head of an answer is not finished")
{
    std::string const head = stream_head;
    constexpr std::size_t step = 25;
    for (std::size_t length = 0; length < head.size(); length += step) {
        auto const cut = head.substr(0, length);
        CAPTURE(cut);
        TwoBoxes by_endpoint(RouteKind::NonIdempotent, 1);
        by_endpoint.start();
        auto& endpoint = *by_endpoint.endpoints[by_endpoint.wait_for_arrival()];
        endpoint.answer(cut);
        endpoint.close();
        REQUIRE(by_endpoint.ends());
        CHECK_FALSE(by_endpoint.received.starts_with("HTTP/1.1 200"));
        TwoBoxes by_box(RouteKind::NonIdempotent, 1);
        by_box.cut_answer = cut;
        by_box.start();
        REQUIRE(by_box.ends());
        CHECK(by_box.cut_answers > 0);
        CHECK_FALSE(by_box.received.starts_with("HTTP/1.1 200"));
    }
}

TEST_CASE("of the two boxes that log a forwarded request's end, one says that it came from a box, so it counts once")
{
    CapturedLog const log;
    TwoBoxes site(RouteKind::Idempotent);
    site.start("body");
    site.endpoints[site.wait_for_arrival()]->answer(whole_answer);
    REQUIRE(site.ends());
    REQUIRE(site.reach([&] { return log.events("request_ended").size() == 2; }));
    auto const ends = log.events("request_ended");
    CHECK(ends[0].at("from_box") != ends[1].at("from_box"));
    // The box that is cut off has placed the request before at endpoints that it could not connect to.
    auto placements = log.events("request_placed");
    REQUIRE_FALSE(placements.empty());
    CHECK(placements.back().contains("from_box"));
    placements.pop_back();
    for (auto const& placement : placements)
        CHECK_FALSE(placement.contains("from_box"));
}

TEST_CASE("events of a forwarded stream are passed on as they come, and it is cancelled when its client leaves")
{
    TwoBoxes site(RouteKind::Streaming);
    site.start();
    auto& endpoint = *site.endpoints[site.wait_for_arrival()];
    endpoint.answer(stream_head + "6\r\nid: 1\n\r\n");
    REQUIRE(site.reach([&] { return site.received.find("id: 1") != std::string::npos; }));
    CHECK_FALSE(site.has_ended);
    site.exchange->client_left();
    REQUIRE(site.ends());
    CHECK(site.reach([&] { return endpoint.connections[0]->is_closed; }));
}

TEST_CASE("two boxes that are cut off don't send a request to and fro, and it is told as not run")
{
    TwoBoxes site(RouteKind::NonIdempotent);
    site.cut_off(site.other, closed_port(site.context));
    site.start("body");
    REQUIRE(site.ends());
    CHECK(site.received.starts_with("HTTP/1.1 503 "));
    CHECK(site.received.find("Retry-After: ") != std::string::npos);
    CHECK(site.arrival_count() == 0);
    CHECK(site.state.clients.connections() == 0);
}

TEST_CASE("a box with an earlier version of the configuration doesn't serve a forwarded request")
{
    TwoBoxes site(RouteKind::NonIdempotent);
    site.use_accounts({ "hall", {}, { 0.2, std::chrono::seconds(10), 100 }, {} });
    site.start("body");
    REQUIRE(site.ends());
    CHECK(site.received.starts_with("HTTP/1.1 503 "));
    CHECK(site.arrival_count() == 0);
}

TEST_CASE("a forwarded request whose endpoint breaks off is not sent again")
{
    TwoBoxes site(RouteKind::NonIdempotent, 3);
    site.start("body");
    site.endpoints[site.wait_for_arrival()]->close();
    REQUIRE(site.ends());
    CHECK(site.received.starts_with("HTTP/1.1 502 "));
    CHECK(site.arrival_count() == 1);
}

TEST_CASE("a request that another box had taken when its connection broke may have run, and goes to no further box")
{
    auto kind = RouteKind::NonIdempotent;
    SUBCASE("not repeatable")
    {
        kind = RouteKind::NonIdempotent;
    }
    SUBCASE("repeatable")
    {
        kind = RouteKind::Idempotent;
    }
    TwoBoxes site(kind, 3);
    FakeEndpoint breaking_box(site.context);
    FakeEndpoint further_box(site.context);
    site.boxes.replace_all({ { "b", { "127.0.0.1", 1 }, "hall", 9, breaking_box.acceptor.local_endpoint().port() } });
    site.start("body");
    REQUIRE(site.reach([&] {
        breaking_box.poll();
        return breaking_box.head_count() > 0;
    }));
    site.boxes.replace_all({ { "b", { "127.0.0.1", 1 }, "hall", 9, breaking_box.acceptor.local_endpoint().port() },
        { "c", { "127.0.0.1", 1 }, "hall", 9, further_box.acceptor.local_endpoint().port() } });
    breaking_box.close();
    REQUIRE(site.ends());
    further_box.poll();
    CHECK(site.received.starts_with("HTTP/1.1 502 "));
    CHECK(further_box.connections.empty());
}

TEST_CASE("a request that the other box has no memory for is told as not run")
{
    TwoBoxes site(RouteKind::NonIdempotent);
    site.other.budget->set_limits({});
    site.start("body");
    REQUIRE(site.ends());
    CHECK(site.received.starts_with("HTTP/1.1 503 "));
    CHECK(site.received.find("Retry-After: ") != std::string::npos);
    CHECK(site.arrival_count() == 0);
}

TEST_CASE("what a client writes into the headers between boxes is neither read nor passed on")
{
    TwoBoxes site(RouteKind::NonIdempotent);
    tcp::socket client(site.context);
    tcp::acceptor acceptor(site.context, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    client.connect(acceptor.local_endpoint());
    auto const connection = std::make_shared<ClientConnection>(site.other, acceptor.accept(),
        ClientConnection::Peer::Client, site.other.budget->try_open(site.other.clients, Core::monotonic_now()));
    asio::co_spawn(
        site.context, [connection] { return connection->run(); }, asio::detached);
    asio::write(client,
        asio::buffer(std::string("POST /x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: 9c41\r\nX-Deadline-Ms: 9000\r\n"
                                 "Cleatbeam-Forwarded: 00\r\nCleatbeam-Answered: 00\r\nContent-Length: 0\r\n\r\n")));
    auto const where = site.wait_for_arrival();
    CHECK(site.endpoints[where]->connections[0]->received.find("Cleatbeam") == std::string::npos);
    site.endpoints[where]->answer("HTTP/1.1 200 OK\r\nX-Attempt-Id: 9c41\r\nX-Response-Stamp: s\r\n"
                                  "Cleatbeam-Answered: 00\r\nContent-Length: 2\r\n\r\nok");
    client.non_blocking(true);
    std::string received;
    REQUIRE(site.reach([&] {
        std::array<char, 4096> piece {};
        error_code error;
        auto const size = client.read_some(asio::buffer(piece), error);
        received.append(piece.data(), size);
        return received.ends_with("ok");
    }));
    CHECK(received == whole_answer);
}

TEST_CASE("a forwarded request whose details can't be read is refused and not run")
{
    TwoBoxes site(RouteKind::NonIdempotent);
    tcp::socket box(site.context);
    box.connect(site.boxes_acceptor.local_endpoint());
    asio::write(box,
        asio::buffer(std::string("POST /x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: 9c41\r\nX-Deadline-Ms: 9000\r\n"
                                 "Cleatbeam-Forwarded: zz\r\nContent-Length: 0\r\n\r\n")));
    box.non_blocking(true);
    std::string received;
    REQUIRE(site.reach([&] {
        std::array<char, 4096> piece {};
        error_code error;
        auto const size = box.read_some(asio::buffer(piece), error);
        received.append(piece.data(), size);
        return received.find("\r\n\r\n") != std::string::npos;
    }));
    CHECK(received.starts_with("HTTP/1.1 503 "));
    CHECK(site.arrival_count() == 0);
}

TEST_CASE("what endpoints reject at the other box is told as not run")
{
    std::string const refusal
        = "HTTP/1.1 503 Full\r\nX-Attempt-Id: 9c41\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
    TwoBoxes site(RouteKind::NonIdempotent, 1);
    site.start("body");
    site.endpoints[site.wait_for_arrival()]->answer(refusal);
    REQUIRE(site.ends());
    CHECK(site.received.starts_with("HTTP/1.1 503 "));
    CHECK(site.received.find("Retry-After: ") != std::string::npos);
}

TEST_CASE("a request that must stay in its regions passes through no box outside of them")
{
    TwoBoxes site(RouteKind::NonIdempotent);
    auto changed = site.state.router.configuration()->configuration();
    ++changed.version;
    changed.routes[0].allowed_regions = { "here" };
    Routing::RouterSettings settings { "hall", {}, { 0.2, std::chrono::seconds(10), 100 }, {} };
    settings.domain_regions = { { "hall", "here" }, { "far-hall", "there" } };
    site.boxes.replace_all({ { "b", { "127.0.0.1", 1 }, "far-hall", 0, site.boxes_acceptor.local_endpoint().port() } });
    for (auto* box : { &site.state, &site.other }) {
        box->router.set_settings(settings);
        box->router.offer_configuration(
            std::make_shared<Routing::ConfigurationSnapshot const>(changed), Core::monotonic_now());
    }
    site.start("body");
    REQUIRE(site.ends());
    CHECK(site.received.starts_with("HTTP/1.1 503 "));
    CHECK(site.arrival_count() == 0);
    CHECK(site.connection == nullptr);
}

TEST_CASE("an endpoint that refuses connections like all others is not recorded as crashed")
{
    TwoBoxes site(RouteKind::NonIdempotent);
    for (int index = 0; index < TwoBoxes::endpoint_count; ++index)
        site.put(site.state, index, site.endpoints[index]->acceptor.local_endpoint().port());
    site.start("body");
    auto const where = site.wait_for_arrival();
    for (auto& endpoint : site.endpoints)
        endpoint->acceptor.close();
    site.endpoints[where]->close();
    REQUIRE(site.ends());
    site.wait_until_cut_off();
    auto const request = Routing::fingerprint_of("", "h", "/x", "body");
    CHECK(site.state.crash_exchange.status(request).crashes == 0);
}
