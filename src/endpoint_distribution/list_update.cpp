#include "endpoint_distribution/list_update.hpp"

#include <nlohmann/json.hpp>
#include <utility>

#include "protocol/endpoint_list.hpp"

namespace poppyscale::endpoint_distribution {
namespace {

// Finds the texts of the objects in the top-level array `servers` of a JSON object. Requires valid
// JSON.
class EntryScanner {
  public:
    explicit EntryScanner(std::string_view json) : json_(json) {}

    std::vector<std::string_view> scan() {
        std::vector<std::string_view> entries;
        std::string_view lastString;
        while (position_ < json_.size()) {
            const char next = json_[position_];
            if (next == '"') {
                lastString = takeString();
                continue;
            }
            if (next == '[' && depth_ == 1 && lastString == "servers") {
                entries = takeArray();  // a repeated key overwrites, as in the JSON parser
                continue;
            }
            if (next == '{' || next == '[') ++depth_;
            if (next == '}' || next == ']') --depth_;
            ++position_;
        }
        return entries;
    }

  private:
    // Moves from an opening quotation mark past the closing one. Returns the text between them.
    std::string_view takeString() {
        ++position_;
        const std::size_t begin = position_;
        while (json_[position_] != '"') position_ += json_[position_] == '\\' ? 2 : 1;
        const std::size_t end = position_;
        ++position_;
        return json_.substr(begin, end - begin);
    }

    // Moves from the opening bracket past the closing one. Returns the texts of the objects in the
    // array.
    std::vector<std::string_view> takeArray() {
        std::vector<std::string_view> entries;
        int depth = 0;
        std::size_t begin = 0;
        do {
            const char next = json_[position_];
            if (next == '"') {
                takeString();
                continue;
            }
            if (next == '{' && depth == 1) begin = position_;
            if (next == '{' || next == '[') ++depth;
            if (next == '}' || next == ']') --depth;
            ++position_;
            if (next == '}' && depth == 1) entries.push_back(json_.substr(begin, position_ - begin));
        } while (depth > 0);
        return entries;
    }

    std::string_view json_;
    std::size_t position_ = 0;
    int depth_ = 0;
};

}  // namespace

ListUpdate readListUpdate(std::string_view json) {
    const protocol::EndpointList list = protocol::readEndpointList(json);
    const auto texts = EntryScanner(json).scan();
    if (texts.size() != list.entries.size())
        throw protocol::ParseError("found " + std::to_string(texts.size()) +
                                   " objects in the array 'servers', expected " +
                                   std::to_string(list.entries.size()));
    ListUpdate update;
    update.version = list.version;
    update.isComplete = list.isComplete;
    update.entries.reserve(texts.size());
    for (std::size_t i = 0; i < texts.size(); ++i) {
        const Endpoint& listed = list.entries[i].endpoint;
        update.entries.push_back(
            {listed.name, listed.state == EndpointState::removed, std::string(texts[i])});
    }
    return update;
}

ServerEntry removedEntry(const ServerEntry& last) {
    auto entry = nlohmann::json::parse(last.text);
    entry["state"] = "Gone";
    return {last.id, true, entry.dump()};
}

}  // namespace poppyscale::endpoint_distribution
