#include "config/toml_table.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>

namespace poppyscale::config {

void ConfigProblems::add(std::uint32_t line, std::string_view key, std::string_view what) {
    all_.emplace_back(line, fmt::format("{}:{}: {}{}{}", file_, std::max<std::uint32_t>(line, 1), key,
                                        key.empty() ? "" : ": ", what));
}

std::string ConfigProblems::text() const {
    auto sorted = all_;
    std::stable_sort(sorted.begin(), sorted.end(),
                     [](const auto& a, const auto& b) { return a.first < b.first; });
    std::string out;
    for (const auto& [line, text] : sorted) out.append(out.empty() ? "" : "\n").append(text);
    return out;
}

std::string TomlTable::below(std::string_view key) const {
    return path_.empty() ? std::string(key) : path_ + "." + std::string(key);
}

void TomlTable::problem(std::string_view key, std::string_view what) {
    const toml::node* const node = table_.get(key);
    problems_.add((node ? node->source() : table_.source()).begin.line, below(key), what);
}

const toml::node* TomlTable::find(std::string_view key, bool must) {
    asked_.emplace(key);
    const toml::node* const node = table_.get(key);
    if (!node && must) problem(key, "is missing");
    return node;
}

double TomlTable::number(std::string_view key, std::optional<double> otherwise, double least, double most) {
    const toml::node* const node = find(key, !otherwise);
    if (!node) return otherwise.value_or(least);
    const auto value = node->value<double>();
    if (!node->is_number() || !value || !std::isfinite(*value)) {
        problem(key, "is not a number");
        return otherwise.value_or(least);
    }
    if (*value < least || *value > most) {
        problem(key, fmt::format("is not from {} to {}", least, most));
        return least;
    }
    return *value;
}

int TomlTable::integer(std::string_view key, std::optional<int> otherwise, int least, int most) {
    const toml::node* const node = find(key, !otherwise);
    if (!node) return otherwise.value_or(least);
    if (!node->is_integer()) {
        problem(key, "is not a whole number");
        return otherwise.value_or(least);
    }
    const std::int64_t value = node->as_integer()->get();
    if (value < least || value > most) {
        problem(key, fmt::format("is not from {} to {}", least, most));
        return least;
    }
    return static_cast<int>(value);
}

Nanos TomlTable::millis(std::string_view key, std::optional<double> otherwise) {
    return static_cast<Nanos>(number(key, otherwise, 0, 1e8) * 1e6);
}

Nanos TomlTable::micros(std::string_view key, std::optional<double> otherwise) {
    return static_cast<Nanos>(number(key, otherwise, 0, 1e9) * 1e3);
}

bool TomlTable::boolean(std::string_view key, bool otherwise) {
    const toml::node* const node = find(key, false);
    if (!node) return otherwise;
    if (!node->is_boolean()) {
        problem(key, "is neither true nor false");
        return otherwise;
    }
    return node->as_boolean()->get();
}

std::string TomlTable::textOf(std::string_view key, const toml::node& node) {
    if (node.is_string()) return node.as_string()->get();
    problem(key, "is not a text");
    return "";
}

std::string TomlTable::string(std::string_view key, std::optional<std::string> otherwise) {
    const toml::node* const node = find(key, !otherwise);
    return node ? textOf(key, *node) : otherwise.value_or("");
}

std::vector<std::string> TomlTable::strings(std::string_view key) {
    std::vector<std::string> all;
    const toml::node* const node = find(key, true);
    if (!node) return all;
    if (!node->is_array()) {
        problem(key, "is not a list");
        return all;
    }
    for (const toml::node& item : *node->as_array()) {
        if (!item.is_string() || item.as_string()->get().empty()) {
            problem(key, "holds what is not a name");
            return all;
        }
        all.push_back(item.as_string()->get());
    }
    return all;
}

std::vector<int> TomlTable::integers(std::string_view key, int least, int most) {
    std::vector<int> all;
    const toml::node* const node = find(key, false);
    if (!node) return all;
    if (!node->is_array()) {
        problem(key, "is not a list");
        return all;
    }
    for (const toml::node& item : *node->as_array()) {
        const std::int64_t value = item.is_integer() ? item.as_integer()->get() : least - 1;
        if (value < least || value > most) {
            problem(key, fmt::format("holds what is not a whole number from {} to {}", least, most));
            return all;
        }
        all.push_back(static_cast<int>(value));
    }
    return all;
}

void TomlTable::finish() {
    for (const auto& [key, node] : table_)
        if (!asked_.contains(std::string(key.str()))) problem(key.str(), "is not a key that is known here");
}

std::optional<toml::table> parseToml(std::string_view text, const std::string& file,
                                     ConfigProblems& problems) {
    try {
        return toml::parse(text, file);
    } catch (const toml::parse_error& problem) {
        problems.add(problem.source().begin.line, "", problem.description());
        return std::nullopt;
    }
}

}  // namespace poppyscale::config
