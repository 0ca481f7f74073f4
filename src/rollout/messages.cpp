#include "rollout/messages.hpp"

#include <fmt/format.h>

#include <stdexcept>

namespace poppyscale::rollout {
namespace {

using nlohmann::json;

constexpr std::string_view kStands[] = {"before", "changing", "changed", "back", "stuck"};

void checkFormat(const json& said) {
    const int format = said.value("format", 0);
    if (format != kFormat)
        throw std::runtime_error(fmt::format("format {} is not known here, {} is", format, kFormat));
}

}  // namespace

std::string_view nameOf(InstanceState stand) { return kStands[static_cast<int>(stand)]; }

json toJson(const Order& o) {
    return {{"do", "roll"},
            {"format", kFormat},
            {"number", o.number},
            {"step", o.step},
            {"digest", o.digest},
            {"program", o.program},
            {"program_digest", o.programDigest},
            {"form", o.form},
            {"changed", o.changed},
            {"held", o.held},
            {"keep_ms", o.holdDuration / kMillisecond},
            {"batch", o.batch},
            {"over", o.isFinished}};
}

Order readOrder(const json& said) try {
    checkFormat(said);
    Order o;
    o.number = said.at("number").get<std::uint64_t>();
    o.step = said.at("step").get<std::uint64_t>();
    o.digest = said.at("digest").get<std::string>();
    o.program = said.at("program").get<std::string>();
    o.programDigest = said.value("program_digest", "");
    o.form = said.at("form").get<std::string>();
    o.changed = said.at("changed").get<std::set<int>>();
    o.held = said.at("held").get<std::set<int>>();
    o.holdDuration = said.at("keep_ms").get<std::int64_t>() * kMillisecond;
    o.batch = said.at("batch").get<int>();
    o.isFinished = said.at("over").get<bool>();
    if (o.number == 0 || o.holdDuration < 0 || o.batch < 1) throw std::runtime_error("an order out of range");
    return o;
} catch (const json::exception& problem) {
    throw std::runtime_error(fmt::format("an order out of form: {}", problem.what()));
}

json toJson(const Report& r, const std::vector<json>& figures) {
    json instances = json::array();
    for (std::size_t i = 0; i < r.instances.size(); ++i) {
        const InstanceReport& one = r.instances[i];
        instances.push_back({{"name", one.name},
                             {"zone", one.zone},
                             {"stand", nameOf(one.state)},
                             {"ready", one.ready},
                             {"since_ms", one.since / kMillisecond},
                             {"ends", one.exitCount},
                             {"problem", one.problem},
                             {"figures", i < figures.size() ? figures[i] : json()}});
    }
    return {{"format", kFormat},
            {"number", r.number},
            {"digest", r.digest},
            {"over", r.isFinished},
            {"went_back", r.hasRolledBack},
            {"problem", r.problem},
            {"instances", std::move(instances)}};
}

Report readReport(const json& said) try {
    checkFormat(said);
    Report r;
    r.number = said.at("number").get<std::uint64_t>();
    r.digest = said.at("digest").get<std::string>();
    r.isFinished = said.at("over").get<bool>();
    r.hasRolledBack = said.value("went_back", false);
    r.problem = said.value("problem", "");
    for (const auto& one : said.at("instances")) {
        InstanceReport& i = r.instances.emplace_back();
        i.name = one.at("name").get<std::string>();
        i.zone = one.at("zone").get<std::string>();
        const auto stand = one.at("stand").get<std::string>();
        bool known = false;
        for (int s = 0; s < 5; ++s)
            if (stand == kStands[s]) {
                i.state = static_cast<InstanceState>(s);
                known = true;
            }
        if (!known) throw std::runtime_error(fmt::format("'{}' is no stand that is known here", stand));
        i.ready = one.at("ready").get<bool>();
        i.since = one.at("since_ms").get<std::int64_t>() * kMillisecond;
        i.exitCount = one.at("ends").get<int>();
        i.problem = one.value("problem", "");
        if (one.contains("figures")) i.metrics = readInstanceMetrics(one.at("figures"));
    }
    return r;
} catch (const json::exception& problem) {
    throw std::runtime_error(fmt::format("a report out of form: {}", problem.what()));
}

}  // namespace poppyscale::rollout
