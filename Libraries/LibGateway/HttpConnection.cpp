#include <LibGateway/HttpConnection.h>

#include <LibHttp/MessageFraming.h>

#include <fmt/format.h>
#include <platform/RequestCodec.h>

namespace Gateway {

Task<std::optional<HttpAnswer>> HttpConnection::get(
    std::string const& target, CallTimeouts timeouts, Core::LastReason& last_reason)
{
    auto const request
        = fmt::format("GET {} HTTP/1.1\r\nHost: {}:{}\r\n\r\n", target, this->address.host, this->address.port);
    co_return co_await this->call_within(request, timeouts, last_reason);
}

Task<std::optional<HttpAnswer>> HttpConnection::post(std::string const& target, std::string const& body,
    CallTimeouts timeouts, Core::LastReason& last_reason, std::string const& headers)
{
    auto const request = fmt::format("POST {} HTTP/1.1\r\nHost: {}:{}\r\n{}Content-Length: {}\r\n\r\n{}", target,
        this->address.host, this->address.port, headers, body.size(), body);
    co_return co_await this->call_within(request, timeouts, last_reason);
}

Task<std::optional<HttpAnswer>> HttpConnection::call_within(
    std::string const& request, CallTimeouts timeouts, Core::LastReason& last_reason)
{
    auto const watch = std::make_shared<CallWatchdog>(this->context, timeouts, [this] { this->abort(); });
    watch->start();
    HttpAnswer answer;
    auto const error = co_await this->call(request, *watch, answer);
    watch->finish();
    if (!error)
        co_return answer;
    // NOTE: After a lost answer the connection can't be used again, since the next answer on it might belong to this
    // call.
    this->abort();
    last_reason.text = this->failure_text(error, *watch);
    co_return std::nullopt;
}

std::string HttpConnection::failure_text(error_code error, CallWatchdog const& watch) const
{
    auto const what = watch.has_timed_out() ? std::string("no answer in time") : error.message();
    auto const milliseconds = Core::to_milliseconds(watch.elapsed());
    if (this->progress.received_bytes == 0)
        return fmt::format("{}: nothing received in {:.0f} ms", what, milliseconds);
    auto const body = this->progress.body_bytes ? std::to_string(*this->progress.body_bytes) : "unknown";
    return fmt::format("{}: {} bytes received in {:.0f} ms, of a head and a body of {}", what,
        this->progress.received_bytes, milliseconds, body);
}

void HttpConnection::abort()
{
    if (!this->socket)
        return;
    error_code ignored;
    this->socket->close(ignored);
}

Task<error_code> HttpConnection::connect()
{
    this->socket = std::make_shared<tcp::socket>(this->context);
    this->buffer.clear();
    auto const place = to_tcp_endpoint(this->address);
    if (!place)
        co_return asio::error::invalid_argument;
    auto const open_socket = this->socket;
    this->connected_to = this->address;
    auto const [error] = co_await open_socket->async_connect(*place, as_value);
    if (error)
        co_return error;
    error_code ignored;
    open_socket->set_option(tcp::no_delay(true), ignored);
    co_return error_code {};
}

Task<error_code> HttpConnection::call(std::string const& request, CallWatchdog& watch, HttpAnswer& answer)
{
    this->progress = {};
    if (this->connected_to != this->address)
        this->abort();
    if (!this->socket || !this->socket->is_open()) {
        if (auto const error = co_await this->connect())
            co_return error;
    }
    auto const open_socket = this->socket;
    auto const [write_error, written] = co_await asio::async_write(*open_socket, asio::buffer(request), as_value);
    if (write_error)
        co_return write_error;
    co_return co_await this->read_answer(*open_socket, watch, answer);
}

Task<error_code> HttpConnection::read_answer(tcp::socket& open_socket, CallWatchdog& watch, HttpAnswer& answer)
{
    http::response_parser<http::string_body> parser;
    parser.header_limit(max_head_bytes);
    parser.body_limit(max_answer_bytes);
    this->buffer.max_size(max_head_bytes + buffered_beyond_head);
    parser.eager(true);
    while (!parser.is_done()) {
        auto const [error, read] = co_await http::async_read_some(open_socket, this->buffer, parser, as_value);
        if (error)
            co_return error;
        this->progress.received_bytes += read;
        watch.on_progress();
        if (auto const length = parser.content_length())
            this->progress.body_bytes = *length;
    }
    if (!is_final_status(parser.get().result_int()))
        co_return http::error::bad_status;
    if (framing_fault(parser.get(), parser.get().version(), parser.chunked()))
        co_return http::error::bad_transfer_encoding;
    answer.status = parser.get().result_int();
    answer.era = Adapter::decode_store_era(parser.get().base());
    bool const is_kept_open = parser.get().keep_alive() && this->buffer.size() == 0;
    answer.body = std::move(parser.get().body());
    if (!is_kept_open)
        this->abort();
    co_return error_code {};
}

}
