#include <TestMain.h>

#include <LibHttp/MessageFraming.h>

namespace {

using namespace Http;

/// The fault that is found in a request with these fields. The parser itself refuses some, with a length that is wrong.
std::optional<FramingFault> fault_of(std::string const& fields, std::string const& version = "1.1")
{
    http::request_parser<http::string_body> parser;
    error_code error;
    auto const text = "POST /x HTTP/" + version + "\r\nHost: h\r\n" + fields + "\r\n";
    parser.put(asio::buffer(text), error);
    if (error)
        return FramingFault::LengthBesideCoding;
    REQUIRE(parser.is_header_done());
    return framing_fault(parser.get(), parser.get().version(), parser.chunked());
}

constexpr auto none = std::optional<FramingFault> {};

}

TEST_CASE("a length, chunks, or neither frame a message")
{
    CHECK(fault_of("") == none);
    CHECK(fault_of("Content-Length: 5\r\n") == none);
    CHECK(fault_of("Transfer-Encoding: chunked\r\n") == none);
    CHECK(fault_of("transfer-encoding: , CHUNKED \r\n") == none);
    CHECK(fault_of("Content-Length: 5\r\n", "1.0") == none);
}

// Guards against the body of a request being taken for the next request (RFC 9112, 6.3).
TEST_CASE("a message whose last transfer coding is not chunked has no known end")
{
    for (std::string const fields : { "Transfer-Encoding: gzip\r\n", "Transfer-Encoding: chunked, identity\r\n",
             "Transfer-Encoding: identity\r\n", "Transfer-Encoding: xchunked\r\n", "Transfer-Encoding: chunked;q=1\r\n",
             "Transfer-Encoding:\r\n", "Transfer-Encoding: \"chunked\"\r\n" }) {
        CAPTURE(fields);
        CHECK(fault_of(fields) == FramingFault::LastCodingNotChunked);
    }
}

TEST_CASE("a further coding before chunked, or chunked twice, is refused, since the body is passed on without it")
{
    CHECK(fault_of("Transfer-Encoding: gzip, chunked\r\n") == FramingFault::UnsupportedCoding);
    CHECK(fault_of("Transfer-Encoding: chunked, chunked\r\n") == FramingFault::UnsupportedCoding);
    CHECK(fault_of("Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n") == FramingFault::UnsupportedCoding);
}

TEST_CASE("codings in two fields are one list")
{
    CHECK(fault_of("Transfer-Encoding: chunked\r\nTransfer-Encoding: gzip\r\n") != none);
    CHECK(fault_of("Transfer-Encoding: gzip\r\nTransfer-Encoding: identity\r\n") == FramingFault::LastCodingNotChunked);
}

TEST_CASE("a coding in HTTP/1.0 or beside a length, and two lengths, are refused")
{
    CHECK(fault_of("Transfer-Encoding: chunked\r\n", "1.0") == FramingFault::CodingInHttp10);
    CHECK(fault_of("Content-Length: 5\r\nTransfer-Encoding: chunked\r\n") == FramingFault::LengthBesideCoding);
    CHECK(fault_of("Transfer-Encoding: chunked\r\nContent-Length: 5\r\n") == FramingFault::LengthBesideCoding);
    CHECK(fault_of("Transfer-Encoding: gzip\r\nContent-Length: 5\r\n") == FramingFault::LengthBesideCoding);
    CHECK(fault_of("Content-Length: 5\r\nContent-Length: 6\r\n") == FramingFault::LengthBesideCoding);
}
