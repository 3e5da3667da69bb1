#include "Clients.h"

#include <httplib.h>
#include <memory>
#include <optional>
#include <pcg_random.hpp>

namespace Soak {

namespace {

constexpr auto longest_answer = std::chrono::seconds(2);
constexpr auto pause = std::chrono::milliseconds(15);

std::string path_of(RequestKind kind)
{
    switch (kind) {
    case RequestKind::Once:
        return "/once/x";
    case RequestKind::Repeatable:
        return "/repeat/x";
    case RequestKind::ResumableStream:
        return "/talk/x";
    case RequestKind::ContinuedStream:
        return "/resume/x";
    case RequestKind::Stream:
        break;
    }
    return "/stream/x";
}

/// The kind of a client's request with this number.
RequestKind draw_kind(pcg32& random, int number)
{
    constexpr std::uint32_t of_ten = 10;
    auto const drawn = random(of_ten);
    if (drawn < 6)
        return RequestKind::Once;
    if (drawn < 8)
        return RequestKind::Repeatable;
    if (drawn == 9)
        return RequestKind::ResumableStream;
    return number % 2 == 0 ? RequestKind::Stream : RequestKind::ContinuedStream;
}

bool is_stream(Exchange const& exchange)
{
    return exchange.kind != RequestKind::Once && exchange.kind != RequestKind::Repeatable;
}

httplib::Headers headers_of(Exchange const& exchange)
{
    httplib::Headers headers { { "Host", "h.example" }, { "X-Attempt-Id", exchange.attempt },
        { "X-Deadline-Ms", "3000" }, { "X-Key", exchange.key } };
    if (is_stream(exchange))
        headers.emplace("X-Standin-Events", std::to_string(Clients::stream_events));
    if (!exchange.taken_up.empty()) {
        headers.emplace("Resumes", exchange.taken_up);
        headers.emplace("Last-Event-Id", std::to_string(exchange.last_event));
    }
    return headers;
}

/// The text with the line ends of events, of which there are three kinds, replaced by the usual one.
std::string with_usual_line_ends(std::string const& text)
{
    std::string usual;
    usual.reserve(text.size());
    for (std::size_t at = 0; at < text.size(); ++at) {
        bool const is_second_half = text[at] == '\n' && at > 0 && text[at - 1] == '\r';
        if (!is_second_half)
            usual += text[at] == '\r' ? '\n' : text[at];
    }
    return usual;
}

/// Sends the request and records what comes back.
void send(httplib::Client& connection, Exchange& exchange)
{
    httplib::Request request;
    request.method = "POST";
    request.path = path_of(exchange.kind);
    request.headers = headers_of(exchange);
    request.headers.emplace("Content-Type", "text/plain");
    request.body = "body";
    request.content_receiver = [&exchange](char const* data, std::size_t size, std::uint64_t, std::uint64_t) {
        exchange.body.append(data, size);
        return true;
    };
    exchange.sent_at = Clock::now();
    if (auto const result = connection.send(request))
        exchange.status = result->status;
    exchange.body = with_usual_line_ends(exchange.body);
}

/// The next attempt of a client whose stream broke off; nothing if it has no event yet, or all.
std::optional<Exchange> take_up(Exchange const& broken)
{
    auto const last = last_event_of(broken);
    bool const may_be_taken_up = broken.kind == RequestKind::ResumableStream && broken.status == 0 && last > 0
        && last < Clients::stream_events && broken.taken_up.empty();
    if (!may_be_taken_up)
        return {};
    Exchange next;
    next.attempt = broken.attempt + "-up";
    next.kind = broken.kind;
    next.key = broken.key;
    next.taken_up = broken.attempt;
    next.last_event = last;
    return next;
}

}

int last_event_of(Exchange const& exchange)
{
    int last = exchange.last_event;
    constexpr std::string_view field = "id: ";
    constexpr std::string_view event_end = "\n\n";
    std::string_view rest = exchange.body;
    for (auto end = rest.find(event_end); end != std::string_view::npos; end = rest.find(event_end)) {
        if (rest.starts_with(field))
            last = std::stoi(std::string(rest.substr(field.size(), end)));
        rest.remove_prefix(end + event_end.size());
    }
    return last;
}

Clients::Clients(std::vector<int> ports, std::uint64_t seed)
    : ports(std::move(ports))
{
    for (int client = 0; client < count; ++client)
        this->threads.emplace_back([this, seed, client] { this->send_until_stopped(seed, client); });
}

Clients::~Clients()
{
    this->stop();
}

void Clients::stop()
{
    this->is_stopped = true;
    for (auto& thread : this->threads)
        thread.join();
    this->threads.clear();
}

std::vector<Exchange> Clients::finish()
{
    this->stop();
    return std::move(this->exchanges);
}

void Clients::send_until_stopped(std::uint64_t seed, int client)
{
    pcg32 random(seed, static_cast<std::uint64_t>(client));
    std::vector<std::unique_ptr<httplib::Client>> connections;
    for (auto const port : this->ports) {
        connections.push_back(std::make_unique<httplib::Client>("127.0.0.1", port));
        connections.back()->set_keep_alive(true);
        connections.back()->set_tcp_nodelay(true);
        connections.back()->set_read_timeout(longest_answer);
    }
    for (int number = 0; !this->is_stopped; ++number) {
        Exchange exchange;
        exchange.attempt = "c" + std::to_string(client) + "-" + std::to_string(number);
        exchange.kind = draw_kind(random, number);
        exchange.key = random(4) == 0 ? "other" : "key";
        auto const draw_connection = [&]() -> httplib::Client& {
            return *connections[random(static_cast<std::uint32_t>(connections.size()))];
        };
        send(draw_connection(), exchange);
        auto next = take_up(exchange);
        this->record(std::move(exchange));
        if (next) {
            send(draw_connection(), *next);
            this->record(std::move(*next));
        }
        std::this_thread::sleep_for(pause);
    }
}

void Clients::record(Exchange exchange)
{
    std::scoped_lock const guard(this->lock);
    this->exchanges.push_back(std::move(exchange));
}

}
