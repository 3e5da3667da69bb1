#include <LibHttp/BlockingClient.h>

#include <LibHttp/MessageFraming.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <netdb.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace Http {

namespace {

constexpr std::uint32_t max_head_bytes = 64 * 1024;
/// What may precede the answer. Each interim answer counts as so many bytes at least, since reading many short ones
/// costs processor time.
constexpr std::size_t max_interim_bytes = 64 * 1024;
constexpr std::size_t min_interim_bytes = 4 * 1024;
constexpr std::size_t piece_bytes = 16 * 1024;
/// Time in which the peer takes none of the request.
constexpr Duration write_timeout { std::chrono::seconds(5) };

using Parser = http::response_parser<http::buffer_body>;

error_code last_system_error()
{
    return { errno, boost::system::system_category() };
}

std::string encode(OutgoingRequest const& request, std::string const& host)
{
    auto head = request.method + " " + request.target + " HTTP/1.1\r\nHost: " + host + "\r\n";
    for (auto const& [name, value] : request.fields)
        head.append(name).append(": ").append(value).append("\r\n");
    if (request.method != "GET")
        head += "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
    return head + "\r\n";
}

/// Connects to the address within the time. Returns nothing if that fails.
std::optional<int> open_socket(addrinfo const& place, Duration timeout, int receive_buffer_bytes)
{
    int const opened = socket(place.ai_family, place.ai_socktype | SOCK_NONBLOCK | SOCK_CLOEXEC, place.ai_protocol);
    if (opened < 0)
        return {};
    if (receive_buffer_bytes > 0)
        setsockopt(opened, SOL_SOCKET, SO_RCVBUF, &receive_buffer_bytes, sizeof receive_buffer_bytes);
    int const at_once = 1;
    setsockopt(opened, IPPROTO_TCP, TCP_NODELAY, &at_once, sizeof at_once);
    bool is_connected = connect(opened, place.ai_addr, place.ai_addrlen) == 0;
    if (!is_connected && errno == EINPROGRESS) {
        pollfd waited { opened, POLLOUT, 0 };
        auto const milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(timeout).count();
        int error = 0;
        socklen_t size = sizeof error;
        is_connected = poll(&waited, 1, static_cast<int>(milliseconds)) > 0
            && getsockopt(opened, SOL_SOCKET, SO_ERROR, &error, &size) == 0 && error == 0;
    }
    if (is_connected)
        return opened;
    close(opened);
    return {};
}

}

/// One connection. Reads and writes wait for the socket for as long as the limits of the call allow.
class BlockingClient::Connection {
public:
    /// Takes over the connected socket.
    explicit Connection(int socket)
        : socket(socket)
    {
    }
    ~Connection() { close(this->socket); }
    Connection(Connection const&) = delete;
    Connection& operator=(Connection const&) = delete;

    void begin_call(CallLimits const& call_limits)
    {
        this->silence = call_limits.silence;
        this->ends_at.reset();
        if (call_limits.whole)
            this->ends_at = Core::monotonic_now() + *call_limits.whole;
    }

