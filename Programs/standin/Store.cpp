#include "HttpSession.h"
#include "Standin.h"

#include <boost/asio/signal_set.hpp>
#include <fmt/format.h>
#include <gflags/gflags.h>
#include <map>
#include <nlohmann/json.hpp>
#include <openssl/evp.h>

DECLARE_string(port_file);

/// The users' store as their pages tell it: topics with keyed records, reads that wait, appends, lost history, outages
/// on demand, writes without an answer that are carried out late, and a return from a copy that lacks what came last.
namespace {

using namespace Standin;
using nlohmann::json;

struct Record {
    std::string key;
    std::string value;
    std::string raw;
    Core::Instant written_at;
};

struct Topic {
    std::vector<Record> records;
    std::uint64_t first { 0 };

    [[nodiscard]] std::uint64_t end() const { return this->first + this->records.size(); }
};

std::string big_endian(std::uint64_t number, int bytes)
{
    std::string text;
    for (int shift = (bytes - 1) * 8; shift >= 0; shift -= 8)
        text += static_cast<char>(number >> static_cast<unsigned>(shift) & 0xffU);
    return text;
}

std::string base64(std::string const& bytes)
{
    std::string text(4 * ((bytes.size() + 2) / 3) + 1, '\0');
    auto const size = EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
        reinterpret_cast<unsigned char const*>(bytes.data()), static_cast<int>(bytes.size()));
    text.resize(static_cast<std::size_t>(size));
    return text;
}

/// What an answer holds at most, as the users' pages tell it: kilobytes of a read that names no other size, and items
/// and bytes of a page of newest records.
constexpr std::size_t default_read_kilobytes = 1024;
constexpr std::size_t default_newest_items = 500;
constexpr std::size_t most_newest_bytes = 1024 * 1024;

class Store {
public:
    Task<bool> handle(std::shared_ptr<Session> session, Request request)
    {
        std::string const target(request.target());
        auto const path = target.substr(0, target.find('?'));
        if (path == "/faults")
            co_return co_await this->take_faults(*session, request.body());
        if (path == "/restore")
            co_return co_await this->restore(*session, target);
        if (path == "/calls")
            co_return co_await session->answer(200, std::to_string(this->calls));
        ++this->calls;
        co_await Gateway::sleep_for(std::chrono::milliseconds(this->slow_milliseconds));
        if (this->mode == "reset")
            co_return false;
        if (this->mode == "busy")
            co_return co_await this->answer(*session, 503, "{}");
        if (this->mode == "silent") {
            while (this->mode == "silent")
                co_await Gateway::sleep_for(std::chrono::milliseconds(20));
            co_return false;
        }
        if (path == "/log-read")
            co_return co_await this->read(*session, target);
        if (path == "/log-newest")
            co_return co_await this->newest(*session, target);
        if (path == "/log-append") {
            if (this->is_next_write_late(target, request.body())) {
                this->append_late(session, target, request.body());
                // NOTE: The connection on which an answer was lost says nothing more.
                co_await session->socket.async_wait(tcp::socket::wait_read, Gateway::as_value);
                co_return false;
            }
            co_return co_await this->answer(*session, this->append(target, request.body()));
        }
        if (path == "/log-trim")
            co_return co_await this->trim(*session, target);
        co_return co_await this->answer(*session, 404, "{}");
    }

private:
    struct Answer {
        unsigned status { 200 };
        std::string body;
    };

    [[nodiscard]] Task<bool> answer(Session& session, unsigned status, std::string const& body) const
    {
        co_return co_await session.answer(status, body, fmt::format("Store-Era: {}\r\n", this->era));
    }
    [[nodiscard]] Task<bool> answer(Session& session, Answer answer) const
    {
        co_return co_await this->answer(session, answer.status, answer.body);
    }

    /// Of the writes of boxes and endpoints, every `late_every`-th is late. The operator repeats its own until they are
    /// answered, and the removal of an entry is the store's own work.
    bool is_next_write_late(std::string const& target, std::string const& body)
    {
        constexpr std::size_t length_bytes = 4;
        bool const is_removal = body.size() > length_bytes
            && body.size() == length_bytes + 1 + static_cast<unsigned char>(body[length_bytes]);
        if (this->late_every == 0 || is_removal || query_value(target, "topic") == "keyed.op")
            return false;
        return ++this->writes % this->late_every == 0;
    }

    /// Carries the write out later, if its condition still holds then.
    void append_late(std::shared_ptr<Session> const& session, std::string target, std::string body)
    {
        auto const timer = std::make_shared<asio::steady_timer>(
            session->socket.get_executor(), std::chrono::milliseconds(this->late_milliseconds));
        timer->async_wait([this, timer, target = std::move(target), body = std::move(body)](
                              auto) { static_cast<void>(this->append(target, body)); });
    }

    /// The store is back from a copy: what was written in the last `lost_ms` milliseconds is gone, and its offsets are
    /// given out again.
    Task<bool> restore(Session& session, std::string const& target)
    {
        auto const lost = std::chrono::milliseconds(std::stoi("0" + query_value(target, "lost_ms")));
        auto const copied_at = Core::monotonic_now() - lost;
        ++this->era;
        for (auto& [name, topic] : this->topics) {
            while (!topic.records.empty() && topic.records.back().written_at > copied_at)
                topic.records.pop_back();
            auto& newest = this->kept[name];
            newest.clear();
            std::uint64_t offset = topic.first;
            for (auto const& record : topic.records)
                keep(newest, record, offset++);
        }
        co_return co_await this->answer(session, 200, "{}");
    }

