#pragma once

#include <LibHttp/Asio.h>

#include <string>

namespace Http {

/// A Beast body type that appends to a string. Unlike Beast's own, it does not reserve the length that a client
/// announces, so that the memory is taken only when its owner reserves it.
struct UnreservedBody {
    using value_type = std::string;

    static std::uint64_t size(value_type const& body) { return body.size(); }

    // These names are required by Beast.
    class reader {
    public:
        template <bool is_request, typename Fields>
        reader(http::header<is_request, Fields> const& /*head*/, value_type& body)
            : body(body)
        {
        }
        void init(boost::optional<std::uint64_t> const& /*length*/, error_code& error) { error = {}; }
        template <typename Buffers> std::size_t put(Buffers const& buffers, error_code& error)
        {
            error = {};
            std::size_t bytes = 0;
            for (auto piece = asio::buffer_sequence_begin(buffers); piece != asio::buffer_sequence_end(buffers);
                 ++piece) {
                asio::const_buffer const part = *piece;
                this->body.append(static_cast<char const*>(part.data()), part.size());
                bytes += part.size();
            }
            return bytes;
        }
        void finish(error_code& error) { error = {}; }

    private:
        value_type& body;
    };
};

}
