#include <TestMain.h>

#include <LibLog/EventLog.h>
#include <LibLog/LogLine.h>

TEST_CASE("a written line parses back to the same values")
{
    auto const line = Log::EventLine("attempt_ended")
                          .with("id", "9c41")
                          .with("detail", "say \"a = b\" \\ now")
                          .with("empty", "")
                          .with("count", 7)
                          .to_string();
    auto const pairs = Log::parse_line("time=now level=info box=n " + line);
    CHECK(pairs.at("event") == "attempt_ended");
    CHECK(pairs.at("id") == "9c41");
    CHECK(pairs.at("detail") == "say \"a = b\" \\ now");
    CHECK(pairs.at("empty").empty());
    CHECK(pairs.at("count") == "7");
    CHECK(pairs.at("box") == "n");
}

TEST_CASE("malformed lines parse without failing")
{
    CHECK(Log::parse_line("").empty());
    CHECK(Log::parse_line("no pairs here").empty());
    CHECK(Log::parse_line("open=\"never closed").at("open") == "never closed");
    CHECK(Log::parse_line("   a=1   b=").at("a") == "1");
    CHECK(Log::parse_line("\"=\\").size() <= 1);
}

TEST_CASE("request events are described, others are ignored")
{
    auto const description = Log::describe_event(Log::parse_line(
        "event=request_ended id=1 status=503 reason=endpoint-full attempts=2 client_left=no took_ms=12.5"));
    CHECK(description == "the client was told 503 after 12.5 ms and 2 attempts, because: endpoint-full");
    CHECK(Log::describe_event(Log::parse_line("event=gateway_started")).empty());
    CHECK_FALSE(Log::describe_event(Log::parse_line("event=request_placed")).empty());
}
