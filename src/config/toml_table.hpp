// TOML files read strictly: what is missing, misspelt, of another type or out of its range is a problem with
// its file, line and key, and all problems of a file are found, not only the first.
#pragma once

#include <toml++/toml.h>

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "policy/routing_policy.hpp"

namespace poppyscale::config {

class ConfigProblems {
  public:
    explicit ConfigProblems(std::string file) : file_(std::move(file)) {}
    void add(std::uint32_t line, std::string_view key, std::string_view what);
    bool none() const { return all_.empty(); }
    std::size_t count() const { return all_.size(); }
    // One line each, "FILE:LINE: KEY: what is wrong", in the file's order.
    std::string text() const;

  private:
    std::string file_;
    std::vector<std::pair<std::uint32_t, std::string>> all_;
};

template <class T>
using Words = std::vector<std::pair<std::string_view, T>>;

// One table of a file. Where a key can't be read its problem is noted and a harmless value comes back.
class TomlTable {
  public:
    TomlTable(const toml::table& table, ConfigProblems& problems, std::string path = "")
        : table_(table), problems_(problems), path_(std::move(path)) {}

    void problem(std::string_view key, std::string_view what);

    double number(std::string_view key, std::optional<double> otherwise, double least = 0,
                  double most = 1e12);
    double fraction(std::string_view key, std::optional<double> otherwise) {
        return number(key, otherwise, 0, 1);
    }
    int integer(std::string_view key, std::optional<int> otherwise, int least = 0, int most = 10'000'000);
    Nanos millis(std::string_view key, std::optional<double> otherwise);
    Nanos micros(std::string_view key, std::optional<double> otherwise);
    bool boolean(std::string_view key, bool otherwise);
    std::string string(std::string_view key, std::optional<std::string> otherwise);
    std::vector<std::string> strings(std::string_view key);
    // A list that may be left out.
    std::vector<int> integers(std::string_view key, int least, int most);
    bool has(std::string_view key) const { return table_.contains(key); }
    void skip(std::string_view key) { asked_.emplace(key); }  // known, but read elsewhere

    template <class T>
    T word(std::string_view key, const Words<T>& words, std::optional<T> otherwise) {
        const toml::node* const node = find(key, !otherwise);
        if (!node) return otherwise.value_or(words.front().second);
        const std::string said = textOf(key, *node);
        std::string all;
        for (const auto& [name, value] : words) {
            if (name == said) return value;
            all.append(all.empty() ? "" : ", ").append(name);
        }
        problem(key, "'" + said + "' is none of " + all);
        return words.front().second;
    }
    // A table within. One that may be left out is read as an empty one.
    template <class Read>
    void one(std::string_view key, bool must, Read read) {
        const toml::node* const node = find(key, must);
        const toml::table nothing;
        if (node && !node->is_table()) problem(key, "is not a table");
        const bool there = node && node->is_table();
        // What an absent table lacks was told by its own absence.
        ConfigProblems unheard("");
        TomlTable inner(there ? *node->as_table() : nothing, there || !must ? problems_ : unheard,
                        below(key));
        read(inner);
        inner.finish();
    }
    template <class Read>
    void each(std::string_view key, bool must, Read read) {
        const toml::node* const node = find(key, must);
        if (!node) return;
        if (!node->is_array_of_tables()) return problem(key, "is not a list of tables");
        int at = 0;
        for (const toml::node& item : *node->as_array()) {
            TomlTable inner(*item.as_table(), problems_, below(key) + "[" + std::to_string(at++) + "]");
            read(inner);
            inner.finish();
        }
    }
    // Whatever was not asked for is a key that nobody knows.
    void finish();

  private:
    std::string below(std::string_view key) const;
    const toml::node* find(std::string_view key, bool must);
    std::string textOf(std::string_view key, const toml::node& node);

    const toml::table& table_;
    ConfigProblems& problems_;
    std::string path_;
    std::set<std::string, std::less<>> asked_;
};

// Null, with the problem noted, when it is not TOML.
std::optional<toml::table> parseToml(std::string_view text, const std::string& file,
                                     ConfigProblems& problems);

}  // namespace poppyscale::config
