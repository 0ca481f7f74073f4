// Strict reading of TOML files: a key that is missing, unknown, of the wrong type or out of range
// is a problem with its file, line and key. All problems of a file are reported, not only the
// first.
#pragma once

#include <toml++/toml.h>

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/time.hpp"

namespace poppyscale::config {

// One problem with a file.
struct ConfigProblem {
    std::string file;
    std::uint32_t line = 0;  // lines count from 1; 0 for the whole file, shown as line 1
    std::string key;         // the key's path, as in "verbs[0].name"; empty if no key is concerned
    std::string reason;

    // "FILE:LINE: KEY: REASON".
    std::string text() const;
};

// The problems of one file, in the order in which they were found.
class ConfigProblems {
  public:
    explicit ConfigProblems(std::string file) : file_(std::move(file)) {}
    void add(std::uint32_t line, std::string_view key, std::string_view reason);
    bool none() const { return problems_.empty(); }
    std::size_t count() const { return problems_.size(); }
    // All problems, sorted by line.
    std::vector<ConfigProblem> sorted() const;
    // The sorted problems, one per line of text.
    std::string text() const;

  private:
    std::string file_;
    std::vector<ConfigProblem> problems_;
};

// The values of a setting by their names in a file.
template <class T>
using NamedValues = std::vector<std::pair<std::string_view, T>>;

// Reads one table of a file. If a key can't be read, a problem is recorded and a value within the
// bounds is returned. A key without a default is required. The table and `problems` must outlive
// this object.
class TomlTable {
  public:
    TomlTable(const toml::table& table, ConfigProblems& problems, std::string path = "")
        : table_(table), problems_(problems), path_(std::move(path)) {}

    // Records a problem with `key`, at the line of the key, or of the table if it lacks the key.
    void problem(std::string_view key, std::string_view reason);

    double number(std::string_view key, std::optional<double> defaultValue, double min = 0,
                  double max = 1e12);
    // A number from 0 to 1.
    double fraction(std::string_view key, std::optional<double> defaultValue) {
        return number(key, defaultValue, 0, 1);
    }
    int integer(std::string_view key, std::optional<int> defaultValue, int min = 0, int max = 10'000'000);
    // A duration that the file and `defaultValue` state in milliseconds.
    Nanos millis(std::string_view key, std::optional<double> defaultValue);
    // A duration that the file and `defaultValue` state in microseconds.
    Nanos micros(std::string_view key, std::optional<double> defaultValue);
    bool boolean(std::string_view key, bool defaultValue);
    std::string string(std::string_view key, std::optional<std::string> defaultValue);
    // A required list of non-empty strings.
    std::vector<std::string> strings(std::string_view key);
    // An optional list.
    std::vector<int> integers(std::string_view key, int min, int max);
    bool has(std::string_view key) const { return table_.contains(key); }
    // Marks the key as known, though it is not read here.
    void skip(std::string_view key) { knownKeys_.emplace(key); }

    // One of the values that `words` names.
    template <class T>
    T word(std::string_view key, const NamedValues<T>& words, std::optional<T> defaultValue) {
        const toml::node* const node = find(key, !defaultValue);
        if (!node) return defaultValue.value_or(words.front().second);
        const std::string text = stringOf(key, *node);
        std::string knownNames;
        for (const auto& [name, value] : words) {
            if (name == text) return value;
            knownNames.append(knownNames.empty() ? "" : ", ").append(name);
        }
        problem(key, "'" + text + "' is none of " + knownNames);
        return words.front().second;
    }
    // A table within this one, read by `read(TomlTable&)`. An optional one that is missing is read as empty.
    template <class Read>
    void one(std::string_view key, bool isRequired, Read read) {
        const toml::node* const node = find(key, isRequired);
        const toml::table emptyTable;
        if (node && !node->is_table()) problem(key, "is not a table");
        const bool isPresent = node && node->is_table();
        // For a required table only the table itself is reported as missing, not also each of its
        // keys.
        ConfigProblems ignored("");
        TomlTable inner(isPresent ? *node->as_table() : emptyTable,
                        isPresent || !isRequired ? problems_ : ignored, childPath(key));
        read(inner);
        inner.finish();
    }
    // The tables of a list, each read by `read(TomlTable&)`.
    template <class Read>
    void each(std::string_view key, bool isRequired, Read read) {
        const toml::node* const node = find(key, isRequired);
        if (!node) return;
        if (!node->is_array_of_tables()) {
            problem(key, "is not a list of tables");
            return;
        }
        int index = 0;
        for (const toml::node& item : *node->as_array()) {
            TomlTable inner(*item.as_table(), problems_, childPath(key) + "[" + std::to_string(index) + "]");
            ++index;
            read(inner);
            inner.finish();
        }
    }
    // Records each key of the table that nothing has read or skipped.
    void finish();

  private:
    std::string childPath(std::string_view key) const;
    const toml::node* find(std::string_view key, bool isRequired);
    std::string stringOf(std::string_view key, const toml::node& node);

    const toml::table& table_;
    ConfigProblems& problems_;
    std::string path_;
    std::set<std::string, std::less<>> knownKeys_;  // read or skipped
};

// Parses `text`. If it is not TOML, records the problem and returns nothing.
std::optional<toml::table> parseToml(std::string_view text, const std::string& file,
                                     ConfigProblems& problems);

}  // namespace poppyscale::config
