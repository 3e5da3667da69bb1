#pragma once

#include <LibHttp/Asio.h>
#include <LibHttp/ConnectionBudget.h>
#include <LibServer/HttpAnswer.h>

namespace Server {

/// How an answer is framed on its connection.
struct AnswerFraming {
    bool keeps_connection { true };
    /// Whether the client knows chunks. Otherwise the end of the connection marks the end of an answer in parts.
    bool has_chunks { true };
    bool is_to_head_request { false };

    bool operator==(AnswerFraming const&) const = default;
};

enum class AnswerProgress {
    Unfinished,
    Finished,
    /// The client is gone, or took nothing for too long.
    Broken,
};

/// Writes answers to one connection. A client that takes nothing for too long loses it.
class AnswerWriter {
public:
    /// The socket and the connection must outlive the writer.
    AnswerWriter(Http::tcp::socket& socket, Http::BudgetedConnection& connection, Core::Duration timeout);

    /// Returns false if the client did not take the whole answer.
    [[nodiscard]] Http::Task<bool> write(WholeAnswer const& answer, AnswerFraming framing);
    [[nodiscard]] Http::Task<AnswerProgress> write_part(AnswerPart const& part, AnswerFraming& framing);

private:
    [[nodiscard]] Http::Task<bool> write_bytes(std::string bytes);

    Http::tcp::socket& socket;
    Http::BudgetedConnection& connection;
    Core::Duration timeout;
    std::shared_ptr<Http::asio::steady_timer> timer;
};

}
