#include "LoadReport.h"

#include <algorithm>
#include <fmt/format.h>
#include <iostream>

namespace {

double percentile(std::vector<double> values, double share)
{
    if (values.empty())
        return 0;
    std::ranges::sort(values);
    return values[std::min(values.size() - 1, static_cast<std::size_t>(share * static_cast<double>(values.size())))];
}

double ratio(double part, double whole)
{
    return whole == 0 ? 0 : part / whole;
}

bool is_in_time(LoadClass const& load, RequestResult const& result)
{
    return result.outcome == SeenOutcome::Completed && result.target_ms <= load.target_ms;
}

bool is_useful(LoadClass const& load, RequestResult const& result)
{
    return result.outcome == SeenOutcome::Completed && !result.wrong_answer
        && (load.late_answer_useful || is_in_time(load, result));
}

void print_class(Scenario const& scenario, std::size_t class_index, std::string const& policy,
    std::vector<PlannedRequest> const& plan, std::vector<RequestResult> const& results)
{
    auto const& load = scenario.classes[class_index];
    int offered = 0;
    int in_time = 0;
    int completed = 0;
    int refused = 0;
    int offered_while_fit = 0;
    int in_time_while_fit = 0;
    std::vector<double> latencies;
    std::vector<int> offered_in_phase(scenario.phases.size());
    std::vector<int> in_time_in_phase(scenario.phases.size());
    for (std::size_t index = 0; index < plan.size(); ++index) {
        if (plan[index].class_index != class_index)
            continue;
        auto const& result = results[index];
        auto const attained = is_in_time(load, result);
        ++offered;
        ++offered_in_phase[plan[index].phase];
        in_time_in_phase[plan[index].phase] += attained ? 1 : 0;
        in_time += attained ? 1 : 0;
        offered_while_fit += plan[index].urgent_fits ? 1 : 0;
        in_time_while_fit += plan[index].urgent_fits && attained ? 1 : 0;
        completed += result.outcome == SeenOutcome::Completed ? 1 : 0;
        refused += result.outcome == SeenOutcome::NotRun || result.outcome == SeenOutcome::Undecided ? 1 : 0;
        if (result.outcome == SeenOutcome::Completed)
            latencies.push_back(result.target_ms);
    }
    std::string by_phase;
    for (std::size_t phase = 0; phase < offered_in_phase.size(); ++phase)
        by_phase
            += fmt::format("{}{:.3f}", phase == 0 ? "" : "/", ratio(in_time_in_phase[phase], offered_in_phase[phase]));
    std::cout << fmt::format(
        "scenario={} policy={} class={} tier={} offered={} attained={:.4f} "
        "attained_while_fit={:.4f} p50_ms={:.0f} p99_ms={:.0f} completed={} refused={} attained_by_phase={}\n",
        scenario.name, policy, load.name, load.tier, offered, ratio(in_time, offered),
        ratio(in_time_while_fit, offered_while_fit), percentile(latencies, 0.5), percentile(latencies, 0.99), completed,
        refused, by_phase);
}

}

void print_report(Scenario const& scenario, std::string const& policy, std::vector<PlannedRequest> const& plan,
    std::vector<RequestResult> const& results, std::map<std::string, JournalCount> const& journal,
    RunFigures const& figures)
{
    for (std::size_t class_index = 0; class_index < scenario.classes.size(); ++class_index)
        print_class(scenario, class_index, policy, plan, results);
    int useful = 0;
    int lost = 0;
    int duplicated = 0;
    int wrong = 0;
    int false_not_run = 0;
    long useful_tokens = 0;
    long all_tokens = 0;
    for (std::size_t index = 0; index < plan.size(); ++index) {
        auto const& load = scenario.classes[plan[index].class_index];
        auto const& result = results[index];
        auto const found = journal.find(plan[index].token);
        auto const ran = found == journal.end() ? JournalCount {} : found->second;
        auto const is_model = load.pool == "model";
        all_tokens += is_model ? ran.tokens : 0;
        if (is_useful(load, result)) {
            ++useful;
            useful_tokens += is_model ? plan[index].tokens : 0;
        }
        lost += result.outcome == SeenOutcome::NoAnswer || (result.outcome == SeenOutcome::Completed && ran.runs == 0)
            ? 1
            : 0;
        duplicated += !load.repeatable && ran.runs > 1 ? 1 : 0;
        wrong += result.wrong_answer ? 1 : 0;
        false_not_run += result.outcome == SeenOutcome::NotRun && ran.runs > 0 ? 1 : 0;
    }
    std::cout << fmt::format("scenario={} policy={} goodput_per_s={:.2f} goodput_tokens_per_s={:.1f} "
                             "wasted_ratio={:.4f} lost={} duplicated={} wrong_answer={} false_not_run={} "
                             "lower_tier_sheds={} urgent_refusals_beside_lower_work={} appends_per_s={:.1f}\n",
        scenario.name, policy, ratio(useful, figures.seconds),
        ratio(static_cast<double>(useful_tokens), figures.seconds),
        1 - ratio(static_cast<double>(useful_tokens), static_cast<double>(std::max(all_tokens, 1L))), lost, duplicated,
        wrong, false_not_run, figures.lower_tier_sheds, figures.urgent_refusals_beside_lower_work,
        figures.appends_per_second);
}
