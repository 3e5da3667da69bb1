// Guards against engines that seem slow since clients read their answers slowly, and then fast since the events that
// waited meanwhile arrive at once.

#include <TestMain.h>

#include "ScriptedExchange.h"
#include <sstream>

using namespace Gateway;

namespace {

std::string chunk_of(std::string const& piece)
{
    std::ostringstream chunk;
    chunk << std::hex << piece.size() << "\r\n" << piece << "\r\n";
    return chunk.str();
}

/// A stream of an engine through a box whose buffers to its client are small.
struct EngineStream {
    EngineStream()
        : exchange(RouteKind::Streaming)
    {
        auto changed = this->exchange.state.router.configuration()->configuration();
        ++changed.version;
        changed.services = { { "desk", 96, Routing::EngineTraits { 64, 300'000, 8 } } };
        this->exchange.state.router.offer_configuration(
            std::make_shared<Routing::ConfigurationSnapshot const>(std::move(changed)), Core::monotonic_now());
        constexpr int small_buffer = 4096;
        this->exchange.socket->set_option(asio::socket_base::send_buffer_size(small_buffer));
        this->exchange.client.far.set_option(asio::socket_base::receive_buffer_size(small_buffer));
        this->exchange.start();
        this->exchange.wait_for_arrival();
        this->unsent = stream_head + chunk_of("data: first\n\n");
        REQUIRE(this->exchange.reach([this] { return this->send() && this->has_received("data: first"); }));
    }

    /// Sends what the connection takes. Returns whether nothing is left.
    bool send()
    {
        error_code error;
        auto& socket = this->exchange.endpoints[0]->connections.at(0)->socket;
        auto const size = this->unsent.empty() ? 0 : socket.write_some(asio::buffer(this->unsent), error);
        this->unsent.erase(0, size);
        return this->unsent.empty();
    }
    [[nodiscard]] bool has_received(std::string_view text) const
    {
        return this->exchange.received.find(text) != std::string::npos;
    }
    /// Two samples' worth of events, and the end of the answer.
    void finish()
    {
        for (int event = 0; event < 17; ++event) {
            auto const text = "data: " + std::to_string(event) + "\n\n";
            this->unsent += chunk_of(text);
            REQUIRE(this->exchange.reach([&] { return this->send() && this->has_received(text); }));
        }
        this->unsent = "0\r\n\r\n";
        REQUIRE(this->send());
        REQUIRE(this->exchange.ends());
    }
    [[nodiscard]] double step_milliseconds() const
    {
        auto const report = this->exchange.state.router.load_report(Core::monotonic_now());
        return report.services.at("desk").speed.step_milliseconds;
    }

    Exchange exchange;
    std::string unsent;
};

std::string const large_event = "data: " + std::string(400'000, 'x') + "\n\n";
constexpr double prior_step = Routing::EngineSpeed {}.step_milliseconds;

}

TEST_CASE("the events of an answer that its client reads at once are measured")
{
    EngineStream stream;
    stream.finish();
    CHECK(stream.step_milliseconds() != prior_step);
}

TEST_CASE("an answer that its client did not accept for a while gives no samples any more")
{
    EngineStream stream;
    stream.unsent = chunk_of(large_event);
    // The client reads nothing for longer than a write may take.
    auto const until = Core::monotonic_now() + std::chrono::milliseconds(400);
    REQUIRE(run_until(stream.exchange.context, [&] {
        static_cast<void>(stream.send());
        return Core::monotonic_now() > until;
    }));
    CHECK(stream.exchange.received.size() < large_event.size());
    REQUIRE(stream.exchange.reach([&] { return stream.send(); }));
    stream.finish();
    CHECK(stream.exchange.received.size() > large_event.size());
    CHECK(stream.step_milliseconds() == prior_step);
}
