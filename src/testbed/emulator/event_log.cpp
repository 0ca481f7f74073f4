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

constexpr std::size_t kFlushAt = 1 << 16;
constexpr std::string_view kFormat = "poppylab-log 1 ";
constexpr std::array<std::string_view, 23> kWords{
    "server", "asked",    "answered", "declined", "terminated", "unsent", "silent",  "left",
    "sent",   "began",    "ended",    "closed",   "broke",      "listed", "started", "fell",
    "killed", "stopping", "up",       "fault",    "late",       "opened", "claims"};

template <class T>
T number(std::string_view text, int base, long line) {
    T value{};
    const auto read = std::from_chars(text.data(), text.data() + text.size(), value, base);
    if (read.ec != std::errc{} || read.ptr != text.data() + text.size())
        throw EventLogError(fmt::format("line {}: '{}' is not a number", line, text));
    return value;
}

}  // namespace

std::string_view nameOf(EventKind what) { return kWords.at(static_cast<std::size_t>(what)); }

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
    if (!file_) throw EventLogError("can't write " + path);
}

EventLog::~EventLog() { flush(); }

void EventLog::head(const nlohmann::json& head) {
    if (watchHead) watchHead(head);
    if (file_) buffer_.append(kFormat).append(head.dump()).append("\n");
}

void EventLog::add(const LogEvent& e) {
    if (watch) watch(e);
    if (!file_) return;
    fmt::format_to(std::back_inserter(buffer_), "{}\t{}\t{:x}\t{}\t{}\t{:x}\t{}\t{}\n", e.at, nameOf(e.kind),
                   e.command, e.router, e.server, e.run, e.number, e.text);
    if (buffer_.size() > kFlushAt) flush();
}

void EventLog::flush() {
    if (file_) std::fwrite(buffer_.data(), 1, buffer_.size(), file_.get());
    if (file_) std::fflush(file_.get());
    buffer_.clear();
}

void readEventLog(const std::string& path, const std::function<void(const nlohmann::json&)>& begin,
                  const std::function<void(const LogEvent&)>& visit) {
    std::ifstream file(path, std::ios::binary);
    std::string line;
    if (!std::getline(file, line) || !line.starts_with(kFormat))
        throw EventLogError(path + ": not a log of this version");
    const auto head = nlohmann::json::parse(line.substr(kFormat.size()), nullptr, false);
    if (!head.is_object()) throw EventLogError(path + ": its first line can't be read");
    begin(head);
    for (long at = 2; std::getline(file, line); ++at) {
        std::array<std::string_view, 8> part;
        std::string_view rest = line;
        for (std::size_t i = 0; i < part.size(); ++i) {
            const auto tab = i + 1 < part.size() ? rest.find('\t') : rest.size();
            if (tab == std::string_view::npos) throw EventLogError(fmt::format("line {}: too short", at));
            part[i] = rest.substr(0, tab);
            rest.remove_prefix(std::min(rest.size(), tab + 1));
        }
        LogEvent e;
        const auto word = std::find(kWords.begin(), kWords.end(), part[1]);
        if (word == kWords.end()) throw EventLogError(fmt::format("line {}: '{}' is unknown", at, part[1]));
        e.at = number<Nanos>(part[0], 10, at);
        e.kind = static_cast<EventKind>(word - kWords.begin());
        e.command = number<std::uint64_t>(part[2], 16, at);
        e.router = number<int>(part[3], 10, at);
        e.server = number<int>(part[4], 10, at);
        e.run = number<std::uint64_t>(part[5], 16, at);
        e.number = number<std::int64_t>(part[6], 10, at);
        e.text = part[7];
        visit(e);
    }
}

}  // namespace poppyscale::testbed