    /// Whether the peer has neither closed the connection nor sent anything since the last answer.
    [[nodiscard]] bool is_idle()
    {
        char byte = 0;
        auto const size = recv(this->socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return this->buffer.size() == 0 && size < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
    }

    /// Safe to call while another thread reads or writes.
    void shut_down() { shutdown(this->socket, SHUT_RDWR); }

    // What the HTTP library's synchronous reads need.
    template <typename Buffers> std::size_t read_some(Buffers const& buffers)
    {
        error_code error;
        auto const size = this->read_some(buffers, error);
        if (error)
            throw boost::system::system_error(error);
        return size;
    }
    template <typename Buffers> std::size_t read_some(Buffers const& buffers, error_code& error)
    {
        auto const first = *asio::buffer_sequence_begin(buffers);
        for (;;) {
            auto const size = recv(this->socket, first.data(), first.size(), MSG_DONTWAIT);
            if (size > 0) {
                error = {};
                return static_cast<std::size_t>(size);
            }
            error = size == 0 ? error_code(asio::error::eof) : last_system_error();
            if (size == 0 || !this->may_wait(POLLIN, this->silence, error))
                return 0;
        }
    }

    [[nodiscard]] error_code write(std::string_view bytes)
    {
        error_code error;
        while (!bytes.empty()) {
            auto const size = send(this->socket, bytes.data(), bytes.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
            if (size >= 0) {
                bytes.remove_prefix(static_cast<std::size_t>(size));
                continue;
            }
            error = last_system_error();
            if (!this->may_wait(POLLOUT, write_timeout, error))
                return error;
        }
        return {};
    }

    flat_buffer buffer;

private:
    /// After an operation that could not be done at once: waits until it can. Returns false, with the error, if the
    /// operation failed or the time is over.
    [[nodiscard]] bool may_wait(short events, Duration timeout, error_code& error)
    {
        if (error == asio::error::interrupted)
            return true;
        if (error != asio::error::would_block && error != asio::error::try_again)
            return false;
        if (this->ends_at)
            timeout = std::min(timeout, std::max(Duration { 0 }, *this->ends_at - Core::monotonic_now()));
        pollfd waited { this->socket, events, 0 };
        auto const milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(timeout).count();
        auto const ready
            = poll(&waited, 1, static_cast<int>(std::min<long>(milliseconds, std::numeric_limits<int>::max())));
        if (ready > 0 || (ready < 0 && errno == EINTR))
            return true;
        error = ready == 0 ? error_code(asio::error::timed_out) : last_system_error();
        return false;
    }

    int socket;
    Duration silence { 0 };
    std::optional<Core::Instant> ends_at;
};

namespace {

/// Reads the answer to one request from a connection.
template <typename Stream> class AnswerReader {
public:
    AnswerReader(Stream& stream, flat_buffer& buffer, bool is_request_written)
        : stream(stream)
        , buffer(buffer)
        , is_request_written(is_request_written)
    {
        buffer.max_size(max_head_bytes + buffered_beyond_head);
    }

    [[nodiscard]] error_code read_head()
    {
        std::size_t interim_bytes = 0;
        for (;;) {
            this->parser.emplace();
            this->parser->header_limit(max_head_bytes);
            this->parser->body_limit(boost::none);
            error_code error;
            auto const size = http::read_header(this->stream, this->buffer, *this->parser, error);
            if (error)
                return error;
            if (!is_interim_status(this->status()))
                break;
            interim_bytes += std::max(size, min_interim_bytes);
            if (interim_bytes > max_interim_bytes)
                return http::error::header_limit;
        }
        if (!is_final_status(this->status()))
            return http::error::bad_status;
        if (framing_fault(this->parser->get(), this->parser->get().version(), this->parser->chunked()))
            return http::error::bad_transfer_encoding;
        return {};
    }

    /// The next piece of the body; empty at its end.
    [[nodiscard]] std::string_view read_piece(error_code& error)
    {
        while (!this->parser->is_done()) {
            auto& body = this->parser->get().body();
            body.data = this->piece.data();
            body.size = this->piece.size();
            body.more = true;
            http::read_some(this->stream, this->buffer, *this->parser, error);
            if (error == http::error::need_buffer)
                error = {};
            // NOTE: The kernel reports a reset only once, and the write may have taken it.
            if (!error && this->parser->is_done() && this->parser->need_eof() && !this->is_request_written)
                error = http::error::partial_message;
            auto const received = this->piece.size() - body.size;
            if (error || received > 0)
                return { this->piece.data(), error ? 0 : received };
        }
        return {};
    }

    [[nodiscard]] unsigned status() const { return this->parser->get().result_int(); }
    [[nodiscard]] AnswerHead head() const
    {
        auto const type = this->parser->get()[http::field::content_type];
        return { this->status(), std::string(type.data(), type.size()) };
    }
    [[nodiscard]] bool keeps_connection() const
    {
        return this->is_request_written && this->parser->is_done() && this->parser->keep_alive()
            && this->buffer.size() == 0;
    }

private:
    Stream& stream;
    flat_buffer& buffer;
    bool is_request_written;
    std::optional<Parser> parser;
    std::array<char, piece_bytes> piece {};
};

}

BlockingClient::BlockingClient(std::string host, int port, int receive_buffer_bytes)
    : host(std::move(host))
    , port(port)
    , receive_buffer_bytes(receive_buffer_bytes)
{
}

BlockingClient::~BlockingClient() = default;

std::optional<CallFailure> BlockingClient::call(
    OutgoingRequest const& request, CallLimits const& limits, Receiver const& receiver)
{
    auto const used = this->connect(limits.connect);
    if (this->is_stopped())
        return CallFailure { CallFault::Stopped, "stopped" };
    if (!used)
        return CallFailure { CallFault::NotConnected, "no connection" };
    auto const fail = [this](CallFault fault, std::string reason) {
        bool const was_stopped = this->is_stopped();
        static_cast<void>(this->use(nullptr));
        return CallFailure { was_stopped ? CallFault::Stopped : fault, std::move(reason) };
    };
    used->begin_call(limits);
    auto error = used->write(encode(request, this->host + ":" + std::to_string(this->port)));
    if (!error)
        error = used->write(request.body);
    // NOTE: A peer that answers before it has read a long body may have closed the connection behind its answer.
    auto const reader = std::make_unique<AnswerReader<Connection>>(*used, used->buffer, !error);
    error = reader->read_head();
    if (error)
        return fail(CallFault::Broken, "reading the head of the answer: " + error.message());
    if (!receiver.on_head(reader->head()))
        return fail(CallFault::Stopped, "not wanted any more");
    std::size_t body_bytes = 0;
    for (;;) {
        auto const piece = reader->read_piece(error);
        body_bytes += piece.size();
        if (error)
            return fail(CallFault::Broken, "reading the body of the answer: " + error.message());
        if (body_bytes > limits.body_bytes)
            return fail(CallFault::TooLong, "the answer exceeds " + std::to_string(limits.body_bytes) + " bytes");
        if (piece.empty())
            break;
        if (!receiver.on_piece(piece))
            return fail(CallFault::Stopped, "not wanted any more");
    }
    if (!reader->keeps_connection())
        static_cast<void>(this->use(nullptr));
    return {};
}

std::optional<WholeAnswer> BlockingClient::fetch(
    OutgoingRequest const& request, CallLimits const& limits, CallFailure& failure)
{
    WholeAnswer answer;
    auto const on_head = [&answer](AnswerHead const& head) {
        answer.status = head.status;
        return true;
    };
    auto const on_piece = [&answer](std::string_view piece) {
        answer.body += piece;
        return true;
    };
    auto broken = this->call(request, limits, { on_head, on_piece });
    if (!broken)
        return answer;
    failure = std::move(*broken);
    return {};
}

void BlockingClient::stop()
{
    std::scoped_lock const lock(this->mutex);
    this->stopped = true;
    if (this->connection)
        this->connection->shut_down();
}

bool BlockingClient::is_stopped()
{
    std::scoped_lock const lock(this->mutex);
    return this->stopped;
}

std::shared_ptr<BlockingClient::Connection> BlockingClient::current()
{
    std::scoped_lock const lock(this->mutex);
    return this->connection;
}

bool BlockingClient::use(std::shared_ptr<Connection> opened)
{
    std::scoped_lock const lock(this->mutex);
    this->connection = this->stopped ? nullptr : std::move(opened);
    return !this->stopped;
}

std::shared_ptr<BlockingClient::Connection> BlockingClient::connect(Duration timeout)
{
    if (auto kept = this->current(); kept && kept->is_idle())
        return kept;
    addrinfo hints {};
    hints.ai_socktype = SOCK_STREAM;
    hints.ai_flags = AI_NUMERICSERV;
    addrinfo* found = nullptr;
    if (getaddrinfo(this->host.c_str(), std::to_string(this->port).c_str(), &hints, &found) != 0)
        return {};
    std::unique_ptr<addrinfo, decltype(&freeaddrinfo)> const places(found, freeaddrinfo);
    for (auto const* place = found; place != nullptr; place = place->ai_next) {
        auto const opened = open_socket(*place, timeout, this->receive_buffer_bytes);
        if (!opened)
            continue;
        auto connected = std::make_shared<Connection>(*opened);
        return this->use(connected) ? connected : nullptr;
    }
    return {};
}

}
