// Guards against memory without bounds for clients that do not read, and answers that stop for good at a limit.

#include <TestMain.h>

#include "SlowReaders.h"

using namespace SlowReaders;

TEST_CASE("an answer beyond its limit stops being read, and goes on when the client reads")
{
    auto const body = events_of(huge_events);
    Box box(RouteKind::Idempotent);
    auto [client, connection] = box.start();
    connection.answer = shared(chunked_head + chunk_of(body) + last_chunk);
    box.run_until_idle();
    CHECK_FALSE(connection.has_sent_all());
    CHECK(box.held() <= AnswerBuffer::max_answer_bytes);
    CHECK(box.held() > AnswerBuffer::max_answer_bytes * 3 / 4);
    CHECK(box.has_metric("cleatbeam_answers_at_limit_total{limit=\"answer\"} 1"));
    client.start_reading();
    REQUIRE(box.reach([&client = client] { return client.received.ends_with(last_chunk); }));
    CHECK(whole_body_of(client.received) == body);
    // The client may have the last bytes before the box has seen its write end.
    CHECK(box.reach([&box] { return box.held() == 0; }));
}

TEST_CASE("500 clients that do not read stay within the memory for answers, and do not delay a fast reader")
{
    constexpr std::size_t slow_clients = 500;
    constexpr Core::Duration max_delay { std::chrono::milliseconds(100) };
    Box box(RouteKind::Idempotent);
    auto const answer = shared(chunked_head + chunk_of(events_of(huge_events)) + last_chunk);
    for (std::size_t index = 0; index < slow_clients; ++index) {
        auto [client, connection] = box.start();
        connection.answer = answer;
    }
    box.run_until_idle();
    MESSAGE("most held: ", box.most_held, " of ", limit_of_box);
    CHECK(box.most_held > limit_of_box / 2);
    // Each answer may hold one piece that was read before the client turned out to be slow.
    CHECK(box.most_held <= limit_of_box + slow_clients * (EndpointCall::piece_bytes + 32));
    CHECK(box.has_metric("cleatbeam_answers_at_limit_total{limit=\"box\"}"));

    auto [fast, connection] = box.start();
    fast.start_reading();
    connection.answer = shared(chunked_head);
    Core::Duration longest { 0 };
    for (std::size_t index = 1; index <= 100; ++index) {
        // So short that the box passes it on in one piece.
        auto const event = "id: " + std::to_string(index) + "\n\n";
        connection.answer = shared(*connection.answer + chunk_of(event));
        auto const sent_at = Core::monotonic_now();
        // Only the fast client and its endpoint are served by the test, so that it measures the box.
        REQUIRE(run_until(box.context, [&fast = fast, &connection = connection, &box, &event] {
            box.endpoint.poll(connection);
            fast.poll();
            return fast.received.ends_with(event + "\r\n");
        }));
        longest = std::max(longest, Core::monotonic_now() - sent_at);
    }
    MESSAGE("longest delay of the fast reader: ", Core::to_milliseconds(longest), " ms");
    CHECK(longest < max_delay);
}

TEST_CASE("when clients read again, answers that waited for the memory of the box are read on to their end")
{
    constexpr std::size_t slow_clients = 30;
    auto const body = events_of(2000);
    Box box(RouteKind::Idempotent);
    box.state.answer_buffers->set_max_bytes(AnswerBuffer::max_answer_bytes);
    for (std::size_t index = 0; index < slow_clients; ++index) {
        auto [client, connection] = box.start();
        connection.answer = shared(chunked_head + chunk_of(body) + last_chunk);
    }
    box.run_until_idle();
    for (auto const& client : box.clients)
        client->start_reading();
    REQUIRE(box.reach([&box] {
        return std::ranges::all_of(
            box.clients, [](auto const& client) { return client->received.ends_with(last_chunk); });
    }));
    for (auto const& client : box.clients)
        CHECK(whole_body_of(client->received) == body);
    CHECK(box.reach([&box] { return box.held() == 0; }));
}

TEST_CASE("the process may stop while answers are held and wait for room")
{
    auto box = std::make_unique<Box>(RouteKind::Idempotent);
    box->state.answer_buffers->set_max_bytes(AnswerBuffer::max_answer_bytes);
    auto const pool = box->state.answer_buffers;
    auto const answer = shared(chunked_head + chunk_of(events_of(huge_events)) + last_chunk);
    for (int index = 0; index < 5; ++index) {
        auto [client, connection] = box->start();
        connection.answer = answer;
    }
    box->run_until_idle();
    REQUIRE(pool->held_bytes() > 0);
    SUBCASE("with its clients") { }
    SUBCASE("after its clients")
    {
        box->clients.clear();
    }
    box.reset();
    CHECK(pool->held_bytes() == 0);
}
