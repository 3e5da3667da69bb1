// How RequestExchange sends an answer to its client, and holds what a slow client has not taken yet while the rest is
// read from the endpoint.

#include <LibGateway/RequestExchange.h>

#include <LibLog/EventLog.h>

namespace Gateway {

using Core::monotonic_now;
using Core::Reason;

namespace {

constexpr unsigned http_1_1 = 11;
/// Longer than any request takes. Waits end earlier, by an interruption.
constexpr Core::Duration max_wait { std::chrono::hours(24) };

std::string_view limit_name(AnswerBuffer::Room room)
{
    return room == AnswerBuffer::Room::AnswerFull ? "answer" : "box";
}

}

void RequestExchange::pass_to_client(std::string bytes)
{
    // NOTE: A non-idempotent request runs to its end after the client has left, and its answer is discarded.
    if (this->has_client_left || bytes.empty())
        return;
    if (!this->is_writing) {
        auto& socket = *this->client.socket;
        error_code error;
        if (!socket.non_blocking())
            socket.non_blocking(true, error);
        auto const written = error ? 0 : socket.write_some(asio::buffer(bytes), error);
        if (error && error != asio::error::would_block) {
            this->client_is_broken = true;
            this->client_left();
            return;
        }
        bytes.erase(0, written);
    }
    if (!bytes.empty()) {
        bytes.shrink_to_fit();
        this->held.append(std::move(bytes));
    }
    this->held.release_reservation();
    if (this->is_writing || this->held.is_empty())
        return;
    this->is_writing = true;
    this->set_delivering(true);
    asio::co_spawn(
        this->state.context, [self = this->shared_from_this()] { return self->write_held(); }, asio::detached);
}

Task<void> RequestExchange::write_held()
{
    auto const self = this->shared_from_this();
    error_code error;
    while (!error) {
        auto block = this->held.take();
        if (!block)
            break;
        std::size_t written = 0;
        std::tie(error, written) = co_await asio::async_write(*this->client.socket, asio::buffer(*block), as_value);
        if (this->client.budgeted)
            this->client.budgeted->note_progress(written, monotonic_now());
        block.reset();
        this->held.written();
        this->held_progress.interrupt();
    }
    this->is_writing = false;
    this->set_delivering(false);
    if (!error)
        co_return;
    // NOTE: deliver_held() and client_left() note the loss before they end a write.
    if (std::exchange(this->has_dropped_held, true))
        co_return;
    this->client_is_broken = true;
    this->client_left();
}

void RequestExchange::set_delivering(bool is_delivering)
{
    auto const state = is_delivering ? Http::ConnectionState::Delivering : Http::ConnectionState::Serving;
    if (this->client.budgeted)
        this->client.budgeted->set_state(state, monotonic_now());
}

Task<void> RequestExchange::wait_for_room()
{
    auto const began = monotonic_now();
    while (!this->held.is_empty() && !this->is_cancelled()) {
        auto const room = this->held.reserve(max_framed_piece_bytes);
        if (room == AnswerBuffer::Room::Reserved)
            break;
        this->note_limit(room);
        co_await this->held_progress.wait(max_wait);
    }
    // NOTE: Events that waited for the box meanwhile arrive at once afterwards, so they would seem too fast.
    if (monotonic_now() - began > long_wait_for_room)
        this->event_rate.stop();
}

void RequestExchange::note_limit(AnswerBuffer::Room room)
{
    if (std::exchange(this->has_reached_limit, true))
        return;
    this->state.metrics.count_answer_at_limit(limit_name(room));
    Log::EventLine("answer_at_limit")
        .with("id", this->attempt_id)
        .with("route", this->admitted->route->name)
        .with("limit", limit_name(room))
        .with("held_bytes", this->held.held_bytes())
        .with("box_held_bytes", this->state.answer_buffers->held_bytes())
        .with("left_ms", Core::to_milliseconds(this->admitted->expires - monotonic_now()))
        .info();
}

Task<bool> RequestExchange::deliver_held(Core::Instant until)
{
    this->held.release_reservation();
    while (this->is_writing && !this->has_client_left) {
        auto const left = until - monotonic_now();
        if (left <= Core::Duration { 0 })
            break;
        co_await this->held_progress.wait(left);
    }
    if (this->is_writing) {
        // NOTE: A part of the answer may have been sent, so the connection can't carry another one.
        this->keeps_client = false;
        this->has_dropped_held = true;
        this->held.discard();
        error_code ignored;
        this->client.socket->cancel(ignored);
    }
    while (this->is_writing)
        co_await this->held_progress.wait(max_wait);
    co_return !this->has_dropped_held;
}

Task<void> RequestExchange::end_delivered(unsigned status)
{
    bool const is_delivered = co_await this->deliver_held(this->admitted->expires + late_delivery_limit);
    // NOTE: Until then a connection whose close marks the answer's end is reset when it closes.
    if (is_delivered && this->request.version() < http_1_1)
        this->reset_client_on_close(false);
    auto const reason = is_delivered ? Reason::AnswerComplete
        : this->has_client_left      ? Reason::CallerGone
                                     : Reason::AnswerCutShort;
    this->log_end(status, reason);
}

}
