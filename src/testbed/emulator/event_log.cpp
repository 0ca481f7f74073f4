#include "testbed/emulator/event_log.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>

namespace poppyscale::testbed {
namespace {

constexpr std::size_t kFlushThresholdBytes = 1 << 16;
constexpr std::string_view kFormat = "poppylab-log 1 ";
constexpr std::array<std::string_view, 26> kEventNames{
    "server", "asked", "answered", "declined", "terminated", "unsent",  "silent", "left",   "sent",
    "began",  "ended", "closed",   "broke",    "listed",     "started", "fell",   "killed", "stopping",
    "up",     "fault", "late",     "opened",   "slowly",     "cutoff",  "first",  "claims"};

template <class T>
T parseNumber(std::string_view text, int base, long lineNumber) {
    T value{};
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), value, base);
    if (parsed.ec != std::errc{} || parsed.ptr != text.data() + text.size())
        throw EventLogError(fmt::format("line {}: '{}' is not a number of base {}", lineNumber, text, base));
    return value;
}

}  // namespace

std::string_view nameOf(EventKind kind) { return kEventNames.at(static_cast<std::size_t>(kind)); }

std::string_view wordAt(std::string_view text, int at) {
    for (; at > 0; --at) {
        const auto space = text.find(' ');
        if (space == std::string_view::npos) return {};
        text.remove_prefix(space + 1);
    }
    return text.substr(0, text.find(' '));
}

EventLog::EventLog(const std::string& path) : file_(nullptr, &std::fclose) {
    if (path.empty()) return;
    file_.reset(std::fopen(path.c_str(), "wb"));
    if (!file_) throw EventLogError("event log " + path + " can't be opened for writing");
}

EventLog::~EventLog() { flush(); }

void EventLog::head(const nlohmann::json& head) {
    if (onHead) onHead(head);
    if (file_) buffer_.append(kFormat).append(head.dump()).append("\n");
}

void EventLog::add(const LogEvent& event) {
    if (onEvent) onEvent(event);
    if (!file_) return;
    fmt::format_to(std::back_inserter(buffer_), "{}\t{}\t{:x}\t{}\t{}\t{:x}\t{}\t{}\n", event.at,
                   nameOf(event.kind), event.requestId, event.router, event.server, event.attemptId,
                   event.number, event.text);
    if (buffer_.size() > kFlushThresholdBytes) flush();
}

void EventLog::flush() {
    if (file_) std::fwrite(buffer_.data(), 1, buffer_.size(), file_.get());
    if (file_) std::fflush(file_.get());
    buffer_.clear();
}

void readEventLog(const std::string& path, const std::function<void(const nlohmann::json&)>& visitHead,
                  const std::function<void(const LogEvent&)>& visitEvent) {
    std::ifstream file(path, std::ios::binary);
    std::string line;
    if (!std::getline(file, line) || !line.starts_with(kFormat))
        throw EventLogError(path + ":1: expected an event log that begins with '" + std::string(kFormat) +
                            "'");
    const auto head = nlohmann::json::parse(line.substr(kFormat.size()), nullptr, false);
    if (!head.is_object()) throw EventLogError(path + ":1: the head is not a JSON object");
    visitHead(head);
    for (long lineNumber = 2; std::getline(file, line); ++lineNumber) {
        std::array<std::string_view, 8> columns;
        std::string_view rest = line;
        for (std::size_t i = 0; i < columns.size(); ++i) {
            const auto tab = i + 1 < columns.size() ? rest.find('\t') : rest.size();
            if (tab == std::string_view::npos)
                throw EventLogError(fmt::format("line {}: expected 8 columns, found {}", lineNumber, i + 1));
            columns[i] = rest.substr(0, tab);
            rest.remove_prefix(std::min(rest.size(), tab + 1));
        }
        LogEvent event;
        const auto name = std::find(kEventNames.begin(), kEventNames.end(), columns[1]);
        if (name == kEventNames.end())
            throw EventLogError(fmt::format("line {}: '{}' is not a kind of event", lineNumber, columns[1]));
        event.at = parseNumber<Nanos>(columns[0], 10, lineNumber);
        event.kind = static_cast<EventKind>(name - kEventNames.begin());
        event.requestId = parseNumber<std::uint64_t>(columns[2], 16, lineNumber);
        event.router = parseNumber<int>(columns[3], 10, lineNumber);
        event.server = parseNumber<int>(columns[4], 10, lineNumber);
        event.attemptId = parseNumber<std::uint64_t>(columns[5], 16, lineNumber);
        event.number = parseNumber<std::int64_t>(columns[6], 10, lineNumber);
        event.text = columns[7];
        visitEvent(event);
    }
}

}  // namespace poppyscale::testbed
