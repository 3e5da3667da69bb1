#include <LibLeader/UsageCounts.h>

#include <algorithm>

namespace Leader {

void UsageCounts::add(std::string const& account, std::uint64_t window, UsageSchedule const& schedule)
{
    ++this->counts[window][account];
    if (this->counts.size() > schedule.windows_until_due() + further_windows)
        this->counts.erase(this->counts.begin());
}

void UsageLedger::merge(std::uint64_t process, std::map<std::uint64_t, AccountCounts> const& reported)
{
    for (auto const& [window, accounts] : reported) {
        auto& process_counts = this->by_window[window][process];
        for (auto const& [account, requests] : accounts) {
            auto& sum = process_counts[account];
            sum = std::max(sum, requests);
        }
    }
}

AccountCounts UsageLedger::total(std::uint64_t window) const
{
    AccountCounts sums;
    auto const found = this->by_window.find(window);
    if (found == this->by_window.end())
        return sums;
    for (auto const& [process, accounts] : found->second) {
        for (auto const& [account, requests] : accounts)
            sums[account] += requests;
    }
    return sums;
}

void UsageLedger::forget_before(std::uint64_t window)
{
    this->by_window.erase(this->by_window.begin(), this->by_window.lower_bound(window));
}

std::size_t UsageLedger::processes(std::uint64_t window) const
{
    auto const found = this->by_window.find(window);
    return found == this->by_window.end() ? 0 : found->second.size();
}

}
