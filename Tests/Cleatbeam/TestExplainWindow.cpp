#include <TestMain.h>

#include <cleatbeam/CommandLine.h>
#include <cleatbeam/ExplainWindow.h>

#include <list>
#include <spdlog/fmt/fmt.h>
#include <sstream>

using std::chrono::milliseconds;

namespace {

/// The time field `second` seconds after the first line.
std::string time_at(double second)
{
    auto const start = *parse_log_time("2026-12-04T07:00:00.000+00:00");
    return to_string(start + milliseconds(std::llround(second * 1000)));
}

std::string line(double second, std::string const& box, std::string const& event)
{
    return "time=" + time_at(second) + " level=info box=" + box + " event=" + event + "\n";
}

std::string started(double second, std::string const& box, std::string const& domain)
{
    return line(second, box, "gateway_started front=127.0.0.1:1 store=127.0.0.1:2 failure_domain=" + domain);
}

std::string placed(double second, std::string const& box, std::string const& id, std::string const& more = "")
{
    return line(
        second, box, "request_placed id=" + id + " route=ask account=nest endpoint=i-1 left_ms=30000.000" + more);
}

std::string attempt(double second, std::string const& endpoint, std::string const& result, unsigned status,
    std::string const& more = "")
{
    return line(second, "b1",
        fmt::format(
            "attempt_ended id=9c41 endpoint={} result={} status={} took_ms=5.000{}", endpoint, result, status, more));
}

struct End {
    std::string id { "9c41" };
    std::string route { "ask" };
    std::string account { "nest" };
    unsigned status { 200 };
    std::string reason { "answer-complete" };
    double took_ms { 100 };
    double first_byte_ms { 50 };
    bool client_left { false };
    bool from_box { false };
};

std::string ended(double second, std::string const& box, End const& end)
{
    return line(second, box,
        fmt::format("request_ended id={} route={} account={} goal_ms=500.000 first_byte_ms={:.3f} status={} reason={} "
                    "attempts=1 client_left={} from_box={} took_ms={:.3f}",
            end.id, end.route, end.account.empty() ? "\"\"" : end.account, end.first_byte_ms, end.status, end.reason,
            end.client_left ? "yes" : "no", end.from_box ? "yes" : "no", end.took_ms));
}

/// The summary of a period, in seconds since the first line, and what was printed.
struct Report {
    Report(std::string const& window, std::vector<std::string> const& logs)
    {
        Core::LastReason last_reason;
        auto const option = WindowOption::try_parse(window, last_reason);
        REQUIRE(option);
        this->code = explain_window(*option, this->open(logs), this->output, this->errors);
        std::vector<LogReader> readers;
        for (auto const& [name, stream] : this->open(logs))
            readers.emplace_back(name, *stream, this->unreadable);
        MergedLog log(std::move(readers));
        if (!log.first_time())
            return;
        this->summary.emplace(option->starting_at(*log.first_time()), this->unreadable);
        while (auto const record = log.next())
            this->summary->add(*record);
        this->summary->finish();
    }

    std::vector<std::pair<std::string, std::istream*>> open(std::vector<std::string> const& logs)
    {
        std::vector<std::pair<std::string, std::istream*>> opened;
        opened.reserve(logs.size());
        for (auto const& text : logs)
            opened.emplace_back("log-" + std::to_string(opened.size()), &this->streams.emplace_back(text));
        return opened;
    }
    [[nodiscard]] RequestCounts const& route(std::string const& name) const { return this->summary->routes().at(name); }
    [[nodiscard]] bool prints(std::string const& text) const
    {
        return this->output.str().find(text) != std::string::npos;
    }

    /// The words of the printed line that begins with this name, separated by single spaces.
    [[nodiscard]] std::string row(std::string const& name) const
    {
        std::istringstream lines(this->output.str());
        for (std::string line; std::getline(lines, line);) {
            if (!line.starts_with(name + " "))
                continue;
            std::istringstream words(line);
            std::string joined;
            for (std::string word; words >> word;)
                joined += word + " ";
            return joined;
        }
        return {};
    }

    std::list<std::istringstream> streams;
    UnreadableLines unreadable;
    std::optional<WindowSummary> summary;
    std::ostringstream output;
    std::ostringstream errors;
    int code { 0 };
};

}

