#include "endpoint_distributor/settings.hpp"

#include <fstream>
#include <iterator>

#include "config/toml_table.hpp"

namespace poppyscale::endpoint_distributor {
namespace {

constexpr int kMaxUpstreams = 16;
// An upstream that stops responding is detected only after the poll's wait. The remaining 2 s of
// the guaranteed 5 s are for the response timeout and for the poll of the next upstream.
constexpr int kDefaultWaitMs = 3'000;

transport::Address readAddress(config::TomlTable& table, std::string_view key, const std::string& text) {
    if (const auto address = transport::parseAddress(text)) return *address;
    table.problem(key, "expected ADDRESS:PORT, found '" + text + "'");
    return {};
}

void readUpstreams(config::TomlTable& table, Settings& settings) {
    const auto addresses = table.strings("upstreams");
    if (table.has("upstreams") && (addresses.empty() || addresses.size() > kMaxUpstreams))
        table.problem("upstreams", "expected 1 to " + std::to_string(kMaxUpstreams) + " addresses, found " +
                                       std::to_string(addresses.size()));
    for (const std::string& address : addresses)
        settings.upstreams.push_back({readAddress(table, "upstreams", address), address});
    settings.options.upstreams = std::max<std::size_t>(settings.upstreams.size(), 1);
}

void readDistributor(config::TomlTable& table, Settings& settings) {
    endpoint_distribution::Options& options = settings.options;
    settings.name = table.string("name", std::nullopt);
    settings.listen = table.string("listen", std::nullopt);
    if (table.has("listen")) settings.listenAddress = readAddress(table, "listen", settings.listen);
    readUpstreams(table, settings);
    options.upstreamWait = table.integer("wait_ms", kDefaultWaitMs, 100, 60'000) * kMillisecond;
    options.batchInterval = table.integer("batch_ms", 50, 1, 5'000) * kMillisecond;
    options.maxReaders = static_cast<std::size_t>(table.integer("max_readers", 4096, 1, 1'000'000));
    options.maxUnsentBytes =
        static_cast<std::size_t>(table.integer("max_unsent_kib", 1024, 16, 1024 * 1024)) * 1024;
    options.maxTombstones = static_cast<std::size_t>(
        table.integer("tombstones", static_cast<int>(endpoint_distribution::ListState::kDefaultTombstones),
                      1024, 10'000'000));
    settings.maxListBytes =
        static_cast<std::size_t>(table.integer("max_list_kib", 64 * 1024, 64, 1024 * 1024)) * 1024;
}

}  // namespace

Settings readSettings(const std::string& path) {
    std::ifstream file(path, std::ios::binary);
    const std::string text{std::istreambuf_iterator<char>(file), {}};
    if (!file) throw SettingsError("can't read the settings file " + path);
    config::ConfigProblems problems(path);
    Settings settings;
    const auto parsed = config::parseToml(text, path, problems);
    if (parsed) {
        config::TomlTable root(*parsed, problems);
        root.one("distributor", true, [&](config::TomlTable& table) { readDistributor(table, settings); });
        root.finish();
    }
    if (!problems.none()) throw SettingsError(problems.text());
    return settings;
}

}  // namespace poppyscale::endpoint_distributor
