#include "config/toml_table.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>

namespace poppyscale::config {
namespace {

// The value of a scalar, or the type of any other node, for an error.
std::string textOf(const toml::node& node) {
    if (const auto* const string = node.as_string()) return fmt::format("'{}'", string->get());
    if (const auto* const integer = node.as_integer()) return fmt::format("{}", integer->get());
    if (const auto* const number = node.as_floating_point()) return fmt::format("{}", number->get());
    if (const auto* const boolean = node.as_boolean()) return fmt::format("{}", boolean->get());
    if (node.is_table()) return "a table";
    return node.is_array() ? "a list" : "a date or time";
}

}  // namespace

std::string ConfigProblem::text() const {
    return fmt::format("{}:{}: {}{}{}", file, std::max<std::uint32_t>(line, 1), key, key.empty() ? "" : ": ",
                       reason);
}

void ConfigProblems::add(std::uint32_t line, std::string_view key, std::string_view reason) {
    problems_.push_back({file_, line, std::string(key), std::string(reason)});
}

std::vector<ConfigProblem> ConfigProblems::sorted() const {
    auto sorted = problems_;
    std::stable_sort(sorted.begin(), sorted.end(),
                     [](const auto& a, const auto& b) { return a.line < b.line; });
    return sorted;
}

std::string ConfigProblems::text() const {
    std::string lines;
    for (const ConfigProblem& problem : sorted())
        lines.append(lines.empty() ? "" : "\n").append(problem.text());
    return lines;
}

std::string TomlTable::childPath(std::string_view key) const {
    return path_.empty() ? std::string(key) : path_ + "." + std::string(key);
}

void TomlTable::problem(std::string_view key, std::string_view reason) {
    const toml::node* const node = table_.get(key);
    problems_.add((node ? node->source() : table_.source()).begin.line, childPath(key), reason);
}

const toml::node* TomlTable::find(std::string_view key, bool isRequired) {
    knownKeys_.emplace(key);
    const toml::node* const node = table_.get(key);
    if (!node && isRequired) problem(key, "is missing");
    return node;
}

double TomlTable::number(std::string_view key, std::optional<double> defaultValue, double min, double max) {
    const toml::node* const node = find(key, !defaultValue);
    if (!node) return defaultValue.value_or(min);
    const auto value = node->value<double>();
    if (!node->is_number() || !value || !std::isfinite(*value)) {
        problem(key, fmt::format("is not a number: found {}", textOf(*node)));
        return defaultValue.value_or(min);
    }
    if (*value < min || *value > max) {
        problem(key, fmt::format("is not from {} to {}: found {}", min, max, *value));
        return min;
    }
    return *value;
}

int TomlTable::integer(std::string_view key, std::optional<int> defaultValue, int min, int max) {
    const toml::node* const node = find(key, !defaultValue);
    if (!node) return defaultValue.value_or(min);
    if (!node->is_integer()) {
        problem(key, fmt::format("is not a whole number: found {}", textOf(*node)));
        return defaultValue.value_or(min);
    }
    const std::int64_t value = node->as_integer()->get();
    if (value < min || value > max) {
        problem(key, fmt::format("is not from {} to {}: found {}", min, max, value));
        return min;
    }
    return static_cast<int>(value);
}

Nanos TomlTable::millis(std::string_view key, std::optional<double> defaultValue) {
    return static_cast<Nanos>(number(key, defaultValue, 0, 1e8) * 1e6);
}

Nanos TomlTable::micros(std::string_view key, std::optional<double> defaultValue) {
    return static_cast<Nanos>(number(key, defaultValue, 0, 1e9) * 1e3);
}

bool TomlTable::boolean(std::string_view key, bool defaultValue) {
    const toml::node* const node = find(key, false);
    if (!node) return defaultValue;
    if (!node->is_boolean()) {
        problem(key, fmt::format("is neither true nor false: found {}", textOf(*node)));
        return defaultValue;
    }
    return node->as_boolean()->get();
}

std::string TomlTable::stringOf(std::string_view key, const toml::node& node) {
    if (node.is_string()) return node.as_string()->get();
    problem(key, fmt::format("is not a string: found {}", textOf(node)));
    return "";
}

std::string TomlTable::string(std::string_view key, std::optional<std::string> defaultValue) {
    const toml::node* const node = find(key, !defaultValue);
    return node ? stringOf(key, *node) : defaultValue.value_or("");
}

std::vector<std::string> TomlTable::strings(std::string_view key) {
    std::vector<std::string> items;
    const toml::node* const node = find(key, true);
    if (!node) return items;
    if (!node->is_array()) {
        problem(key, fmt::format("is not a list: found {}", textOf(*node)));
        return items;
    }
    for (const toml::node& item : *node->as_array()) {
        if (!item.is_string() || item.as_string()->get().empty()) {
            problem(key, fmt::format("has an item that is not a non-empty string: found {}", textOf(item)));
            return items;
        }
        items.push_back(item.as_string()->get());
    }
    return items;
}

std::vector<int> TomlTable::integers(std::string_view key, int min, int max) {
    std::vector<int> items;
    const toml::node* const node = find(key, false);
    if (!node) return items;
    if (!node->is_array()) {
        problem(key, fmt::format("is not a list: found {}", textOf(*node)));
        return items;
    }
    for (const toml::node& item : *node->as_array()) {
        const std::int64_t value = item.is_integer() ? item.as_integer()->get() : min - 1;
        if (value < min || value > max) {
            problem(key, fmt::format("has an item that is not a whole number from {} to {}: found {}", min,
                                     max, textOf(item)));
            return items;
        }
        items.push_back(static_cast<int>(value));
    }
    return items;
}

void TomlTable::finish() {
    for (const auto& [key, node] : table_)
        if (!knownKeys_.contains(std::string(key.str())))
            problem(key.str(), "is not a key that is known here");
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