TEST_CASE("each kind of end is counted once, and refusals by their reason")
{
    Report const report("0-60",
        { started(0, "b1", "east") + ended(1, "b1", { .took_ms = 400 })
            + ended(2, "b1", { .took_ms = 900, .first_byte_ms = 700 })
            + ended(3, "b1", { .status = 404, .took_ms = 400 }) + ended(4, "b1", { .status = 500 })
            + ended(5, "b1", { .status = 504, .reason = "deadline-passed" })
            + ended(6, "b1", { .status = 502, .reason = "retry-not-allowed" })
            + ended(7, "b1", { .reason = "answer-cut-short" })
            + ended(8, "b1", { .status = 502, .reason = "caller-gone", .client_left = true })
            + ended(9, "b1", { .client_left = true }) + ended(10, "b1", { .status = 503, .reason = "backlog-too-long" })
            + ended(11, "b1", { .status = 503, .reason = "backlog-too-long" })
            + ended(12, "b1", { .status = 503, .reason = "deadline-passed" })
            + line(13, "b1",
                "request_ended id=7 route=none status=401 reason=key-unknown attempts=0 client_left=no "
                "from_box=no took_ms=0.100")
            + line(14, "b1", "request_unreadable status=431 reason=header-too-large detail=\"a = b\"") });
    CHECK(report.code == exit_success);
    auto const& counts = report.route("ask");
    CHECK(counts.served == 3);
    CHECK(counts.measured == 3);
    CHECK(counts.late == 1);
    CHECK(counts.failed == 3);
    CHECK(counts.failed_by_reason.all()
        == std::map<std::string, std::uint64_t> {
            { "deadline-passed", 1 }, { "retry-not-allowed", 1 }, { "status-of-endpoint", 1 } });
    CHECK(counts.cut == 1);
    CHECK(counts.given_up == 2);
    CHECK(counts.admitted() == 9);
    CHECK(counts.refused == 3);
    CHECK(counts.refused_by_reason.all()
        == std::map<std::string, std::uint64_t> { { "backlog-too-long", 2 }, { "deadline-passed", 1 } });
    CHECK(report.route("none").refused == 2);
    CHECK(report.summary->total().admitted() == 9);
    CHECK(report.summary->total().refused == 5);
    CHECK(report.prints("2 backlog-too-long, 1 deadline-passed; failed: 1 deadline-passed"));
    CHECK(report.unreadable.count() == 0);
}

TEST_CASE("requests count for their account and for the failure domain of the box, also where it is told last")
{
    Report const report("0-60",
        { started(0, "b1", "east") + ended(1, "b1", { .account = "nest" }) + ended(2, "b1", { .account = "" }),
            ended(3, "b2", { .account = "roost" }) + ended(3, "b3", { .account = "roost" }) + started(90, "b2", "west"),
            line(80, "b4", "configuration_in_force version=3 failure_domain=west routes=1")
                + ended(5, "b4", { .account = "nest" }) });
    auto const& accounts = report.summary->accounts();
    CHECK(accounts.at("nest").served == 2);
    CHECK(accounts.at("roost").served == 2);
    CHECK(accounts.at("(public)").served == 1);
    auto const domains = report.summary->failure_domains();
    CHECK(domains.at("east").served == 2);
    CHECK(domains.at("west").served == 2);
    CHECK(domains.at("(not told)").served == 1);
    CHECK(domains.size() == 3);
}

TEST_CASE("attempts at endpoints are counted by their end, apart from those that this box cancelled")
{
    Report const report("0-60",
        { attempt(1, "i-1", "delivered", 200) + attempt(2, "i-1", "delivered", 500)
            + attempt(3, "i-1", "endpoint-error", 503) + attempt(4, "i-1", "not-run", 503)
            + attempt(5, "i-1", "unknown", 0) + attempt(6, "i-1", "interrupted", 200)
            + attempt(7, "i-1", "broken-after-delivery", 200) + attempt(8, "i-1", "unknown", 0, " cancelled_by=client")
            + attempt(9, "i-1", "broken-after-delivery", 200, " detail=\"connection to the client broke\"")
            + attempt(10, "i-1", "not-sent", 0, " detail=\"connect: Connection refused\"")
            + attempt(11, "i-2", "delivered", 200) + attempt(61, "i-2", "delivered", 200) });
    CHECK(report.summary->endpoints().at("i-1") == EndpointCounts { 9, 1, 2, 1, 3, 2, 1 });
    CHECK(report.summary->endpoints().at("i-2") == EndpointCounts { 1, 1, 0, 0, 0, 0, 0 });
}

