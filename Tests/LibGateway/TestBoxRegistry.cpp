#include <TestMain.h>

#include "ScriptedStore.h"
#include <LibGateway/BoxRegistry.h>

namespace {

using namespace Scripted;

Membership::BoxRecord own_record()
{
    return { "box", { "10.0.0.1", 7000 }, "domain", 1'250'000 };
}

std::string base64(std::string const& text)
{
    std::string value(boost::beast::detail::base64::encoded_size(text.size()), '\0');
    value.resize(boost::beast::detail::base64::encode(value.data(), text.data(), text.size()));
    return value;
}

/// The store's answer to a read of the list with this box and three others of its failure domain.
std::string full_list()
{
    std::string items;
    for (std::string const name : { "box", "c", "d", "e" }) {
        auto record = own_record();
        record.name = name;
        items += (items.empty() ? "" : ",") + std::string(R"({"tls_key":")") + name + R"(","value":")"
            + base64(Membership::encode(record)) + R"("})";
    }
    return R"({"items":[)" + items + R"(],"truncated":false,"end":4})";
}

/// A box that registers itself in a scripted store.
struct RegisteredBox {
    RegisteredBox(BoxRegistry::Start start, FakeStore::Script script)
        : state(this->context, Routing::RouterSettings {}, 1)
        , source("box", "domain", {})
        , store(this->context, std::move(script))
        , registry(
              this->state, this->source, this->store.address(), own_record(), [this] { ++this->list_updates; }, 1)
    {
        asio::co_spawn(
            this->context, [this, start] { return this->registry.run(start); }, asio::detached);
    }

    asio::io_context context;
    GatewayState state;
    Membership::ControlSource source;
    FakeStore store;
    BoxRegistry registry;
    /// Attempts to read the list of boxes that have ended, successful or not.
    int list_updates { 0 };
};

std::optional<Answer> answer_with_full_list(std::string const& target)
{
    return Answer { 200, begins_with(target, "/log-newest") ? full_list() : std::string("{}") };
}

}

TEST_CASE("on the first start of all boxes, each writes its record and then reads the list once")
{
    RegisteredBox box(BoxRegistry::Start::OfAllBoxes, answer_with_full_list);
    REQUIRE(run_until(box.context, [&] { return box.list_updates > 0; }));
    REQUIRE(box.store.targets.size() == 2);
    CHECK(begins_with(box.store.targets[0], "/log-append"));
    CHECK(begins_with(box.store.targets[1], "/log-newest"));
    CHECK(box.source.boxes().size() == 4);
}

TEST_CASE("a box that restarts and finds its record makes one call")
{
    RegisteredBox box(BoxRegistry::Start::OfThisBox, answer_with_full_list);
    REQUIRE(run_until(box.context, [&] { return box.list_updates > 0; }));
    CHECK(box.store.targets.size() == 1);
    CHECK(begins_with(box.store.targets[0], "/log-newest"));
}

TEST_CASE("a box that is not listed writes its record and soon reads the list again")
{
    bool is_written = false;
    RegisteredBox box(BoxRegistry::Start::OfThisBox, [&](std::string const& target) -> std::optional<Answer> {
        is_written |= begins_with(target, "/log-append");
        return Answer { 200, is_written ? full_list() : nothing_newest };
    });
    REQUIRE(run_until(box.context, [&] { return box.list_updates > 1; }));
    REQUIRE(box.store.targets.size() == 3);
    CHECK(begins_with(box.store.targets[1], "/log-append"));
    CHECK(box.source.boxes().size() == 4);
}

TEST_CASE("a box that can't read the list of boxes reads the store itself")
{
    RegisteredBox box(BoxRegistry::Start::OfThisBox, [](std::string const&) { return Answer { 503, "" }; });
    REQUIRE(run_until(box.context, [&] { return box.list_updates > 0; }));
    CHECK(box.source.boxes().size() == 0);
    CHECK(box.source.reads_store(Core::monotonic_now()));
}