    using Newest = std::map<std::string, std::pair<std::string, std::uint64_t>>;

    static void keep(Newest& newest, Record const& record, std::uint64_t offset)
    {
        if (record.value.empty())
            newest.erase(record.key);
        else
            newest[record.key] = { record.value, offset };
    }

    Task<bool> take_faults(Session& session, std::string const& body)
    {
        auto const faults = json::parse(body, nullptr, false);
        this->mode = faults.value("mode", "");
        this->slow_milliseconds = faults.value("slow_ms", 0);
        this->most_newest_items = faults.value("page_items", this->most_newest_items);
        this->late_every = faults.value("late_every", this->late_every);
        this->late_milliseconds = faults.value("late_ms", this->late_milliseconds);
        co_return co_await session.answer(200, "{}");
    }

    Task<bool> read(Session& session, std::string const& target)
    {
        auto& topic = this->topics[query_value(target, "topic")];
        auto const from = std::stoull("0" + query_value(target, "from"));
        auto const wait = std::stoi("0" + query_value(target, "wait_ms"));
        auto const ends_at = Core::monotonic_now() + std::chrono::milliseconds(wait);
        while (topic.end() == from && Core::monotonic_now() < ends_at && this->mode.empty())
            co_await Gateway::sleep_for(std::chrono::milliseconds(2));
        if (!this->mode.empty())
            co_return false;
        if (from < topic.first || from > topic.end()) {
            auto const gone = fmt::format(R"({{"first":{}}})", topic.first);
            co_return co_await this->answer(session, 410, gone);
        }
        auto body = big_endian(topic.end(), 8) + big_endian(topic.first, 8);
        auto const named = std::stoull("0" + query_value(target, "max_kb"));
        auto const most_bytes = 1024 * (named > 0 ? named : default_read_kilobytes);
        // NOTE: A record that is larger than that comes alone.
        for (auto index = from - topic.first; index < topic.records.size(); ++index) {
            auto const& raw = topic.records[index].raw;
            if (index > from - topic.first && body.size() + raw.size() > most_bytes)
                break;
            body += raw;
        }
        co_return co_await this->answer(session, 200, body);
    }

    Task<bool> newest(Session& session, std::string const& target)
    {
        auto& topic = this->topics[query_value(target, "topic")];
        auto const& newest = this->kept[query_value(target, "topic")];
        auto const after = query_value(target, "after_rev");
        auto items = json::array();
        std::size_t bytes = 0;
        auto position = after.empty() ? newest.begin() : newest.upper_bound(after);
        for (; position != newest.end() && items.size() < this->most_newest_items; ++position) {
            auto const& [key, kept] = *position;
            if (!items.empty() && bytes + kept.first.size() > most_newest_bytes)
                break;
            bytes += kept.first.size();
            json item;
            item["tls_key"] = key;
            item["value"] = base64(kept.first);
            item["offset"] = kept.second;
            items.push_back(std::move(item));
        }
        auto const items_text = items.dump(-1, ' ', false, json::error_handler_t::replace);
        auto const body = fmt::format(
            R"({{"items":{},"truncated":{},"end":{}}})", items_text, position != newest.end(), topic.end());
        co_return co_await this->answer(session, 200, body);
    }

    [[nodiscard]] Answer append(std::string const& target, std::string const& body)
    {
        auto const name = query_value(target, "topic");
        auto& topic = this->topics[name];
        auto const offset = topic.end();
        auto const expected_end = query_value(target, "current_rev");
        if (!expected_end.empty() && std::stoull(expected_end) != offset)
            return { 412, fmt::format(R"({{"end":{}}})", offset) };
        std::size_t position = 0;
        while (position + 4 <= body.size()) {
            std::uint64_t length = 0;
            for (int index = 0; index < 4; ++index)
                length = length << 8U | static_cast<unsigned char>(body[position + static_cast<std::size_t>(index)]);
            auto const raw = body.substr(position, 4 + length);
            auto const key_bytes = static_cast<unsigned char>(raw.at(4));
            Record record { raw.substr(5, key_bytes), raw.substr(5U + key_bytes), raw, Core::monotonic_now() };
            keep(this->kept[name], record, topic.end());
            topic.records.push_back(std::move(record));
            position += 4 + length;
        }
        return { 200, fmt::format(R"({{"offset":{},"end":{}}})", offset, topic.end()) };
    }

    Task<bool> trim(Session& session, std::string const& target)
    {
        auto& topic = this->topics[query_value(target, "topic")];
        auto const before = std::stoull("0" + query_value(target, "before"));
        while (topic.first < before && !topic.records.empty()) {
            topic.records.erase(topic.records.begin());
            ++topic.first;
        }
        co_return co_await this->answer(session, 200, "{}");
    }

    std::map<std::string, Topic> topics;
    std::map<std::string, Newest> kept;
    std::uint64_t era { 1 };
    std::string mode;
    int slow_milliseconds { 0 };
    std::size_t most_newest_items { default_newest_items };
    /// 0 for none.
    std::uint64_t late_every { 0 };
    int late_milliseconds { 0 };
    std::uint64_t writes { 0 };
    std::uint64_t calls { 0 };
};

}

int run_store()
{
    asio::io_context context(1);
    Store store;
    auto const port = serve(
        context, [&store](auto session, auto request) { return store.handle(std::move(session), std::move(request)); });
    asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&](auto const&, int) { context.stop(); });
    write_port_file(FLAGS_port_file, port);
    context.run();
    return 0;
}