TEST_CASE("a forwarded request counts once, at the box that its client asked")
{
    auto const asked = started(0, "b1", "east")
        + line(1.2, "b1",
            "request_forwarded id=f route=ask to_box=b2 failure_domain=west result=delivered status=200 "
            "left_ms=29000.000 took_ms=190.000")
        + ended(1.21, "b1", { .id = "f" });
    SUBCASE("the other box tells that a box forwarded it")
    {
        auto const other = placed(1.01, "b2", "f", " from_box=yes") + attempt(1.19, "i-1", "delivered", 200)
            + ended(1.19, "b2", { .id = "f", .from_box = true });
        Report const report("0-60", { asked, other });
        CHECK(report.summary->total().served == 1);
        CHECK(report.summary->failure_domains().at("east").served == 1);
        CHECK(report.summary->endpoints().at("i-1").got == 1);
        CHECK(report.summary->forwarded() == 1);
        CHECK(report.summary->without_end() == 0);
        CHECK(report.prints("1 forwarded to another box"));
        CHECK_FALSE(report.prints("earlier version"));
    }
    SUBCASE("a refusal by the other box is no refusal of the client's request")
    {
        auto const other = ended(1.19, "b2", { .id = "f", .status = 503, .reason = "memory-limit", .from_box = true });
        Report const report("0-60", { other, asked });
        CHECK(report.summary->total().refused == 0);
        CHECK(report.summary->total().served == 1);
    }
    SUBCASE("a box of an earlier version doesn't tell, so the report says that some count twice")
    {
        auto const other = line(1.19, "b2",
            "request_ended id=f route=ask fingerprint=1 status=200 reason=answer-complete attempts=1 client_left=no "
            "took_ms=180.000");
        Report const report("0-60", { asked, other });
        CHECK(report.summary->total().served == 2);
        CHECK(report.prints("1 ended at boxes of an earlier version: forwarded ones among them count at both boxes"));
    }
}

TEST_CASE("lines of an earlier version are read: the account is taken from the placement, and late is not known")
{
    Report const report("0-60",
        { placed(1, "b1", "x")
            + line(2, "b1",
                "request_ended id=x route=ask fingerprint=1 status=200 reason=answer-complete attempts=1 "
                "client_left=no took_ms=900.000") });
    CHECK(report.summary->accounts().at("nest").served == 1);
    CHECK(report.route("ask").measured == 0);
    CHECK(report.prints("1 served without a line that tells the first byte's time"));
    // Admitted, refused, served, late.
    CHECK(report.row("nest").starts_with("nest 1 0 1 - "));
}

TEST_CASE("a request counts in the period in which it ends, and those that lie partly outside are named")
{
    Report const report("10-20",
        { started(0, "b1", "east") + placed(9, "b1", "before") + ended(9.9, "b1", { .id = "early" })
            + ended(11, "b1", { .id = "before" }) + placed(12, "b1", "inside") + placed(13, "b1", "never")
            + ended(14, "b1", { .id = "inside" }) + placed(19, "b1", "after") + ended(20, "b1", { .id = "after" })
            + placed(21, "b1", "late") + ended(90, "b1", { .id = "late" }) });
    CHECK(report.summary->total().served == 2);
    CHECK(report.summary->ended_later() == 1);
    CHECK(report.summary->without_end() == 1);
    CHECK(report.prints("1 placed in the period and ended after it"));
    CHECK(report.prints("1 placed in the period, without a line of their end"));
}

TEST_CASE("logs are merged by time, whatever their order, and lines within one may be out of order")
{
    // The account is known only if the placement, in the second file, is read before the end, in the first one.
    auto const end = line(5, "b1",
        "request_ended id=x route=ask status=200 reason=answer-complete attempts=1 client_left=no took_ms=1.000");
    Report const report("0-60", { end, started(0, "b1", "east") + placed(4, "b1", "x") });
    CHECK(report.summary->accounts().at("nest").served == 1);

    Report const stepped_back(
        "0-10", { started(0, "b1", "east") + ended(30, "b1", {}) + ended(5, "b1", {}) + ended(6, "b1", {}) });
    CHECK(stepped_back.summary->total().served == 2);
}

