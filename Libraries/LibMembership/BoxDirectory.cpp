#include <LibMembership/BoxDirectory.h>

#include <algorithm>
#include <xxhash.h>

namespace Membership {

namespace {

/// Links count as wide from here: 100 Mbit/s transfer a configuration of 250 KB to 50 boxes within a second.
constexpr std::uint64_t wide_link_bytes_per_second = 12'500'000;

struct Rank {
    bool is_narrow { false };
    std::uint64_t hash { 0 };
    std::string name;

    auto operator<=>(Rank const&) const = default;
};

Rank rank_of(BoxRecord const& box)
{
    return { !BoxDirectory::has_wide_link(box), XXH3_64bits(box.name.data(), box.name.size()), box.name };
}

}

bool BoxDirectory::has_wide_link(BoxRecord const& box)
{
    return box.link_bytes_per_second >= wide_link_bytes_per_second;
}

void BoxDirectory::replace_all(std::vector<BoxRecord> records)
{
    this->boxes.clear();
    for (auto& record : records) {
        auto name = record.name;
        this->boxes.insert_or_assign(std::move(name), std::move(record));
    }
}

BoxRecord const* BoxDirectory::find(std::string const& name) const
{
    auto const found = this->boxes.find(name);
    return found == this->boxes.end() ? nullptr : &found->second;
}

std::vector<BoxRecord> BoxDirectory::in_order(std::string const& failure_domain) const
{
    std::vector<BoxRecord> ordered;
    for (auto const& [name, box] : this->boxes) {
        if (box.failure_domain == failure_domain)
            ordered.push_back(box);
    }
    return in_order(std::move(ordered));
}

std::vector<BoxRecord> BoxDirectory::in_order(std::vector<BoxRecord> given)
{
    std::ranges::sort(given, {}, rank_of);
    return given;
}

}
