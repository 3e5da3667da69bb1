#include <LibHttp/RequestReceiver.h>

#include <LibHttp/MessageFraming.h>

#include <algorithm>

namespace Http {

namespace {

/// Fits a request line and a few short headers. The buffer grows for longer heads.
constexpr std::size_t typical_head_bytes = 1024;
/// Capacity of the first buffer for a body without a length.
constexpr std::size_t first_body_capacity = 16 * 1024;
constexpr std::size_t min_read_bytes = 512;
/// What the parser allocates for a field beside its name and value.
constexpr std::size_t bytes_per_field = 80;

bool is_parse_error(error_code error)
{
    return error.category() == http::make_error_code(http::error::bad_method).category()
        && error != http::error::end_of_stream && error != http::error::partial_message;
}

std::size_t parsed_head_bytes(http::fields const& fields)
{
    std::size_t bytes = 0;
    for (auto const& field : fields)
        bytes += bytes_per_field + field.name_string().size() + field.value().size();
    return bytes;
}

}

/// Cancels reading when its time is over.
struct RequestReceiver::Guard {
    explicit Guard(tcp::socket& socket)
        : socket(&socket)
        , timer(socket.get_executor())
    {
    }

    /// Null once the receiver is gone.
    tcp::socket* socket;
    asio::steady_timer timer;
    /// Incremented when the guard is armed or disarmed. Cancelling doesn't stop a handler that is already queued, so
    /// handlers compare this with the value they were armed with.
    std::uint64_t generation { 0 };
    bool has_fired { false };
};

RequestReceiver::RequestReceiver(tcp::socket& socket, BudgetedConnection& connection)
    : socket(socket)
    , connection(connection)
    , guard(std::make_shared<Guard>(socket))
{
}

RequestReceiver::~RequestReceiver()
{
    this->disarm_guard();
    this->guard->socket = nullptr;
}

Task<bool> RequestReceiver::wait(Duration timeout)
{
    if (this->buffer.size() > 0)
        co_return true;
    // NOTE: Idle connections hold no read buffer.
    this->buffer.shrink_to_fit();
    this->connection.shrink(0);
    this->arm_guard(timeout);
    auto const [error] = co_await this->socket.async_wait(tcp::socket::wait_read, as_value);
    bool const is_readable = !error && !this->guard->has_fired && !this->is_evicted;
    this->disarm_guard();
    co_return is_readable;
}

Task<ReadEnd> RequestReceiver::read(RequestLimits const& limits)
{
    auto const allowed = limits;
    this->fault_text.clear();
    this->head_bytes = 0;
    this->has_begun_body = false;
    this->memory_per_body_byte = allowed.memory_per_body_byte;
    this->parser.emplace();
    this->parser->header_limit(allowed.max_head_bytes);
    this->parser->body_limit(allowed.max_body_bytes);
    // NOTE: Without a bound the buffer would take in a chunk's head or trailers that never end.
    this->buffer.max_size(std::max<std::size_t>(allowed.max_head_bytes + buffered_beyond_head, this->buffer.size()));
    auto error = co_await this->read_head(allowed.head_timeout);
    if (!error)
        error = co_await this->read_body(allowed.pause_timeout, allowed.max_body_bytes);
    auto const end = this->end_of(error);
    this->disarm_guard();
    if (end == ReadEnd::Complete)
        this->connection.set_state(ConnectionState::Serving, Core::monotonic_now());
    else
        this->discard();
    co_return end;
}

Task<error_code> RequestReceiver::read_head(Duration timeout)
{
    this->connection.set_state(ConnectionState::ReadingHead, Core::monotonic_now());
    this->arm_guard(timeout);
    this->buffer.reserve(typical_head_bytes);
    if (auto const error = this->parse())
        co_return error;
    while (!this->parser->is_header_done()) {
        if (auto const error = co_await this->read_some())
            co_return error;
    }
    auto const& head = this->parser->get();
    if (auto const fault = framing_fault(head, head.version(), this->parser->chunked())) {
        this->fault_text = to_string(*fault);
        co_return http::error::bad_transfer_encoding;
    }
    this->head_bytes = parsed_head_bytes(head);
    this->connection.set_state(ConnectionState::ReadingBody, Core::monotonic_now());
    co_return this->account(0) ? error_code {} : asio::error::no_buffer_space;
}

Task<error_code> RequestReceiver::read_body(Duration pause_timeout, std::uint64_t max_bytes)
{
    if (this->parser->is_done())
        co_return error_code {};
    if (!this->reserve_body(max_bytes))
        co_return asio::error::no_buffer_space;
    if (boost::beast::iequals(this->parser->get()[http::field::expect], "100-continue")) {
        static constexpr std::string_view go_on = "HTTP/1.1 100 Continue\r\n\r\n";
        auto const [error, bytes] = co_await asio::async_write(this->socket, asio::buffer(go_on), as_value);
        if (error)
            co_return error;
    }
    this->parser->eager(true);
    this->has_begun_body = true;
    auto error = this->parse();
    while (!error && !this->parser->is_done()) {
        if (!this->reserve_body(max_bytes))
            co_return asio::error::no_buffer_space;
        this->arm_guard(pause_timeout);
        error = co_await this->read_some();
    }
    co_return error;
}

Task<error_code> RequestReceiver::read_some()
{
    // NOTE: Without Beast's own read operations, which go on reading inside until the head is complete: the buffer is
    // to be accounted for while a head arrives.
    auto const free = this->buffer.max_size() - this->buffer.size();
    if (free == 0)
        co_return http::error::buffer_overflow;
    auto const in_capacity = this->buffer.capacity() - this->buffer.size();
    auto const room = this->buffer.prepare(std::min(free, std::max(in_capacity, min_read_bytes)));
    if (!this->account(this->body_capacity()))
        co_return asio::error::no_buffer_space;
    auto const [error, bytes] = co_await this->socket.async_read_some(room, as_value);
    if (this->is_evicted)
        co_return asio::error::no_buffer_space;
    if (error)
        co_return error;
    this->buffer.commit(bytes);
    this->connection.note_progress(bytes, Core::monotonic_now());
    co_return this->parse();
}

error_code RequestReceiver::parse()
{
    while (this->buffer.size() > 0 && !this->parser->is_done()) {
        error_code error;
        auto const parsed = this->parser->put(this->buffer.data(), error);
        this->buffer.consume(parsed);
        if (error == http::error::need_more)
            return {};
        bool const is_head_complete = this->parser->is_header_done() && !this->has_begun_body;
        if (error || is_head_complete || parsed == 0)
            return error;
    }
    return {};
}

std::size_t RequestReceiver::body_capacity() const
{
    return this->parser->get().body().capacity();
}

bool RequestReceiver::reserve_body(std::uint64_t max_bytes)
{
    auto& body = this->parser->get().body();
    if (auto const length = this->parser->content_length()) {
        auto const bytes = static_cast<std::size_t>(std::min(*length, max_bytes));
        if (body.capacity() >= bytes)
            return true;
        if (!this->account(bytes))
            return false;
        body.reserve(bytes);
        return true;
    }
    // What one read may append: no more than the buffer holds.
    auto const next = body.size() + this->buffer.max_size();
    if (body.capacity() >= next)
        return true;
    auto const longest = static_cast<std::size_t>(max_bytes) + this->buffer.max_size();
    auto const wanted = std::clamp(2 * body.capacity(), std::max(first_body_capacity, next), std::max(longest, next));
    // NOTE: Both buffers exist while the bytes are copied.
    if (!this->account(body.capacity() + wanted))
        return false;
    body.reserve(wanted);
    return this->account(body.capacity());
}

bool RequestReceiver::account(std::size_t body_bytes)
{
    // The head is encoded once more for the endpoint.
    auto const bytes = this->buffer.capacity() + 2 * this->head_bytes + this->memory_per_body_byte * body_bytes;
    return this->connection.try_resize(bytes, Core::monotonic_now());
}

ReadEnd RequestReceiver::end_of(error_code error)
{
    if (!error)
        return ReadEnd::Complete;
    if (this->is_evicted || error == asio::error::no_buffer_space)
        return ReadEnd::NoMemory;
    if (this->guard->has_fired)
        return ReadEnd::TimedOut;
    if (error == http::error::header_limit || is_buffer_full(error))
        return ReadEnd::HeadTooLarge;
    if (error == http::error::body_limit)
        return ReadEnd::BodyTooLarge;
    if (!is_parse_error(error))
        return ReadEnd::Closed;
    if (this->fault_text.empty())
        this->fault_text = error.message();
    return ReadEnd::Malformed;
}

Request RequestReceiver::take()
{
    this->body_bytes = this->body_capacity();
    auto request = this->parser->release();
    this->parser.reset();
    Request taken(std::move(request.base()), std::move(request.body()));
    return taken;
}

void RequestReceiver::discard()
{
    this->parser.reset();
    this->buffer.clear();
    this->buffer.shrink_to_fit();
    this->head_bytes = 0;
    this->connection.set_state(ConnectionState::Refused, Core::monotonic_now());
    this->connection.shrink(0);
}

void RequestReceiver::finish_parsing()
{
    this->connection.shrink(this->buffer.capacity() + 2 * this->head_bytes + this->body_bytes);
}

void RequestReceiver::finish()
{
    this->head_bytes = 0;
    this->connection.shrink(this->buffer.capacity());
    this->connection.set_state(ConnectionState::Idle, Core::monotonic_now());
}

void RequestReceiver::evict()
{
    this->is_evicted = true;
    // NOTE: The parser itself is still in use by the read that is cancelled here.
    if (this->parser)
        std::string().swap(this->parser->get().body());
    error_code ignored;
    this->socket.cancel(ignored);
}

void RequestReceiver::arm_guard(Duration timeout)
{
    this->guard->has_fired = false;
    this->guard->timer.expires_after(timeout);
    this->guard->timer.async_wait([guard = this->guard, armed_for = ++this->guard->generation](error_code cancelled) {
        if (cancelled || guard->generation != armed_for || guard->socket == nullptr)
            return;
        guard->has_fired = true;
        error_code ignored;
        guard->socket->cancel(ignored);
    });
}

void RequestReceiver::disarm_guard()
{
    ++this->guard->generation;
    this->guard->timer.cancel();
}

}