TEST_CASE("the period is the same given as seconds or as times, and seconds begin at the first line of any event")
{
    auto const log = line(0, "b1", "ready") + ended(4, "b1", {}) + ended(6, "b1", {}) + ended(10, "b1", {});
    CHECK(Report("5-10", { log }).summary->total().served == 1);
    CHECK(Report(time_at(5) + "-" + time_at(10), { log }).summary->total().served == 1);
    CHECK(Report("0-" + time_at(10), { log }).summary->total().served == 2);
}

TEST_CASE("words that a log collector puts before the pairs are skipped, also if they are joined to them")
{
    auto const end = ended(1, "b1", {});
    Report const report("0-60",
        { "2026-12-04T09:00:00 host-7 " + end + "[host-7]" + end + "host=\"h \" 7|" + end + "time=2001-01-01 h " + end
            + end.substr(0, end.size() - 1) + "\r\n" });
    CHECK(report.summary->total().served == 5);
    CHECK(report.summary->routes().size() == 1);
    CHECK(report.unreadable.count() == 0);
}

TEST_CASE("lines that can't be read are counted and named, and the others are used")
{
    auto const good = ended(1, "b1", {});
    Report const report("0-60",
        { "\n  \nno pairs here\n" + good + "time=yesterday box=b1 event=request_ended id=1 route=ask\n"
            + line(2, "b1", "request_ended id=1 route=ask status=abc reason=answer-complete took_ms=1")
            + line(2, "b1", "attempt_ended id=1 endpoint=i-1") + line(2, "b1", "request_placed id=1")
            + std::string(LogReader::max_line_bytes + 10, 'x') + "\n" + good + line(2, "b1", "an_event_of_later a=1")
            + "binary \x01\x1b[2J\n" + "time=" + time_at(3) + " box=b1 event=request_ended id=1 rou" });
    CHECK(report.code == exit_success);
    CHECK(report.summary->total().served == 2);
    CHECK(report.unreadable.count() == 8);
    CHECK(report.unreadable.named()[0] == "log-0:3: no event: no pairs here");
    CHECK(report.prints("lines that can't be read: 8\n"));
    CHECK(report.prints("log-0:5: time can't be read: time=yesterday"));
    CHECK(report.prints("log-0:9: too long: xxxx"));
    // Control characters of the log must not reach the operator's terminal.
    CHECK(report.prints("log-0:12: no event: binary ??[2J"));
}

TEST_CASE("only the first unreadable lines are named")
{
    std::string log = ended(1, "b1", {});
    for (int index = 0; index < 1000; ++index)
        log += "broken " + std::to_string(index) + "\n";
    Report const report("0-60", { log });
    CHECK(report.unreadable.count() == 1000);
    CHECK(report.unreadable.named().size() == UnreadableLines::max_named);
    CHECK(report.prints("lines that can't be read: 1000, the first of them\n"));
}

TEST_CASE("lines that boxes dropped are told, since the counts are too low then")
{
    Report const report("0-60",
        { ended(1, "b1", {}) + "level=warning event=log_lines_dropped count=17\n" + ended(70, "b1", {})
            + "level=warning event=log_lines_dropped count=5\n" });
    CHECK(report.summary->dropped_lines() == 17);
    CHECK(report.prints("17 lines were dropped by boxes"));
    CHECK(report.unreadable.count() == 0);
}

TEST_CASE("a log without a time, and a period without a request, are failures that say so")
{
    Report const empty("0-60", { "", "no pairs\n" });
    CHECK(empty.code == exit_failure);
    CHECK(empty.errors.str().find("no line of the log has a time") != std::string::npos);
    CHECK(empty.errors.str().find("log-1:1: no event: no pairs") != std::string::npos);

    Report const elsewhere("100-200", { ended(1, "b1", {}) + ended(9, "b1", {}) });
    CHECK(elsewhere.code == exit_failure);
    CHECK(elsewhere.errors.str().find("the log goes from " + time_at(1) + " to " + time_at(9)) != std::string::npos);

    Report const reversed("60-" + time_at(30), { ended(0, "b1", {}) });
    CHECK(reversed.code == exit_usage);
    CHECK(reversed.errors.str().find("is not before") != std::string::npos);
}

TEST_CASE("percentiles are those of requests that were served, failed or cut")
{
    std::string log;
    for (int index = 1; index <= 100; ++index)
        log += ended(index, "b1", { .took_ms = 10.0 * index });
    for (int index = 0; index < 400; ++index)
        log += ended(50, "b1", { .status = 503, .reason = "backlog-too-long", .took_ms = 0.2 });
    Report const report("0-200", { log });
    auto const& durations = report.route("ask").durations;
    CHECK(*durations.percentile(0.5) == doctest::Approx(500).epsilon(0.03));
    CHECK(*durations.percentile(0.9) == doctest::Approx(900).epsilon(0.03));
    CHECK(*durations.percentile(0.99) == doctest::Approx(990).epsilon(0.03));
}

TEST_CASE("durations outside the classes of the histogram count in the first and the last one")
{
    DurationHistogram durations;
    CHECK_FALSE(durations.percentile(0.5));
    durations.add(0);
    CHECK(*durations.percentile(0.5) < 0.11);
    durations.add(1e12);
    CHECK(*durations.percentile(1) == doctest::Approx(3.6e6).epsilon(0.1));
}

TEST_CASE("memory stays bounded for any number of open ids, routes, accounts, boxes and endpoints")
{
    constexpr std::size_t max_open = 1000;
    constexpr int count = 30'000;
    UnreadableLines unreadable;
    auto const start = *parse_log_time(time_at(0));
    WindowSummary summary({ start, start + std::chrono::hours(1) }, unreadable, max_open);
    std::ostringstream text;
    for (int index = 0; index < count; ++index) {
        auto const name = std::to_string(index);
        text << line(1, "b" + name, "request_placed id=p" + name + " route=ask endpoint=i left_ms=1e15")
             << line(1, "b" + name,
                    "attempt_ended id=" + name + " endpoint=i" + name + " result=delivered status=200 took_ms=1")
             << ended(1, "b" + name, { .id = name, .route = "r" + name, .account = "a" + name })
             << ended(1, "b1", { .id = name, .status = 503, .reason = "reason-" + name })
             << started(1, "b" + name, "d" + name);
    }
    std::istringstream stream(text.str());
    LogReader reader("log", stream, unreadable);
    while (auto const record = reader.next()) {
        summary.add(*record);
        REQUIRE(summary.open_requests() <= max_open);
    }
    CHECK(summary.forgotten() == count - max_open);
    CHECK(summary.routes().size() <= WindowSummary::max_rows + 1);
    CHECK(summary.accounts().size() <= WindowSummary::max_rows + 1);
    CHECK(summary.endpoints().size() <= WindowSummary::max_rows + 1);
    CHECK(summary.failure_domains().size() <= WindowSummary::max_rows + 2);
    CHECK(summary.total().refused_by_reason.all().size() <= RequestCounts::max_reasons + 1);
    CHECK(summary.total().served == count);
    CHECK(summary.routes().at("(others)").served > 0);
    summary.finish();
    CHECK(summary.open_requests() == 0);
    CHECK(summary.without_end() == max_open);
}

TEST_CASE("ids of open requests are dropped after their time, and no later line brings them back")
{
    UnreadableLines unreadable;
    OpenRequests open;
    auto const start = *parse_log_time(time_at(0));
    open.begin("a", start + milliseconds(1000), { "nest", true });
    open.begin("b", start + milliseconds(5000), { "nest", false });
    // A second placement of the same request extends its time, and doesn't lose what the first one told.
    open.begin("c", start + milliseconds(1000), { "nest", true });
    open.begin("c", start + milliseconds(9000), { std::nullopt, false });
    open.drop_expired(start + milliseconds(2000));
    CHECK(open.size() == 2);
    CHECK(open.lost() == 1);
    CHECK_FALSE(open.end("a"));
    CHECK(open.end("c") == OpenRequest { "nest", true });
    open.drop_all();
    CHECK(open.size() == 0);
    CHECK(open.lost() == 1);
}
